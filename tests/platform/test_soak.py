"""The fault soak: its checks find planted violations, and some seeds run with real processes."""

import pytest

from mustardswitch_standins import soak


def _write(request: str, outcome: str = "ran", session: int = 1, at_s: float = 1.0) -> soak.Write:
    return soak.Write(request=request, outcome=outcome, session=session, answered_at_s=at_s)


def _read(kind: str, length: int, session: int = 2, at_s: float = 2.0) -> soak.Read:
    return soak.Read(kind=kind, session=session, sent_at_s=at_s, length=length)


def test_finds_no_violation_in_a_correct_run():
    observed = soak.Observations(
        writes=[_write("w1"), _write("w2", outcome="not run"), _write("w3", outcome="unknown")],
        reads=[_read("primary", 1), _read("bounded_staleness", 0)],
    )
    assert soak.find_violations(observed, ["w1"], []) == []


@pytest.mark.parametrize(
    "observed, log",
    [
        (soak.Observations(writes=[_write("w1")]), []),
        (soak.Observations(writes=[_write("w1", outcome="not run")]), ["w1"]),
        (soak.Observations(writes=[_write("w1")]), ["w1", "w1"]),
        (soak.Observations(writes=[_write("w1")], reads=[_read("primary", 0)]), ["w1"]),
        (
            soak.Observations(
                writes=[_write("w1", session=2)], reads=[_read("read_your_writes", 0)]
            ),
            ["w1"],
        ),
        (
            soak.Observations(
                writes=[_write("w1")], reads=[_read("bounded_staleness", 0, at_s=9.0)]
            ),
            ["w1"],
        ),
    ],
)
def test_finds_every_planted_violation(observed, log):
    assert len(soak.find_violations(observed, log, [])) == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_finds_no_violation_under_seeded_faults(seed):
    assert soak.run_seed(seed, seconds=4.0) == []
