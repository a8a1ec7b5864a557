"""Questions when the store can have accepted that a server leaves, and the answers to them."""

import dataclasses

from mustardswitch.internal import ids
from mustardswitch.peers import datagram_fields, errors


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveQuestion:
    """Asks how long ago the store may have accepted the announcement of a server at most."""

    service: ids.ServiceName
    server: ids.ServerId
    started_ms: int
    """The start of the server, to which the announcement is bound."""
    asked_at_s: float
    """When the sender asked, by its own clock."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveAnswer:
    """Answers a question with the most seconds for which the announcement was accepted."""

    question: LeaveQuestion
    age_s: float


def encode_question(question: LeaveQuestion) -> list[object]:
    """Encode a question."""
    return [question.service, question.server, question.started_ms, question.asked_at_s]


def decode_question(value: object) -> LeaveQuestion:
    """Decode a question; raises InvalidDatagramError."""
    if not isinstance(value, list) or len(value) != 4:
        raise errors.InvalidDatagramError("expected a service, a server, its start and a time")
    service, server = datagram_fields.decode_server(*value[:2])
    return LeaveQuestion(
        service=service,
        server=server,
        started_ms=datagram_fields.decode_number(value[2]),
        asked_at_s=datagram_fields.decode_asked_at(value[3]),
    )


def encode_answer(answer: LeaveAnswer) -> list[object]:
    """Encode an answer; the age is rounded up, so that it is not too small."""
    age_s = datagram_fields.encode_age(answer.age_s + 0.001)
    return [*encode_question(answer.question), age_s]


def decode_answer(value: object) -> LeaveAnswer:
    """Decode an answer; raises InvalidDatagramError."""
    if not isinstance(value, list) or len(value) != 5 or value[4] is None:
        raise errors.InvalidDatagramError("expected a question and an age")
    return LeaveAnswer(
        question=decode_question(value[:4]), age_s=datagram_fields.decode_age(value[4])
    )
