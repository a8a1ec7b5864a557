"""Logs the changes of a service's leader, with what this instance was told about the promotion."""

import dataclasses

from mustardswitch import build, events
from mustardswitch.internal import ids

PROOF_CODES = {
    "primary_stopped": "stopped",
    "all_paused/replica": "p:replica",
    "all_paused/not_listening": "p:ended",
    "all_paused/gone": "p:gone",
    "all_paused/unknown": "p:unknown",
}
"""Codes of what proved a promotion, by the first word of its summary."""


def proof_code(summary: str) -> str:
    """Return a short code for what proved a promotion, from its summary."""
    word = summary.partition(";")[0]
    return PROOF_CODES.get(word, word) or events.UNKNOWN


@dataclasses.dataclass(kw_only=True, slots=True)
class ToldPromotion:
    """What this instance knows of a promotion that may take effect, or has."""

    server: ids.ServerId
    holder: str = events.UNKNOWN
    """The instance that holds the claim."""
    proof: str = events.UNKNOWN
    led: bool = False
    """Whether the server was seen to lead since."""


class LeaderChanges:
    """The latest leader that was logged, and what was told about the latest promotion."""

    def __init__(self, *, service: ids.ServiceName) -> None:
        self.service = service
        self.logged: ids.ServerId | None = None
        """The leader that the latest LEADER_CHANGED event named."""
        self.told: ToldPromotion | None = None

    def __repr__(self) -> str:
        return f"LeaderChanges(service={self.service!r}, logged={self.logged!r})"

    def note_told(
        self, server: ids.ServerId, *, holder: ids.InstanceId | None = None, summary: str = ""
    ) -> None:
        """Record who promotes a server, and the summary of the proof once there is one."""
        told = self.told
        known = told is not None and told.server == server
        if not known or (holder is not None and told.holder not in (events.UNKNOWN, holder)):
            told = self.told = ToldPromotion(server=server)
        told.holder = holder or told.holder
        if summary:
            told.proof = proof_code(summary)

    def log(self, leader: ids.ServerId | None, *, term: ids.Term | None) -> None:
        """Log that another server leads, or none; ``term`` is that of its lead if known."""
        before, self.logged = self.logged, leader
        told = self.told
        if told is not None and leader is not None:
            if told.server == leader:
                told.led = True
            elif told.led:
                told = self.told = None
        if told is None or told.server != leader:
            told = ToldPromotion(server=leader)
        known_term = events.UNKNOWN if term is None else term
        events.log(
            events.Event.LEADER_CHANGED,
            service=self.service,
            server=leader,
            **{"from": f"{before} {known_term} {told.proof} {told.holder}"},
            build=build.build_id(),
        )
