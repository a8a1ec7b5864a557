"""What the callers of full runs send."""

import collections
import dataclasses
import random

import pytest

from mustardswitch_standins.full_run import caller_program, figures

SEED = 7
OPERATIONS = 400
CHECKOUT = figures.ROUTE_KINDS[0]


class RecordedSession(caller_program.Session):
    """A session whose statements succeed at once, except those with a word that ``fails``."""

    def __init__(self, *, fails: str = "") -> None:
        super().__init__(reader=None, writer=None)
        self.fails = fails
        self.texts: list[str] = []
        self.answered: list[str] = []
        """Requests that were waited for."""
        self.closed = False

    async def query(self, request, text, timeout_s):
        self.send(request, text)
        self.answered.append(request)
        return "FAILED" if text.split(" ")[0] == self.fails else ""

    def send(self, request, text):
        assert not self.closed
        self.texts.append(text)

    def close(self):
        self.closed = True


@pytest.fixture
def callers(monkeypatch):
    monkeypatch.setattr(caller_program, "PAUSE_S", 0.0)
    monkeypatch.setattr(caller_program, "LONG_PAUSE_S", 0.0)
    return caller_program.Callers(
        zone="a",
        ports=[],
        other_ports=[1],
        size=figures.SIZES["small"],
        rate=1.0,
        source=random.Random(SEED),
    )


async def run_transactions(callers, monkeypatch, **fields):
    """Run transactions, each in a session of its own; return the sessions with the outcomes."""
    opened = []

    async def connect(host):
        opened.append(RecordedSession(**fields))
        return opened[-1]

    monkeypatch.setattr(callers, "_connect", connect)
    outcomes = []
    for _ in range(OPERATIONS):
        callers.idle.clear()
        outcomes.append(await callers._attempt(CHECKOUT, "checkout-service-0", True))
    return list(zip(opened, outcomes, strict=True))


def statements(session):
    return [text for text in session.texts if text.split(" ")[0] in ("READ", "WRITE", "EXECUTE")]


async def test_callers_send_all_kinds_of_statements(callers):
    session = RecordedSession()
    for _ in range(OPERATIONS):
        assert await callers._run_statement(session, CHECKOUT) == ""
    sent = collections.Counter(text.split(" ")[0] for text in session.texts)
    assert min(sent[verb] for verb in ("READ", "WRITE", "SET", "PREPARE", "EXECUTE")) > 5
    assert sent["DEALLOC"] > 2
    assert sent["READ"] + sent["WRITE"] + sent["EXECUTE"] == OPERATIONS


async def test_callers_execute_only_names_that_their_session_has_prepared(callers):
    for _ in range(3):
        session, accesses = RecordedSession(), {}
        for _ in range(OPERATIONS // 4):
            await callers._run_statement(session, CHECKOUT)
        for text in session.texts:
            verb, name, *rest = text.split(" ")
            if verb == "PREPARE":
                accesses[name] = rest[0]
            elif verb == "EXECUTE":
                assert len(rest) == (2 if accesses[name] == "WRITE" else 1)
            elif verb == "DEALLOC":
                del accesses[name]


async def test_transactions_have_up_to_twelve_statements_and_write_more_than_once(
    callers, monkeypatch
):
    run = await run_transactions(callers, monkeypatch)
    counts = [len(statements(session)) for session, _ in run]
    assert min(counts) == 1 and max(counts) == 12
    assert sum(count > 4 for count in counts) > OPERATIONS / 20
    writes = [sum(text.startswith("WRITE") for text in each.texts) for each, _ in run]
    assert max(writes) > 1


async def test_some_callers_leave_in_the_middle_of_a_transaction(callers, monkeypatch):
    run = await run_transactions(callers, monkeypatch)
    left = [session for session, outcome in run if outcome == "left"]
    assert 5 < len(left) < OPERATIONS / 5
    assert all(session.closed and statements(session) for session in left)
    waits = [len(session.answered) == len(session.texts) for session in left]
    assert any(waits) and not all(waits)
    assert any(session.texts[-1] == "COMMIT" for session in left)
    ended = [session for session, outcome in run if outcome == "done"]
    assert all(session.texts[-1] in ("COMMIT", "ROLLBACK") for session in ended)


async def test_only_writes_of_answered_commits_count_as_written(callers, monkeypatch):
    kind = dataclasses.replace(CHECKOUT, writes=1.0)
    for fails, written in (("", True), ("COMMIT", False), ("EXECUTE", False)):
        callers.written.clear()
        callers.source.seed(SEED)
        session = RecordedSession(fails=fails)
        monkeypatch.setattr(caller_program, "PREPARED", 1.0 if fails == "EXECUTE" else 0.0)
        monkeypatch.setattr(caller_program, "ENDS_BY_ROLLBACK", 0.0)
        monkeypatch.setattr(caller_program, "LEAVES", 0.0)
        await callers._run_transaction(session, kind)
        assert len(callers.written) == (len(statements(session)) if written else 0)


async def test_an_error_before_a_statement_ends_the_operation(callers, monkeypatch):
    run = await run_transactions(callers, monkeypatch, fails="PREPARE")
    failed = [session for session, outcome in run if outcome == "failed"]
    assert failed and all(session.closed for session in failed)
    assert all(session.texts[-1].startswith("PREPARE") for session in failed)
