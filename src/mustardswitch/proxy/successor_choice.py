"""Chooses the server to promote under a claim, and ends the commits that its log would lack.

The decisions are made by ``internal.promotion``. The server is recorded in the store first, and
instances that see the record send no commits to another primary. Others may not have read it, or
have lost the store, so the primary is stopped, and all instances confirm that they hold commits
back, or may send none without newer records. If the primary does not answer this instance, the
others order it to stop as well; without any answer a choice is made only once its process has
ended.
"""

import asyncio
import collections.abc

from mustardswitch import tasks
from mustardswitch.internal import clock, handover, ids, positions, promotion
from mustardswitch.proxy import claimed_attempt, end_of_commits, server_commands

HANDOVER_TIMEOUT_S = 2.5
"""Time for the other servers to be paused, and for the primary to be stopped; a leaving primary
keeps running for several times as long."""
STOP_ORDERS = 2
"""Orders to stop which a primary answers without stopping, after which it is asked no more."""
UNLIKELY_ANSWER_S = 0.15
"""Time that a server which has lost its entry, and has given no answer yet, gets to answer after
the others; a new connection and a query between regions."""

Command = collections.abc.Callable[
    [collections.abc.Set[ids.ServerId]], collections.abc.Awaitable[server_commands.Statuses]
]
"""Sends one command to servers, and returns the status of each one that answers."""

IGNORED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the primary runs and does not take the order to stop"
)


