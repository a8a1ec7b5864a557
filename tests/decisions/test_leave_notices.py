"""When a leaving server gets no new work any more, and what its callers are told.

Guards against statements that reach a leaving server later than the platform allows: by an instance
that reads the announcement late, starts meanwhile, was suspended, or sees the entry lapse.
"""

import dataclasses
import math

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import commit_permission, ids, leave_notices

DRAIN_S = 7.0
A = (ids.ServerId("a"), 1)
B = (ids.ServerId("b"), 1)
Verdict = leave_notices.Verdict


def _notices(drain_s: float | None = DRAIN_S) -> leave_notices.LeaveNotices:
    return leave_notices.LeaveNotices(drain=leave_notices.DrainSettings(drain_s=drain_s))


def _read(notices, *, at_s: float, as_of_s: float, leaving: bool = True, before: bool = True):
    return notices.note_entry(A, leaving=leaving, listed_before=before, as_of_s=as_of_s, now_s=at_s)


def test_new_work_ends_by_the_earliest_time_of_the_announcement():
    notices = _notices()
    _read(notices, leaving=False, at_s=10.0, as_of_s=9.0)
    _read(notices, at_s=14.0, as_of_s=11.0)
    ends_s = 11.0 - commit_permission.WATCH_LAG_S + DRAIN_S - leave_notices.TRANSIT_S
    assert notices.work_ends_s(A) == ends_s
    assert notices.accepts(A, ends_s - 0.001) and not notices.accepts(A, ends_s)


def test_a_staying_server_and_an_unknown_one_get_new_work():
    notices = _notices()
    _read(notices, leaving=False, at_s=10.0, as_of_s=9.0)
    assert notices.work_ends_s(A) == notices.work_ends_s(B) == math.inf


def test_without_the_setting_new_work_does_not_end():
    notices = _notices(drain_s=None)
    _read(notices, at_s=14.0, as_of_s=11.0)
    assert notices.work_ends_s(A) == math.inf


def test_the_setting_may_change_while_servers_leave():
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=11.0)
    before_s = notices.work_ends_s(A)
    notices.drain.drain_s = 10.0
    assert notices.work_ends_s(A) == before_s + 3.0


def test_an_announcement_that_is_the_first_sight_of_a_server_has_no_known_time():
    notices = _notices()
    notice = _read(notices, at_s=14.0, as_of_s=13.0, before=False)
    assert notice.not_before_s == -math.inf and not notices.accepts(A, 14.0)


def test_a_time_that_is_told_counts_if_it_is_later():
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=13.0, before=False)
    assert notices.note_told(A, 12.0)
    assert not notices.note_told(A, 11.0)
    assert notices.work_ends_s(A) == 12.0 + DRAIN_S - leave_notices.TRANSIT_S
    assert not notices.note_told(B, 12.0)


def test_an_entry_that_is_back_keeps_the_time_of_its_announcement():
    notices = _notices()
    _read(notices, leaving=False, at_s=10.0, as_of_s=9.0)
    _read(notices, at_s=14.0, as_of_s=11.0)
    ends_s = notices.work_ends_s(A)
    assert _read(notices, at_s=30.0, as_of_s=29.0, before=False) is None
    assert notices.work_ends_s(A) == ends_s


def test_an_entry_that_lapsed_as_staying_counts_from_when_it_was_listed():
    notices = _notices()
    _read(notices, leaving=False, at_s=10.0, as_of_s=9.0)
    notice = _read(notices, at_s=14.0, as_of_s=13.0, before=False)
    assert notice.not_before_s == 9.0 - commit_permission.WATCH_LAG_S


def test_an_announcement_that_was_overwritten_counts_from_the_last_sound_entry():
    """The store had accepted it before the entry of another writer, which was read first."""
    notices = _notices()
    _read(notices, leaving=False, at_s=10.0, as_of_s=9.0)
    for at_s in (12.0, 13.0):
        notices.note_entry(
            A, leaving=False, listed_before=True, as_of_s=at_s - 0.5, now_s=at_s, is_sound=False
        )
    notice = _read(notices, at_s=14.0, as_of_s=13.5)
    assert notice.not_before_s == 11.5 - commit_permission.WATCH_LAG_S


def test_an_announcement_is_taken_back_by_an_entry_of_a_staying_server():
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=11.0)
    _read(notices, leaving=False, at_s=15.0, as_of_s=14.5)
    assert notices.accepts(A, 100.0)


def test_servers_are_forgotten_long_after_their_entries():
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=11.0)
    notices.forget_old(14.0 + leave_notices.RETENTION_S)
    assert notices.notices
    notices.forget_old(14.1 + leave_notices.RETENTION_S)
    assert not notices.notices and not notices.listings


