"""``mustardswitch-platform-instance``: runs an instance on the users' platform."""

import asyncio
import sys

from mustardswitch import allocator, events
from mustardswitch.platform import errors, instance, settings

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run until SIGTERM; the exit status is 2 when the settings cannot be used."""
    with events.stdout_handler().applicationbound():
        try:
            config = settings.load_settings(settings.settings_path())
        except errors.SettingsError as error:
            events.log(events.Event.SETTINGS_REJECTED, reason=str(error))
            return EXIT_BAD_SETTINGS
        allocator.return_large_blocks()
        asyncio.run(instance.Instance(config=config).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
