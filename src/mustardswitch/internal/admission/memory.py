"""Decides how many bytes are held for clients, and which connection is closed when it is too much.

What is counted: bytes received and not yet parsed, prepared shapes and session values, answers that
were not read yet, and, in a budget of their own, large statements while they are served.
"""

import collections.abc
import dataclasses
import enum
import typing

Key = typing.TypeVar("Key", bound=collections.abc.Hashable)

MB = 1_000_000
DEFAULT_MB = 512
"""Memory of a process where the settings name none."""
OWN_BYTES = 80 * MB
"""What a process needs without clients: 30 MB at the start, the records of a large deployment,
connections to servers, and at most 24 MB while one message of 1 MiB is parsed."""
MIN_CLIENTS_SHARE = 0.4
"""Share of the memory that clients get at least; for instances smaller than the usual ones."""
HELD_SHARE = 0.5
"""Share of what clients get that is held for callers between statements."""
SERVED_SHARE = 0.25
"""Share of what clients get for large statements while they are served. It is apart from what is
held, so that sessions with much state do not keep out single large statements; the rest is for
connections of other instances."""
CONNECTION_BYTES = 12 * 1024
"""Counted for each connection: 5 KB of objects, and small amounts that are not counted."""
CONNECTIONS_SHARE = 0.75
"""Largest share of what is held for callers that connections may take by their number alone, so
that a crowd of them leaves room for statements."""
UNCOUNTED_BYTES = 4096
"""Amounts up to this are not counted, so that small statements cost no bookkeeping."""
ORDINARY_BYTES = 64 * 1024
"""A connection that holds no more than this is closed only when no other is left."""
SESSION_STATE_BYTES = 4_500_000
"""Values and prepared shapes of one session: a value of 1 MiB with one character beyond the Basic
Multilingual Plane takes 4 MiB as text. It is sent along with each forwarded statement."""
LOW_WATER_SHARE = 0.9
"""Connections are closed until this share of the budget is held, so that not each new byte
closes another one."""
ASCII_FACTOR = 3
"""Copies of a statement while it is served: its text, and what is sent to the server."""
TEXT_FACTOR = 9
"""The same for text beyond ASCII, of which a character takes up to four bytes."""


def statement_bytes(line: bytes) -> int:
    """Return what serving a statement takes, by its line."""
    return len(line) * (ASCII_FACTOR if line.isascii() else TEXT_FACTOR)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shares:
    """How the memory of a process is divided, in bytes."""

    held: int
    """Held for all callers together."""
    served: int
    """For large statements of callers while they are served."""
    peers: int
    """Held for all connections of other instances together."""


def divide(memory_bytes: int) -> Shares:
    """Divide the memory of a process."""
    clients = max(memory_bytes - OWN_BYTES, int(memory_bytes * MIN_CLIENTS_SHARE))
    held, served = int(clients * HELD_SHARE), int(clients * SERVED_SHARE)
    return Shares(
        held=held,
        served=served,
        peers=clients - held - served,
    )


def connections_allowed(limit_bytes: int) -> int:
    """Return how many connections a budget has room for by their number alone."""
    return int(limit_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES


class Standing(enum.IntEnum):
    """Order in which connections are closed; among equals, the one that holds most goes first."""

    LARGE = 0
    LARGE_IN_TRANSACTION = 1
    ORDINARY = 2
    ORDINARY_IN_TRANSACTION = 3


def standing(held_bytes: int, *, in_transaction: bool) -> Standing:
    """Return where a connection stands in the order of closing."""
    if held_bytes > ORDINARY_BYTES:
        return Standing.LARGE_IN_TRANSACTION if in_transaction else Standing.LARGE
    return Standing.ORDINARY_IN_TRANSACTION if in_transaction else Standing.ORDINARY


class Budget(typing.Generic[Key]):
    """The bytes held for each connection, against the limit for all of them."""

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held: dict[Key, int] = {}
        self.total_bytes = 0

    def __repr__(self) -> str:
        return f"Budget(limit_bytes={self.limit_bytes!r}, total_bytes={self.total_bytes!r})"

    @property
    def exceeded(self) -> bool:
        """Whether more is held than allowed, so that connections are to be closed."""
        return self.total_bytes > self.limit_bytes

    def hold(self, key: Key, held_bytes: int) -> None:
        """Set what is held for a connection."""
        self.total_bytes += held_bytes - self.held.get(key, 0)
        self.held[key] = held_bytes

    def drop(self, key: Key) -> None:
        """Forget a connection, which is closed."""
        self.total_bytes -= self.held.pop(key, 0)

    def has_room(self, wanted_bytes: int) -> bool:
        """Return whether so much may be added; always while nothing is held."""
        return not self.total_bytes or self.total_bytes + wanted_bytes <= self.limit_bytes

    def victims(self, in_transaction: collections.abc.Callable[[Key], bool]) -> list[Key]:
        """Return the connections to close now, the first one first; empty within the limit."""
        if not self.exceeded:
            return []
        order = sorted(
            self.held,
            key=lambda key: (
                standing(self.held[key], in_transaction=in_transaction(key)),
                -self.held[key],
            ),
        )
        excess = self.total_bytes - LOW_WATER_SHARE * self.limit_bytes
        found: list[Key] = []
        for key in order:
            if excess <= 0:
                break
            excess -= self.held[key]
            found.append(key)
        return found