STAYS = leave_notices.Succession(staying=1)
ALONE = leave_notices.Succession(staying=0)
RECORDED = leave_notices.Succession(staying=1, recorded_at_s=30.0)
WAIT_S = leave_notices.CHANGE_WAIT_S


@pytest.mark.parametrize(
    ("succession", "now_s", "verdict", "retry_s"),
    [
        (STAYS, 16.0, Verdict.SEND, 0.0),
        (ALONE, 16.0, Verdict.SEND, 0.0),
        (STAYS, 20.0, Verdict.REFUSE, leave_notices.STAYING_RETRY_S),
        (ALONE, 20.0, Verdict.REFUSE, leave_notices.ALONE_RETRY_S),
        (RECORDED, 30.0 + WAIT_S - 0.01, Verdict.WAIT, 0.0),
        (RECORDED, 30.0 + WAIT_S, Verdict.REFUSE, leave_notices.RECORDED_RETRY_S),
        (dataclasses.replace(RECORDED, staying=0), 31.0, Verdict.REFUSE, 0.5),
    ],
)
def test_what_becomes_of_new_work(succession, now_s, verdict, retry_s):
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=13.0)
    decision = notices.decide(A, succession, now_s)
    assert (decision.verdict, decision.retry_s) == (verdict, retry_s)
    assert bool(decision.reason) is (verdict is not Verdict.SEND)


def test_new_work_waits_for_a_change_after_an_announcement_that_was_read_too_late():
    notices = _notices()
    _read(notices, at_s=14.0, as_of_s=0.0)
    assert notices.decide(A, STAYS, 14.0).verdict is Verdict.WAIT
    assert notices.decide(A, ALONE, 14.0).verdict is Verdict.REFUSE
    assert notices.decide(A, STAYS, 14.0 + WAIT_S).verdict is Verdict.REFUSE


@dataclasses.dataclass(kw_only=True)
class Instance:
    """An instance, and the store's entries that it has applied."""

    notices: leave_notices.LeaveNotices = dataclasses.field(default_factory=_notices)
    as_of_s: float = -math.inf
    """As of when the instance takes its records for complete."""
    entry: tuple[int, bool] | None = None
    """Start of the listed server, and whether it leaves; None without an entry."""


class LeavingServer(stateful.RuleBasedStateMachine):
    """One server and two instances; reports, restarts, late readings, lapses and changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.born = 1
        self.listed = True
        self.accepted_s = math.inf
        """When the store accepted the announcement of the present start."""
        self.recorded_at_s = -math.inf
        self.instances = [Instance(), Instance()]

    def _member(self) -> tuple[ids.ServerId, int]:
        return ids.ServerId("a"), self.born

    # The server and the store

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 5.0]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; also while an instance is suspended."""
        self.now_s += seconds

    @stateful.rule()
    def announce(self) -> None:
        """Let the server announce that it leaves; its entry is there then."""
        self.accepted_s = min(self.accepted_s, self.now_s)
        self.listed = True

    @stateful.rule()
    def toggle_entry(self) -> None:
        """Let the entry lapse, or be written again."""
        self.listed = not self.listed

    @stateful.rule()
    def start_again(self) -> None:
        """Let the server start again under its id; it stays."""
        self.born += 1
        self.accepted_s, self.listed = math.inf, True

    @stateful.rule(recorded=st.booleans())
    def change_record(self, recorded: bool) -> None:
        """Record the promotion of another server, or remove the record."""
        self.recorded_at_s = self.now_s if recorded else -math.inf

    # The instances

    @stateful.rule(index=st.integers(0, 1), took_s=st.floats(0.0, 3.0), lag=st.booleans())
    def read(self, index: int, took_s: float, lag: bool) -> None:
        """Read the list by a call that was sent ``took_s`` ago.

        With ``lag`` the store drops its history, and the reading lacks the latest changes.
        """
        instance = self.instances[index]
        missed_s = commit_permission.WATCH_LAG_S if lag else 0.0
        asked_s = self.now_s - took_s
        if asked_s <= instance.as_of_s:
            return
        missing = lag and asked_s - missed_s < self.accepted_s <= self.now_s
        # A reading that lacks changes does not undo any.
        missing = missing and instance.entry != (self.born, True)
        entry = (self.born, self.accepted_s <= self.now_s and not missing) if self.listed else None
        if entry is not None:
            before = instance.entry == (self.born, False)
            instance.notices.note_entry(
                self._member(),
                leaving=entry[1],
                listed_before=before,
                as_of_s=instance.as_of_s,
                now_s=self.now_s,
            )
        instance.entry = entry
        instance.as_of_s = asked_s

    @stateful.rule(index=st.integers(0, 1))
    def restart_instance(self, index: int) -> None:
        """Restart an instance, which knows nothing then."""
        self.instances[index] = Instance()

    @stateful.rule(delay_s=st.floats(0.0, 2.0))
    def tell(self, delay_s: float) -> None:
        """Let the second instance tell the first what it knows, as of a question of before."""
        first, second = self.instances
        notice = second.notices.notices.get(self._member())
        if notice is not None and notice.not_before_s > -math.inf:
            age_s = self.now_s - notice.not_before_s
            first.notices.note_told(self._member(), self.now_s - delay_s - age_s)

    # What must hold

    @stateful.invariant()
    def no_new_work_is_sent_after_the_notice(self) -> None:
        for instance in self.instances:
            if self._knows(instance) and instance.notices.accepts(self._member(), self.now_s):
                assert self.now_s + leave_notices.TRANSIT_S <= self.accepted_s + DRAIN_S

    def _knows(self, instance: Instance) -> bool:
        """Return whether an instance has read the announcement, and knows the server by it."""
        return self._member() in instance.notices.notices

    @stateful.invariant()
    def callers_wait_for_a_change_only_for_a_while_and_are_told_when_to_return(self) -> None:
        succession = leave_notices.Succession(staying=1, recorded_at_s=self.recorded_at_s)
        for instance in self.instances:
            decision = instance.notices.decide(self._member(), succession, self.now_s)
            notice = instance.notices.notices.get(self._member())
            if decision.verdict is Verdict.WAIT:
                since_s = max(notice.read_at_s, self.recorded_at_s)
                assert self.now_s < since_s + leave_notices.CHANGE_WAIT_S
            assert (decision.verdict is Verdict.REFUSE) is (decision.retry_s > 0)
            if notice is None:
                assert decision.verdict is Verdict.SEND


