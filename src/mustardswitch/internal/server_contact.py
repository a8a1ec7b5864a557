"""What an instance has last heard of a server: whether its process runs, as far as it can tell."""

import dataclasses
import enum

from mustardswitch.internal import clock


class Sign(enum.Enum):
    """What an attempt to reach a server has shown."""

    ANSWERED = "answered"
    """The server answered a statement or a query."""
    REFUSED = "refused"
    """It refused a session or a query, for example as overloaded; its process runs."""
    CONNECTED = "connected"
    """A connection was opened at its address; the server itself gave no answer in time."""
    NOT_LISTENING = "not_listening"
    """Its machine refused the connection: no process listens at its address."""
    UNREACHABLE = "unreachable"
    """No connection could be opened in time."""


SIGNS_OF_LIFE = (Sign.ANSWERED, Sign.REFUSED, Sign.CONNECTED)
"""Signs that a process listens at the server's address."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contact:
    """The latest sign of a server, and how long ago it was, in seconds."""

    sign: Sign
    age_s: float

    def __str__(self) -> str:
        return f"{self.sign.value} {self.age_s:.1f}s ago"


MAX_GAP_S = 1.0
"""Longest time between two findings that no process listens, in which none has been started and has
ended again; servers take longer to start."""


class ContactLog:
    """The times of the latest signs of one server (``clock.now_s``)."""

    def __init__(self) -> None:
        self.since_s = clock.now_s()
        """Since when signs are recorded; the server may have been heard right before."""
        self.at_s: dict[Sign, float] = {}
        self.not_listening_since_s: float | None = None
        """Since when no process was found to listen, again and again; None if one may."""
        self.unanswered = 0
        """Connections that are open and wait for the first answer, each of which is a contact."""

    def __repr__(self) -> str:
        return f"ContactLog(at_s={self.at_s!r})"

    def note(self, sign: Sign, now_s: float | None = None) -> None:
        """Record a sign that was seen now; ``now_s`` is the time if the caller has read it."""
        at_s = clock.now_s() if now_s is None else now_s
        if sign is Sign.NOT_LISTENING:
            known_s = self.at_s.get(sign, float("-inf"))
            if self.not_listening_since_s is None or at_s > known_s + MAX_GAP_S:
                self.not_listening_since_s = at_s
        elif sign is not Sign.UNREACHABLE:
            self.not_listening_since_s = None
        self.at_s[sign] = max(at_s, self.at_s.get(sign, at_s))

    def not_listening_s(self) -> float:
        """Return for how many seconds no process has listened, as far as is known; 0 if one may."""
        since_s, found_s = self.not_listening_since_s, self.at_s.get(Sign.NOT_LISTENING, 0.0)
        now_s = clock.now_s()
        if self.unanswered or since_s is None or now_s > found_s + MAX_GAP_S:
            return 0.0
        return now_s - since_s

    def ended_since(self, since_s: float) -> bool:
        """Return whether an attempt since then has found no process, and nothing else was heard."""
        found_s = self.at_s.get(Sign.NOT_LISTENING, float("-inf"))
        heard = [self.at_s.get(sign, float("-inf")) for sign in SIGNS_OF_LIFE]
        return not self.unanswered and found_s >= since_s and found_s >= max(heard)

    def age_s(self, *signs: Sign) -> float:
        """Return the seconds since the latest of some signs, or since they are recorded."""
        if self.unanswered and Sign.CONNECTED in signs:
            return 0.0
        seen_s = [self.at_s.get(sign, self.since_s) for sign in signs]
        return clock.now_s() - max(seen_s)

    def latest(self) -> Contact | None:
        """Return the latest sign of life, or that no process listens; None without any."""
        if self.unanswered:
            return Contact(sign=Sign.CONNECTED, age_s=0.0)
        known = {sign: at_s for sign, at_s in self.at_s.items() if sign is not Sign.UNREACHABLE}
        if not known:
            return None
        sign = max(known, key=known.__getitem__)
        return Contact(sign=sign, age_s=clock.now_s() - known[sign])