class SuccessorChoice(end_of_commits.EndOfCommits):
    """The choice of the next primary of a service by the holder of a claim."""

    # Deciding

    def answering(self, primary: ids.ServerId | None, silent: bool) -> set[ids.ServerId]:
        """Return the servers that may answer: all but a ``silent`` primary."""
        return self.possible_holders() - ({primary} if silent else set())

    async def decide(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        """Decide, and record a server that is to be promoted.

        The servers are queried once more after that: a pause may have ended, or a server may have
        started, while the record was written.
        """
        choice = await self._decide_once(primary, silent)
        while choice.verdict is promotion.Verdict.PROMOTE and choice.server != self.requested:
            if not await self._record(choice.server):
                return end_of_commits.NOT_RECORDED
            choice = await self._decide_once(primary, silent)
        return choice

    async def _decide_once(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        statuses = await self._query_known(self.answering(primary, silent))
        started_s = clock.now_s()
        while (
            primary in self._refusing_to_leave()
            and clock.now_s() - started_s < end_of_commits.PAUSE_TIMEOUT_S
        ):
            await asyncio.sleep(claimed_attempt.POLL_S)
            statuses = await self._query_known(self.answering(primary, silent))
        self._raise_term(statuses)
        if primary in self._refusing_to_leave():
            if self.requested is None:
                return IGNORED
            # Commits are held for an earlier change, so it is stopped however long that takes.
            return await self.decide_without_primary(primary, statuses)
        leader = promotion.leading_server(statuses, known=primary, requested=self.requested)
        if leader is None:
            return await self.decide_without_primary(primary, statuses)
        # Its replicas may receive more of its log.
        if not await self.withdraw_final_ends():
            return end_of_commits.NOT_RECORDED
        # A primary that was stopped may lead again after a crash.
        self.stopped_end = None
        # A leader that is not listed serves no callers; it is replaced if that lasts.
        awaited = self.requested == leader or self._may_be_listed_again(leader)
        if leader != primary and self.requested in (None, leader) and awaited:
            return promotion.Choice(
                verdict=promotion.Verdict.ALREADY_LED,
                server=leader,
                reason="another server already leads",
            )
        return await self._decide_handover(leader, statuses)

    async def _query_known(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> server_commands.Statuses:
        """Query servers; those that hardly answer get little time."""
        unlikely = (servers - self.confirming()) | self._unlikely(servers)
        return await self._ask(self.commands.query, servers, unlikely=unlikely)

    def _unlikely(self, servers: collections.abc.Set[ids.ServerId]) -> set[ids.ServerId]:
        """Return the servers without an entry that have given this holder no answer.

        Most of them have left. The end of a primary that answers proves a choice without them.
        """
        return servers & self.target.unlisted.keys() - self.commands.answers.keys()

    async def _ask(
        self,
        command: Command,
        servers: collections.abc.Set[ids.ServerId],
        *,
        unlikely: collections.abc.Set[ids.ServerId],
    ) -> server_commands.Statuses:
        """Send a command to servers; the ``unlikely`` ones get little time after the others."""
        asking = asyncio.create_task(command(unlikely))
        try:
            statuses = await command(servers - unlikely)
            done, _ = await asyncio.wait({asking}, timeout=UNLIKELY_ANSWER_S)
            return statuses | (asking.result() if done else {})
        finally:
            await tasks.cancel_and_wait([asking])

    async def _pause_beside_primary(
        self,
        statuses: server_commands.Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
    ) -> server_commands.Statuses:
        """Pause the other servers of a primary that answers; see ``pause_others``."""

        async def pause(servers: collections.abc.Set[ids.ServerId]) -> server_commands.Statuses:
            others = self.possible_holders() - servers
            return await self.pause_others(statuses, spared=spared | others)

        servers = self.possible_holders() - spared
        return await self._ask(pause, servers, unlikely=self._unlikely(servers))

    def _may_be_listed_again(self, name: ids.ServerId) -> bool:
        """Return whether a server is listed, or its entry was removed a short time ago.

        One that was promoted without an entry is cut off from the store, and serves no callers
        until it is replaced.
        """
        known = self.target.unlisted.get(name)
        if known is None or known.backend.entry.role is not promotion.Role.PRIMARY:
            return name in self.target.servers
        return self.target.unlisted.expired_recently(name)

    async def _decide_handover(
        self, primary: ids.ServerId, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        replicas = {
            name: status
            for name, status in statuses.items()
            if name != primary and (name in self.target.servers or name == self.requested)
        }
        successor = handover.choose_successor(
            replicas=replicas, leaving=self._leaving(), requested=self.requested
        )
        if successor is None and self.requested is not None:
            return promotion.Choice(
                verdict=promotion.Verdict.KEEP,
                server=primary,
                reason=f"server {self.requested}, whose promotion was requested, does not answer",
            )
        if successor is None:
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="no replica that is not leaving answered"
            )
        if replicas[successor].paused:
            await self.commands.resume({successor})
        self.primary_end = max(self.primary_end, statuses[primary].received)
        if not await self._reaches(successor, statuses[primary].received):
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT,
                reason=f"the successor lags behind the primary's end {statuses[primary].received}",
            )
        choice = await self._decide_successor(primary, successor, statuses)
        if choice.verdict is promotion.Verdict.PROMOTE and self.requested == successor:
            return await self._stop_primary(primary, successor)
        return choice

    async def _decide_successor(
        self, primary: ids.ServerId, successor: ids.ServerId, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        """Pause the other servers until the successor alone confirms commits and lacks none."""
        started_s = clock.now_s()
        while True:
            paused = await self._pause_beside_primary(statuses, spared={primary, successor})
            latest = await self.commands.query({successor})
            choice = promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the successor does not answer"
            )
            if successor in latest:
                choice = handover.evaluate_handover(
                    expected=self.confirming() - {primary},
                    paused=paused,
                    successor=successor,
                    successor_status=latest[successor],
                    primary_leaves=primary in self._leaving(),
                )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > HANDOVER_TIMEOUT_S:
                return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
            statuses = await self._query_known(self.confirming() - {primary, successor})

    async def _reaches(self, server: ids.ServerId, end: positions.Position) -> bool:
        """Return whether a server receives a position within ``end_of_commits.SUCCESSOR_LAG_S``."""
        started_s = clock.now_s()
        while True:
            status = (await self.commands.query({server})).get(server)
            if status is not None and status.received >= end:
                return True
            if clock.now_s() - started_s > end_of_commits.SUCCESSOR_LAG_S:
                return False
            await asyncio.sleep(claimed_attempt.POLL_S)

    async def _stop_primary(
        self, primary: ids.ServerId, successor: ids.ServerId
    ) -> promotion.Choice:
        """Stop a primary, and choose a server that has reached the end of its log.

        It leads until all instances hold commits: until then its end could not prove a choice, and
        if this attempt ends it still serves.
        If the successor does not reach the end in time, any server that has may be chosen, also the
        primary itself: what the successor lacks may have been confirmed by a server that is not
        known. A primary that runs and does not stop is kept.
        """
        if not await self.ensure_recorded(successor):
            return end_of_commits.NOT_RECORDED
        await self.await_hold()
        started_s = clock.now_s()
        orders_ignored = 0
        statuses: server_commands.Statuses = {}
        self.ordered_to_stop = True
        while clock.now_s() - started_s < HANDOVER_TIMEOUT_S and orders_ignored < STOP_ORDERS:
            if not self.holds_claim():
                break
            # Before the end is read: a commit that was under way may be appended until then.
            report = self.hold_commits()
            answers = await self.commands.step_down({primary}, self.term)
            orders_ignored += any(status.leads for status in answers.values())
            in_time = clock.now_s() - started_s < end_of_commits.SUCCESSOR_LAG_S
            others = set() if in_time else self.possible_holders()
            statuses = await self.commands.query({primary, successor} | others)
            if primary in statuses and not self.note_stopped(primary, statuses[primary]):
                return end_of_commits.STARTED_ANEW
            if self._has_gone(primary, statuses):
                break
            # An end of an earlier turn may have been read before commits were held, and one that
            # came while statements ran may grow by what their instances have given up.
            former = statuses.get(primary)
            is_final = former is not None and not former.running
            if is_final and self.stopped_end is not None:
                await self._record_end(primary, self.stopped_end)
                proved = {successor} if in_time else set(statuses)
                choice = self.choose(
                    expected=self.confirming(),
                    paused={},
                    receiving={name: statuses[name] for name in proved & set(statuses)},
                    report=report,
                )
                if choice.verdict is not promotion.Verdict.WAIT:
                    return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
        runs = primary in statuses or primary in self.commands.refusing
        if runs and self.stopped_end is None:
            return IGNORED
        return await self.decide_without_primary(primary, {})

    def _has_gone(self, primary: ids.ServerId, statuses: server_commands.Statuses) -> bool:
        """Return whether a primary neither answers nor is listed; others may have to prove it."""
        answers = primary in statuses or primary in self.commands.refusing
        return not answers and primary not in self.target.servers

    def _refusing_to_leave(self) -> set[ids.ServerId]:
        """Return the leaving servers that run, but refuse to answer, for example as overloaded."""
        return self.commands.refusing & self._leaving()
