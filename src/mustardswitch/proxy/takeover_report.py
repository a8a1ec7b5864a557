"""Keeps what the servers answered in a change of primary, for the log lines of the change."""

import collections.abc
import dataclasses

from mustardswitch.internal import clock, ids, promotion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import attempt_log, ports, server_commands, service


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A server's latest answer, and when it came (``clock.now_s``)."""

    status: promotion.ServerStatus
    at_s: float


MAX_SUMMARY = 400
"""Longest summary of a promotion, in characters; it fits a datagram."""


def summarize(
    *,
    server: ids.ServerId,
    choice: promotion.Choice,
    answers: dict[ids.ServerId, Answered],
    counted: set[ids.ServerId],
    known: set[ids.ServerId],
    now_s: float,
    state: promotion.FormerPrimary | None = None,
    former: str = "unknown",
    hold: str = "",
) -> str:
    """Summarize in one short line why a server may be promoted.

    What proves it, with the ``state`` of a primary that was not stopped, and how the ``former``
    primary was heard last come first, since collected lines may be cut. Then follow for how long
    commits were held, each server that counts with its end, ``p`` if it is paused or ``L`` if it
    leads, and the age of its answer in seconds, those that count and gave none, and those that are
    known and do not count.
    """
    proof = choice.proof.value if choice.proof is not None else choice.verdict.value
    if choice.proof is promotion.Proof.ALL_PAUSED and state is not None:
        proof = f"{proof}/{state.value}"
    parts = [proof, f"former {former}", server]
    parts += [hold] if hold else []
    for name in sorted(counted & answers.keys()):
        status = answers[name].status
        state = "L" if status.leads else "p" if status.paused else ""
        parts.append(f"{name}={status.received}{state}/{now_s - answers[name].at_s:.1f}")
    if silent := sorted(counted - answers.keys()):
        parts.append(f"silent: {' '.join(silent)}")
    if left_out := sorted(known - counted):
        parts.append(f"left out: {' '.join(left_out)}")
    return "; ".join(parts)[:MAX_SUMMARY]


def format_answer(answered: Answered, now_s: float) -> str:
    """Format an answer as its role, term, end of the log, state, and age in seconds."""
    status = answered.status
    state = "paused" if status.paused else "unpaused"
    age_s = now_s - answered.at_s
    return f"{status.role.value}/{status.term}/{status.received}/{state}/{age_s:.3f}s"


class RecordedCommands(server_commands.ServerCommands):
    """Sends the commands of one attempt to change a primary, and keeps the latest answers."""

    def __init__(self, *, target: service.Service) -> None:
        super().__init__(target=target)
        self.log = attempt_log.AttemptLog(service=target.name, registry=target.registry)
        self.answers: dict[ids.ServerId, Answered] = {}
        self.primary: ids.ServerId | None = None
        """The primary that is replaced: the known one, or the first that answered as such."""
        self.former_state: promotion.FormerPrimary | None = None
        """Why the primary executes nothing, as of the latest choice; None before it."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion was requested; None before that."""
        self.first_end: promotion.ServerStatus | None = None
        """The status in which that server was first seen to lead."""

    async def _run_on(
        self, name: ids.ServerId, query: server_commands.Query
    ) -> promotion.ServerStatus | None:
        status = await super()._run_on(name, query)
        if status is None:
            return None
        self.answers[name] = Answered(status=status, at_s=clock.now_s())
        self.target.acknowledged.note_status(name, status)
        self.log.note_status(name, status)
        if status.leads:
            self.target.hold.note_leader(name, status.term)
            if self.requested is None and self.primary is None:
                self.primary = name
            if self.requested == name and self.first_end is None:
                self.first_end = status
                self.log.note_led(status.term)
        return status

    def note_relayed(self, name: ids.ServerId, relayed: ports.RelayedStatus) -> None:
        """Keep what another instance has read of a server."""
        self.answers[name] = Answered(status=relayed.status, at_s=relayed.read_after_s)

    async def resume(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> collections.abc.Set[ids.ServerId]:
        """Resume servers, and return those that answered."""
        for name in servers:
            self.log.note_resumed(name)
        return await super().resume(servers)

    def note_start(self, primary: ids.ServerId | None) -> dict[str, object]:
        """Return the fields that tell which servers count, and how old their list is."""
        self.primary = primary
        listed, counted = self.target.servers, self.target.servers_with_commits()
        known = self.target.known_servers()
        registrations = self.target.hold.registrations
        return {
            "listed": _names(listed),
            "expired": _names(counted.keys() - listed.keys()),
            "expired_long_ago": _names(known.keys() - counted.keys()),
            "list_revision": registrations.revision,
            "list_age_s": round(registrations.age_s(clock.now_s()), 3),
            "store_lost": registrations.outage,
        }

    def _describe_former(self) -> str:
        backend = self.target.known_servers().get(self.primary)
        contact = backend.contacts.latest() if backend is not None else None
        return f"{self.primary} {contact or 'unheard'}"

    def summarize(self, server: ids.ServerId, choice: promotion.Choice, *, hold: str = "") -> str:
        """Summarize why a server may be promoted, and keep that for the other instances."""
        self.target.promotion_summary = summarize(
            server=server,
            choice=choice,
            answers=self.answers,
            counted=set(self.target.possible_holders()),
            known=set(self.target.known_servers()),
            now_s=clock.now_s(),
            state=self.former_state,
            former=self._describe_former(),
            hold=hold,
        )
        end = self._end_of(server) if choice.verdict is promotion.Verdict.PROMOTE else None
        self.target.note_proved(
            datagrams.ProvedPromotion(service=self.target.name, server=server, end=end),
            summary=self.target.promotion_summary,
        )
        return self.target.promotion_summary

    def note_request(self, server: ids.ServerId) -> dict[str, object]:
        """Return the fields that tell why a server may be promoted; count the first request."""
        if self.requested is None:
            self.target.registry.count("promotions_requested", self._kind(server))
        self.requested = server
        self.log.note_request(server)
        return {
            "end": self._end_of(server),
            "primary": self.primary,
            "primary_end": self._end_of(self.primary),
            "unanswered": _names(self._unanswered()),
            "answers": self._format_answers(),
        }

    def end_fields(self) -> dict[str, object]:
        """Return the fields that tell how an attempt ended."""
        first = self.first_end
        return {
            "first_end": first.received if first else None,
            "first_term": first.term if first else None,
            "unanswered": _names(self._unanswered()),
            "answers": self._format_answers(),
        }

    def _kind(self, server: ids.ServerId) -> str:
        if server == self.primary:
            return "kept"
        answered = self.primary in self.answers
        unpaused = [
            name
            for name in self.target.possible_holders().keys() - {server, self.primary}
            if name not in self.answers or not self.answers[name].status.paused
        ]
        kind = "primary_answered" if answered else "primary_silent"
        return f"{kind}_not_all_paused" if unpaused else kind

    def _unanswered(self) -> set[ids.ServerId]:
        return self.target.possible_holders().keys() - self.answers.keys()

    def _end_of(self, server: ids.ServerId | None) -> object:
        answered = self.answers.get(server) if server is not None else None
        return answered.status.received if answered else None

    def _format_answers(self) -> str:
        now_s = clock.now_s()
        return ", ".join(
            f"{name}={format_answer(answered, now_s)}"
            for name, answered in sorted(self.answers.items())
        )


def _names(servers: object) -> str:
    return ", ".join(sorted(servers))
