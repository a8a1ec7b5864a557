"""One instance in front of an in-memory group whose primary leaves; its clock can be advanced."""

from mustardswitch.internal import clock, ids
from mustardswitch.proxy import requests
from tests.common import proxy_world

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
DRAIN_S = 7.0
"""Time for which the users' leaving servers get new work."""
KINDS = tuple(requests.RouteKind)


class World(proxy_world.World):
    """An instance that has followed the store for long, as of the present moment."""

    def __init__(self, monkeypatch, **changes: object) -> None:
        self.skipped_s = 0.0
        now_s = clock.now_s
        monkeypatch.setattr(clock, "now_s", lambda: now_s() + self.skipped_s)
        super().__init__(**changes)
        self.directory.drain.drain_s = DRAIN_S
        self.confirm_records()

    def skip(self, seconds: float) -> None:
        """Let time pass, as it does while an instance is suspended."""
        self.skipped_s += seconds

    def confirm_records(self) -> None:
        """Record that the store was asked for the records in force just now."""
        self.directory.permission.note_current(clock.now_s())

    def leave(self, *names: ids.ServerId) -> None:
        """Let servers announce that they leave, and read that at once."""
        for name in names or (A,):
            self.group.servers[name].leaving = True
        self.list_servers()

    def take_down(self, *names: ids.ServerId) -> None:
        """Let servers crash."""
        for name in names:
            self.group.servers[name].up = False

    def end_new_work(self) -> None:
        """Let the time pass in which the primary gets new work, and notice that."""
        self.skip(DRAIN_S)
        self.service.end_new_work()

    def statements_at(self, name: ids.ServerId) -> list[str]:
        """Return the callers' statements that a server has run."""
        return [each.request for each in self.group.statements if each.server == name]
