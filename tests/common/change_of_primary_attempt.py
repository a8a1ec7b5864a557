"""What a holder knows, and orders that are late, in the machine for changes of primary."""

import dataclasses

from hypothesis import strategies as st

from mustardswitch.internal import ids, positions, promotion

A, B, C, D = (ids.ServerId(f"server-{zone}") for zone in "abcd")
servers = st.sampled_from([A, B, C, D])
MAY_BE_LATE = st.one_of(st.none(), servers)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One claim holder's change of primary."""

    token: int
    primary: ids.ServerId | None
    leaves: bool
    requested_before: ids.ServerId | None
    requested: ids.ServerId | None
    term: int = 0
    stopped_end: positions.Position | None = None
    recorded: bool = False
    """Whether this holder has recorded a server, so that no instance sends commits to others."""
    confirmed: bool = False
    request_sent: bool = False
    unanswered: bool = False
    """Whether a request got no answer."""
    kept: ids.ServerId | None = None
    """The primary that was promoted again, and whose promotion has not taken effect."""
    verdict: promotion.Verdict = promotion.Verdict.WAIT


@dataclasses.dataclass(frozen=True, kw_only=True)
class LateOrder:
    """An order to a server that is executed at some later time; a RESUME has no term.

    One that ``stops`` is a STEPDOWN, one with a term otherwise a PAUSE.
    """

    server: ids.ServerId
    term: int | None = None
    stops: bool = False
