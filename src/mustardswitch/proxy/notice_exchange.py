"""Asks other instances when a server can have announced that it leaves.

An instance knows only that the announcement was accepted after the records that it had before, and
nothing if it has just started. Each other instance knows a bound of its own, and the latest bound
counts (``internal.leave_notices``).
"""

import collections.abc
import random

from mustardswitch.internal import clock, ids, members
from mustardswitch.peers import datagrams, leave_questions
from mustardswitch.proxy import directory

ASKED_PEERS = 3
"""Instances that are asked at a time; their watches of the store end at different times."""
ASK_INTERVAL_S = 0.2
"""Interval between questions, which may be lost; several round trips between regions."""
ASK_S = 0.5
"""Time from the reading of an announcement for which others are asked in any case."""

Send = collections.abc.Callable[
    [datagrams.PeerUpdate, collections.abc.Iterable[datagrams.PeerAddress]], None
]
"""Sends an update to some addresses."""
Answer = collections.abc.Callable[[ids.InstanceId, datagrams.PeerUpdate], None]
"""Sends an update to one instance."""


class NoticeExchange:
    """The questions of one instance about leaving servers, and its answers to others."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.asked_at_s: dict[members.Member, float] = {}
        """When others were asked last about a server (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"NoticeExchange(asked_at_s={self.asked_at_s!r})"

    def check(self, send: Send) -> None:
        """Ask about announcements that were read lately; call at short intervals."""
        now_s = clock.now_s()
        due = self._due(now_s)
        self.asked_at_s = {
            member: at_s
            for member, at_s in self.asked_at_s.items()
            if now_s < at_s + ASK_INTERVAL_S
        }
        if not due:
            return
        addresses = self.directory.peer_addresses()
        chosen = random.sample(addresses, min(ASKED_PEERS, len(addresses)))
        for first in range(0, len(due), datagrams.MAX_QUESTIONS):
            questions = tuple(due[first : first + datagrams.MAX_QUESTIONS])
            update = datagrams.PeerUpdate(instance=self.directory.instance, leave_asked=questions)
            send(update, chosen)
            for each in questions:
                self.asked_at_s[each.server, each.started_ms] = now_s

    def _due(self, now_s: float) -> list[leave_questions.LeaveQuestion]:
        return [
            leave_questions.LeaveQuestion(
                service=target.name, server=server, started_ms=started_ms, asked_at_s=now_s
            )
            for target in self.directory.services.values()
            if target.leave_notices.notices
            for server, started_ms in target.leave_notices.recent(now_s, within_s=ASK_S)
            if now_s >= self.asked_at_s.get((server, started_ms), float("-inf")) + ASK_INTERVAL_S
        ]

    def receive(self, update: datagrams.PeerUpdate, *, answer: Answer) -> None:
        """Note the answers of another instance, and ``answer`` its questions."""
        now_s = clock.now_s()
        for told in update.leave_told:
            self._note_answer(told, now_s)
        answers = [
            found
            for question in update.leave_asked
            if (found := self._find_answer(question, now_s)) is not None
        ]
        if answers:
            update_back = datagrams.PeerUpdate(
                instance=self.directory.instance, leave_told=tuple(answers)
            )
            answer(update.instance, update_back)

    def _note_answer(self, told: leave_questions.LeaveAnswer, now_s: float) -> None:
        """Note a bound; the answer was given after the question, so it holds as of then."""
        question = told.question
        target = self.directory.services.get(question.service)
        if target is not None and question.asked_at_s <= now_s:
            member = (question.server, question.started_ms)
            target.leave_notices.note_told(member, question.asked_at_s - told.age_s)

    def _find_answer(
        self, question: leave_questions.LeaveQuestion, now_s: float
    ) -> leave_questions.LeaveAnswer | None:
        target = self.directory.services.get(question.service)
        if target is None:
            return None
        notice = target.leave_notices.notices.get((question.server, question.started_ms))
        if notice is None or notice.not_before_s == float("-inf"):
            return None
        return leave_questions.LeaveAnswer(question=question, age_s=now_s - notice.not_before_s)
