"""What an instance tells of the commits of one service that it has acknowledged."""

import dataclasses

from mustardswitch.internal import former_primary, positions
from mustardswitch.peers import datagram_fields, errors

MAX_SAMPLES = 4
"""Samples of a log in what one instance tells."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgedSample:
    """A position that the primary has shown in answer to a query; ages in seconds."""

    sent_s: float
    answered_s: float
    position: positions.Position


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ToldCommits:
    """What the sender has acknowledged, and what it has seen of the log, as it sends this."""

    shown: positions.Position | None
    """The highest position that came with a commit that it has sent; None without one."""
    answered_s: float
    """Seconds for which its process has run, and has had an answer to each commit."""
    samples: tuple[AgedSample, ...] = ()


def encode(told: ToldCommits | None) -> list[object] | None:
    """Encode what an instance tells, or None if it does not tell."""
    if told is None:
        return None
    return [
        datagram_fields.encode_position(told.shown),
        told.answered_s,
        [
            [each.sent_s, each.answered_s, datagram_fields.encode_position(each.position)]
            for each in told.samples
        ],
    ]


def decode(value: object) -> ToldCommits | None:
    """Decode what an instance tells, or None; raises InvalidDatagramError."""
    if value is None:
        return None
    if not isinstance(value, list) or len(value) != 3:
        raise errors.InvalidDatagramError("expected a position, an age and samples")
    samples = datagram_fields.decode_list(value[2], MAX_SAMPLES)
    return ToldCommits(
        shown=datagram_fields.decode_position(value[0]),
        answered_s=_decode_known_age(value[1]),
        samples=tuple(_decode_sample(each) for each in samples),
    )


def _decode_sample(value: object) -> AgedSample:
    if not isinstance(value, list) or len(value) != 3:
        raise errors.InvalidDatagramError("expected two ages and a position")
    position = datagram_fields.decode_position(value[2])
    if position is None:
        raise errors.InvalidDatagramError("a sample needs a position")
    return AgedSample(
        sent_s=_decode_known_age(value[0]),
        answered_s=_decode_known_age(value[1]),
        position=position,
    )


def _decode_known_age(value: object) -> float:
    age_s = datagram_fields.decode_age(value)
    if age_s == former_primary.NEVER_S:
        raise errors.InvalidDatagramError("expected an age in seconds")
    return age_s