TestLeavingServer = LeavingServer.TestCase
TestLeavingServer.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)


def _violates(steps) -> bool:
    machine = LeavingServer()
    try:
        for name, *values in steps:
            getattr(machine, name)(*values)
            machine.no_new_work_is_sent_after_the_notice()
    except AssertionError:
        return True
    return False


READ, MISSING_READ = ("read", 0, 0.0, False), ("read", 0, 0.0, True)
ANNOUNCE = ("announce",)
LATE_READING = [READ, ANNOUNCE, ("pass_time", 2.0), READ, ("pass_time", 5.0)]
"""An announcement is read two seconds after the store has accepted it."""
MISSED_CHANGE = [READ, ANNOUNCE, ("pass_time", 0.9), MISSING_READ, ("pass_time", 0.1), READ]
MISSED_CHANGE += [("pass_time", 5.6)]
"""A reading while the store drops its history lacks an announcement of 0.9 s before."""
FIRST_SIGHT = [ANNOUNCE, ("pass_time", 5.0), READ, ("pass_time", 2.0)]
"""An instance starts five seconds after the announcement."""


@pytest.mark.parametrize("steps", [LATE_READING, MISSED_CHANGE, FIRST_SIGHT])
def test_the_machine_finds_nothing_with_all_parts(steps):
    assert not _violates(steps)


def test_the_machine_finds_an_end_that_counts_from_the_reading(monkeypatch):
    note_entry = leave_notices.LeaveNotices.note_entry

    def count_from_reading(self, member, **fields):
        return note_entry(self, member, **{**fields, "as_of_s": fields["now_s"] + 1.0})

    monkeypatch.setattr(leave_notices.LeaveNotices, "note_entry", count_from_reading)
    assert _violates(LATE_READING)


def test_the_machine_finds_an_end_without_the_time_for_missed_changes(monkeypatch):
    monkeypatch.setattr(leave_notices, "commit_permission", _NoLag)
    assert _violates(MISSED_CHANGE)


class _NoLag:
    """Stands for the module that tells for how long watches may miss changes."""

    WATCH_LAG_S = 0.0


def test_the_machine_finds_a_first_sight_that_counts_as_the_beginning(monkeypatch):
    note_entry = leave_notices.LeaveNotices.note_entry

    def count_as_listed(self, member, **fields):
        return note_entry(
            self, member, **{**fields, "listed_before": True, "as_of_s": fields["now_s"]}
        )

    monkeypatch.setattr(leave_notices.LeaveNotices, "note_entry", count_as_listed)
    assert _violates(FIRST_SIGHT)
