"""Judges the answers that the callers of a soak received against the logs of the database group."""

import collections.abc
import dataclasses
import itertools

from mustardswitch_standins import line_protocol_databases, replication

MAX_STALENESS_S = 1.5
"""Staleness bound of the routes; as ``max_staleness_ms`` in the deployment's configuration."""
NOT_RUN_ERRORS = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
"""Error codes which state that a statement had no effect."""
RAN, NOT_RUN, UNKNOWN = "ran", "not run", "unknown"
"""Outcomes of a statement."""


@dataclasses.dataclass(kw_only=True)
class Write:
    """A write and its outcome; time in seconds."""

    request: str
    outcome: str
    session: int
    answered_at_s: float


@dataclasses.dataclass(kw_only=True)
class Read:
    """A successful read and the length of the log at the server that ran it; time in seconds."""

    kind: str
    session: int
    sent_at_s: float
    length: int


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All writes and successful reads of the callers."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    invalid_answers: list[list[str]] = dataclasses.field(default_factory=list)
    """Answers that are not rows, their end and READY."""


def is_valid(answer: collections.abc.Sequence[str]) -> bool:
    """Whether an answer is rows, then ``COMPLETE`` or ``ERROR``, then ``READY``.

    One that ends with the connection, an empty last line, may lack the rest.
    """
    verbs = [line.partition(" ")[0] for line in answer]
    closed = verbs[-1] == ""
    if closed:
        verbs.pop()
    elif verbs.pop() != "READY":
        return False
    rows = list(itertools.takewhile(lambda verb: verb == "DATAROW", verbs))
    ends = verbs[len(rows) :]
    return (closed and not ends) or ends in (["COMPLETE"], ["ERROR"])


def outcome(answer: collections.abc.Sequence[str]) -> str:
    """Return the outcome of the statement; rows that precede ``ERROR`` do not count.

    It is known once ``COMPLETE`` or a promise that nothing ran has arrived, even if the connection
    is closed before ``READY``.
    """
    for line in answer:
        verb, _, rest = line.partition(" ")
        if verb == "COMPLETE":
            return RAN
        if verb == "ERROR":
            return NOT_RUN if rest.partition(" ")[0] in NOT_RUN_ERRORS else UNKNOWN
    return UNKNOWN


def surviving_log(group: replication.ReplicatedGroup) -> list[str]:
    """Return the log of the present primary, or without one the longest log of any server.

    Servers that have ended for good do not count.
    """
    server = group.primary or max(group.servers.values(), key=lambda server: len(server.log))
    return [entry.data for entry in server.log]


def find_missing_primary(group: replication.ReplicatedGroup) -> list[str]:
    """Return a description if no running server is the primary."""
    if group.primary is not None and group.primary.up:
        return []
    return [f"no primary at the end, the last one was {group.leader.name}"]


def find_late_statements(
    databases: line_protocol_databases.LineProtocolDatabases, drain_s: float
) -> list[str]:
    """Describe the statements at leaving servers later than ``drain_s`` after their reports."""
    return [
        f"{arrival.request} reached {arrival.server} {after_s:.2f} s after its report"
        for arrival, after_s in databases.late_arrivals(drain_s)
    ]


def longest_interruption_s(
    writes: collections.abc.Iterable[Write],
    started_s: float,
    ended_s: float,
    *,
    possible_from_s: collections.abc.Iterable[float] = (),
) -> float:
    """Return the longest time without an acknowledged write, in seconds.

    A time in which the primary was the only server that ran ends at one of ``possible_from_s``: no
    other server could confirm a write until then.
    """
    acknowledged_s = [write.answered_at_s for write in writes if write.outcome == RAN]
    times_s = sorted([*acknowledged_s, *possible_from_s])
    return max(
        later_s - earlier_s
        for earlier_s, later_s in itertools.pairwise([started_s, *times_s, ended_s])
    )


def find_violations(
    observed: Observations,
    log: collections.abc.Sequence[str],
    lost: collections.abc.Mapping[str, list[str]],
) -> list[str]:
    """Return a description of each violated guarantee.

    ``log`` holds the surviving commits in order, ``lost`` the acknowledged commits that a promotion
    discarded, with the other servers that held them.
    """
    outcomes = {write.request: write.outcome for write in observed.writes}
    found = [
        f"acknowledged commit {request} is lost, held by {', '.join(holders) or 'no server'};"
        f" its caller's outcome is {outcomes.get(request)!r}"
        for request, holders in lost.items()
    ]
    found += [f"invalid answer {answer}" for answer in observed.invalid_answers]
    log_index = {request: index for index, request in enumerate(log)}
    found += [
        f"{request} ran {log.count(request)} times"
        for request in log_index
        if log.count(request) > 1
    ]
    for write in observed.writes:
        if write.outcome == RAN and write.request not in log_index:
            found.append(f"write {write.request} was acknowledged and is not in the log")
        if write.outcome == NOT_RUN and write.request in log_index:
            found.append(f"write {write.request} was answered as not run and is in the log")
    acknowledged = [
        write for write in observed.writes if write.outcome == RAN and write.request in log_index
    ]
    for read in observed.reads:
        found += _find_missing_writes(read, acknowledged, log_index)
    return found


def _find_missing_writes(
    read: Read, acknowledged: list[Write], log_index: dict[str, int]
) -> list[str]:
    """Describe each acknowledged write that the read had to show and does not."""
    allowed_staleness_s = 0.0 if read.kind == "primary" else MAX_STALENESS_S
    missing = [
        write.request
        for write in acknowledged
        if log_index[write.request] >= read.length
        and (
            write.answered_at_s < read.sent_at_s - allowed_staleness_s
            or (read.kind == "read_your_writes" and write.session == read.session)
        )
        and write.answered_at_s < read.sent_at_s
    ]
    return [f"{read.kind} read of length {read.length} is missing {request}" for request in missing]
