"""Chooses the gateways for forwarded statements by their answers (feature ``placement``).

The decisions are in ``internal/placement/gateway_choice``. An instance judges gateways by the
answers to the statements that it forwarded itself; no messages are exchanged about it.
"""

import asyncio
import collections.abc
import contextlib
import copy
import itertools
import random

from mustardswitch import metrics
from mustardswitch.internal import clock, ids
from mustardswitch.internal.placement import attempt_times, forwarding, gateway_choice, health
from mustardswitch.peers import errors
from mustardswitch.proxy import placing, ports, requests, stalls

PATIENCE = 2.0
"""Multiple of the time to wait for a gateway that answers other statements meanwhile."""
RESOLUTION_S = 0.001
"""Shortest wait; timers are not more exact than this."""
HOMES_COMPARED = 6
"""Gateways of a tenant that are compared as long as one of them is sound; comparing all of a large
fleet for each statement would cost a small instance several percent of its time."""
FORGET_S = 300.0
"""Time after which a gateway that receives no work is forgotten."""


class GatewayRecord:
    """What this instance knows of one gateway."""

    def __init__(self, *, judged: health.Health) -> None:
        self.health = judged
        self.pending: dict[int, float] = {}
        """When each statement that is not answered was sent (``clock.now_s``)."""
        self.answered_at_s = float("-inf")
        self.used_at_s = clock.now_s()

    def __repr__(self) -> str:
        return f"GatewayRecord(health={self.health!r}, pending={len(self.pending)})"

    def preview(self) -> "GatewayRecord":
        """Return a copy on which decisions can be tried."""
        copied = copy.copy(self)
        copied.health = self.health.preview()
        return copied

    def silent_since_s(self, now_s: float) -> float:
        """Return when the oldest statement that no answer has followed was sent, or ``now_s``."""
        if not self.pending:
            return now_s
        return min(now_s, max(min(self.pending.values()), self.answered_at_s))


class Attempt:
    """One statement at one gateway."""

    def __init__(
        self,
        *,
        record: GatewayRecord,
        kind: gateway_choice.KindOfWork,
        placing: "GatewayPlacing",
        reads: bool,
    ) -> None:
        self.record = record
        self.reads = reads
        self.kind = kind
        self.placing = placing
        self.sent_s = clock.now_s()
        self.cut_short = False
        """Whether it is given up before the statement's deadline."""

    def __repr__(self) -> str:
        return f"Attempt(record={self.record!r}, kind={self.kind!r})"

    @property
    def elapsed_s(self) -> float:
        """Time since the statement was sent, without stalls of this instance."""
        return clock.now_s() - self.sent_s - self.placing.stalls.stalled_s(self.sent_s)

    @property
    def silent(self) -> bool:
        """Whether the gateway has answered nothing since the statement was sent."""
        return self.record.answered_at_s < self.sent_s

    @property
    def attempt_s(self) -> float:
        """How long to wait before a read is tried at another gateway."""
        own = self.record.health.times
        times = own if own.measured else self.placing.times
        scaled_s = times.attempt_s * self.placing.usual.scale(self.kind)
        return min(attempt_times.MAX_ATTEMPT_S, max(attempt_times.MIN_ATTEMPT_S, scaled_s))

    def note_answer(self, answer: requests.Answer) -> None:
        """Record the answer.

        A rejection is no sign of a fault of the gateway: its tenant may be above its limit, or the
        servers full.
        """
        now_s = clock.now_s()
        self.record.answered_at_s = now_s
        self.placing.budget.note_answer()
        if not answer.succeeded:
            self.record.health.note_neutral()
            return
        scaled_s = self.placing.usual.note(self.kind, self.elapsed_s)
        self.record.health.note_answer(scaled_s, now_s)
        self.placing.times.note(scaled_s)

    def note_broken(self, error: errors.PeerError) -> None:
        """Record that the attempt had no answer."""
        now_s = clock.now_s()
        judged = self.record.health
        waited_s = self.elapsed_s / self.placing.usual.scale(self.kind)
        if not self.cut_short and not isinstance(error.__cause__, TimeoutError):
            judged.note_unreachable(now_s, reason=str(error))
        elif self.placing.stalls.stalled_s(self.sent_s) > 0:
            # The answer may have arrived while this instance did not run.
            judged.note_neutral()
        elif self.silent:
            judged.note_timeout(waited_s, now_s, reason=str(error))
        else:
            # It answers other statements: the packet was lost, or the statement takes longer.
            judged.times.note_timeout(waited_s)
            judged.note_neutral()


