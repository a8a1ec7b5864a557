"""Reports for how long an instance may send no commits, and why."""

from mustardswitch import events
from mustardswitch.internal import clock
from mustardswitch.proxy import directory

MAX_NAMES = 10
"""Instances that one log line names at most."""


class PermissionLog:
    """Whether this instance was last seen to be permitted to send commits."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.not_permitted_since_s: float | None = None
        """Since when this instance may send no commits; None if it may."""

    def __repr__(self) -> str:
        return f"PermissionLog(not_permitted_since_s={self.not_permitted_since_s!r})"

    def check(self) -> None:
        """Log when commits are not permitted any more, and when they are again."""
        now_s, known = clock.now_s(), self.directory.permission
        permitted = self.directory.may_send_commits()
        if permitted == (self.not_permitted_since_s is None):
            return
        self.directory.registry.set_gauge("commits_not_permitted", int(not permitted))
        if permitted:
            lasted_s = now_s - self.not_permitted_since_s
            self.not_permitted_since_s = None
            self.directory.registry.count("commits_not_permitted_seconds", amount=lasted_s)
            events.log(events.Event.COMMITS_PERMITTED, lasted_s=round(lasted_s, 3))
            return
        self.not_permitted_since_s = now_s
        unheard = known.unheard(now_s, self.directory.other_instances())
        events.log(
            events.Event.COMMITS_NOT_PERMITTED,
            records_age_s=round(now_s - known.as_of_s, 3),
            registered=self.directory.instances.is_listed(self.directory.instance),
            store_lost=self.directory.servers.outage,
            unheard=" ".join(sorted(unheard)[:MAX_NAMES]),
            unheard_count=len(unheard),
        )
