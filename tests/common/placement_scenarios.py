"""Loads on uneven servers and gateways; ``python -m tests.common.placement_scenarios`` prints what
each gives without and with the feature ``placement``."""

import collections.abc
import dataclasses

import logbook
import pytest

from tests.common import replayed_load

FAULT_S = 5.0
"""Duration of the faults, which begin at 0."""
END_S = 10.0
GATEWAYS = {"b": 2, "a": 2}
SERVER, GATEWAY = "server-b", "b0"
FLAP_S = 0.7


def _during(**faults: object) -> replayed_load.Script:
    def script(replay: replayed_load.Replay, now_s: float) -> None:
        active = 0 <= now_s < FAULT_S
        replay.target.faults = replayed_load.Faults(**(faults if active else {}))

    return script


def _flap(replay: replayed_load.Replay, now_s: float) -> None:
    replay.group.crash(SERVER, down=0 <= now_s < FAULT_S and int(now_s / FLAP_S) % 2 == 0)


def _nothing(replay: replayed_load.Replay, now_s: float) -> None:
    pass


def _swing(now_s: float) -> float:
    """Demand of the zone that varies by 0.55; its gateways serve 300 reads a second."""
    if now_s < 0:
        return 100.0
    return 230.0 * (1.55 if int(now_s / 2.5) % 2 == 0 else 0.45)


def _burst(now_s: float) -> float:
    return 1500.0 if 0 <= now_s < 3.0 else 100.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load and its faults; ``gateways`` tells whether reads are forwarded."""

    script: replayed_load.Script
    gateways: bool = False
    rate_per_s: collections.abc.Callable[[float], float] | float = 60.0


SCENARIOS = {
    "no fault": Scenario(script=_nothing),
    "server 8 times slower": Scenario(script=_during(slowness=8.0)),
    "the same with 150 reads/s": Scenario(script=_during(slowness=8.0), rate_per_s=150.0),
    "server fails 45 %": Scenario(script=_during(error_share=0.45)),
    "server rejects 45 %": Scenario(script=_during(error_share=0.45, rejects=True)),
    "server fails all, answers status": Scenario(script=_during(error_share=1.0)),
    "server silent": Scenario(script=_during(silent=True)),
    "server flaps": Scenario(script=_flap),
    "server loses 5 % of the answers": Scenario(script=_during(loss=0.05)),
    "gateways, no fault": Scenario(script=_nothing, gateways=True),
    "gateway 5.5 times slower": Scenario(script=_during(slowness=5.5), gateways=True),
    "gateway silent": Scenario(script=_during(silent=True), gateways=True),
    "gateway loses 5 % of the answers": Scenario(script=_during(loss=0.05), gateways=True),
    "demand swings by 0.55": Scenario(script=_nothing, gateways=True, rate_per_s=_swing),
    "demand 2.5 times what all serve": Scenario(script=_nothing, gateways=True, rate_per_s=_burst),
}


def replay(
    monkeypatch: pytest.MonkeyPatch, name: str, *, placement: bool, seed: int = 1
) -> replayed_load.Replay:
    """Replay a scenario."""
    scenario = SCENARIOS[name]
    return replayed_load.replay(
        monkeypatch,
        scenario.script,
        placement=placement,
        duration_s=END_S,
        rate_per_s=scenario.rate_per_s,
        gateways=GATEWAYS if scenario.gateways else None,
        target=GATEWAY if scenario.gateways else SERVER,
        seed=seed,
    )


SEEDS = range(1, 6)


def main() -> None:
    """Print the figures as a Markdown table, each the mean of ``SEEDS``."""
    print(
        "| load | placement | served | p50 | p95 | p99 | longest | attempts | share of the target |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    with logbook.NullHandler().applicationbound(), pytest.MonkeyPatch.context() as monkeypatch:
        for name in SCENARIOS:
            for placement in (False, True):
                runs = [replay(monkeypatch, name, placement=placement, seed=s) for s in SEEDS]
                print(f"| {name} | {'on' if placement else 'off'} | {_figures(runs)} |")


def _figures(runs: list[replayed_load.Replay]) -> str:
    def mean(figure: collections.abc.Callable[[replayed_load.Replay], float]) -> float:
        return sum(map(figure, runs)) / len(runs)

    quantiles = [
        f"{1000 * mean(lambda run, share=share: run.latency_s(share, 0.0, FAULT_S)):.0f} ms"
        for share in (0.5, 0.95, 0.99, 1.0)
    ]
    shares = [
        f"{mean(lambda run, a=a, b=b: run.share_at(run.target, a, b)):.2f}"
        for a, b in ((-3.0, 0.0), (0.0, 1.0), (1.0, 5.0), (5.0, 7.0), (7.0, 10.0))
    ]
    served = 100 * mean(lambda run: run.served(0.0, FAULT_S))
    attempts = mean(lambda run: run.attempts_per_read(0.0, FAULT_S))
    return " | ".join([f"{served:.1f} %", *quantiles, f"{attempts:.2f}", " ".join(shares)])


if __name__ == "__main__":
    main()