class GatewayPlacing:
    """Chooses the gateways for the statements that this instance forwards."""

    def __init__(self, *, registry: metrics.Registry, meter: stalls.StallMeter) -> None:
        self.reporter = placing.Reporter(kind="gateway", registry=registry)
        self.stalls = meter
        self.usual = gateway_choice.UsualLatencies()
        self.budget = attempt_times.RetryBudget()
        self.times = attempt_times.AttemptTimes()
        """Latencies of all gateways, for those that have answered few statements."""
        self.random = random.Random()
        self.records: dict[ids.InstanceId, GatewayRecord] = {}
        self.tokens = itertools.count()

    def __repr__(self) -> str:
        return f"GatewayPlacing(reporter={self.reporter!r})"

    def preview(self) -> "GatewayPlacing":
        """Return a copy that decides as this one would now, without a trace in this one."""
        copied = copy.copy(self)
        copied.reporter = placing.SilentReporter(kind="gateway", registry=self.reporter.registry)
        copied.records = {gateway: each.preview() for gateway, each in self.records.items()}
        copied.random = copy.copy(self.random)
        return copied

    def record(self, gateway: ids.InstanceId) -> GatewayRecord:
        """Return what is known of a gateway."""
        found = self.records.get(gateway)
        if found is None:
            self._forget_unused()
            found = GatewayRecord(
                judged=self.reporter.new_health(
                    gateway, usual_latency_s=gateway_choice.USUAL_LATENCY_S
                )
            )
            self.records[gateway] = found
        return found

    def _forget_unused(self) -> None:
        oldest_s = clock.now_s() - FORGET_S
        for gateway, record in list(self.records.items()):
            if not record.pending and record.used_at_s < oldest_s:
                del self.records[gateway]

    def _judged(
        self, gateway: ids.InstanceId, *, other_zone: bool = False
    ) -> gateway_choice.JudgedGateway:
        now_s = clock.now_s()
        record = self.record(gateway)
        since_s = record.silent_since_s(now_s)
        return gateway_choice.JudgedGateway(
            instance=gateway,
            health=record.health,
            in_flight=len(record.pending),
            now_s=now_s,
            silent_s=now_s - since_s - self.stalls.stalled_s(since_s),
            measured=now_s < record.health.measured_at_s + gateway_choice.RECENT_S,
            other_zone=other_zone,
        )

    def _note_displaced(
        self,
        judged: collections.abc.Iterable[gateway_choice.JudgedGateway],
        slow: collections.abc.Container[ids.InstanceId],
    ) -> None:
        now_s = clock.now_s()
        for each in judged:
            each.health.note_displaced(
                each.instance in slow, now_s, reason=f"latency {each.latency_s:.3f} s"
            )

    def order(
        self,
        plan: forwarding.GatewayPlan,
        *,
        zone: ids.ZoneName,
        regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
        may_probe: bool,
    ) -> list[ids.InstanceId]:
        """Return the gateways of the zone and of its region in the order in which to try them."""
        own = plan.gateways_by_zone.get(zone, ())
        judged = [
            self._judged(gateway, other_zone=gateway not in own)
            for gateway in forwarding.order_gateways(
                plan, zone=zone, regions=regions, avoided=(), start=0
            )
        ]
        self._note_displaced(judged, gateway_choice.slow_gateways(judged))
        return gateway_choice.order_gateways(
            judged, now_s=clock.now_s(), draw=self.random.random, may_probe=may_probe
        )

    def order_homes(
        self, ranking: list[ids.InstanceId], *, homes: int, may_probe: bool
    ) -> list[ids.InstanceId]:
        """Return a tenant's gateways in the order in which to try them."""
        judged = [self._judged(gateway) for gateway in ranking[:HOMES_COMPARED]]
        if not any(each.health.state is health.State.NORMAL for each in judged):
            judged = [self._judged(gateway) for gateway in ranking]
        self._note_displaced(judged, gateway_choice.worse_homes(judged))
        return gateway_choice.order_homes(
            judged,
            homes=homes,
            now_s=clock.now_s(),
            draw=self.random.random,
            may_probe=may_probe,
        )

    def note_unreachable(self, gateway: ids.InstanceId, why: str) -> None:
        """Record that nothing can be sent to a gateway, or that it runs no new work."""
        self.record(gateway).health.note_unreachable(clock.now_s(), reason=why)

    async def execute(
        self,
        gateway: ids.InstanceId,
        service: ids.ServiceName,
        command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback,
        answering: collections.abc.Coroutine[None, None, requests.Answer],
        *,
        may_cut_short: bool = False,
    ) -> requests.Answer:
        """Return the answer of a gateway to a statement, and judge the gateway by it.

        With ``may_cut_short`` a read is given up when it takes unusually long. Raises PeerError.
        """
        with self._attempt(gateway, service, command) as attempt:
            pending = asyncio.create_task(answering)
            try:
                if may_cut_short and attempt.reads:
                    await self._wait_for_read(attempt, pending)
                answer = await pending
            finally:
                pending.cancel()
            attempt.note_answer(answer)
            return answer

    async def _wait_for_read(
        self, attempt: Attempt, pending: asyncio.Task[requests.Answer]
    ) -> None:
        """Wait for the answer to a read while it is worth it; raises PeerBrokenError after that.

        A gateway that answers nothing is given up sooner than one that answers other statements,
        which will most likely answer this one too. Up to ``MAX_ATTEMPT_S`` the budget must allow
        for it, so that no load is added while all gateways are late.
        """
        attempt_s = attempt.attempt_s
        stages = (
            (attempt_s, True, True),
            (min(PATIENCE * attempt_s, attempt_times.MAX_ATTEMPT_S), False, True),
            (attempt_times.MAX_ATTEMPT_S, True, False),
        )
        for wait_s, only_silent, from_budget in sorted(stages):
            while (left_s := wait_s - attempt.elapsed_s) > RESOLUTION_S and not pending.done():
                await asyncio.wait({pending}, timeout=left_s)
            if pending.done():
                return
            if only_silent and not attempt.silent:
                continue
            if from_budget and not self.budget.available:
                continue
            if from_budget:
                self.budget.spend()
            self.reporter.note_cut_short()
            attempt.cut_short = True
            raise errors.PeerBrokenError("the gateway does not answer")

    @contextlib.contextmanager
    def _attempt(
        self,
        gateway: ids.InstanceId,
        service: ids.ServiceName,
        command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback,
    ) -> collections.abc.Iterator[Attempt]:
        access = getattr(command, "access", None)
        kind = gateway_choice.KindOfWork(
            service=service,
            access=access.value if access is not None else type(command).__name__,
        )
        self.stalls.start()
        record = self.record(gateway)
        attempt = Attempt(
            record=record, kind=kind, placing=self, reads=access is requests.Access.READ
        )
        token = next(self.tokens)
        record.used_at_s = attempt.sent_s
        record.pending[token] = attempt.sent_s
        record.health.note_attempt(attempt.sent_s)
        try:
            yield attempt
        except errors.PeerError as error:
            attempt.note_broken(error)
            raise
        finally:
            del record.pending[token]
