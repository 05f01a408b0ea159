"""The record of a durable request, and how it becomes a request again. No I/O, no clock.

States of a record, which one incarnation owns at a time and moves forward only:

    ACCEPTED   accepted; no attempt that may have run is known
    CLAIMED    an attempt may be out, or may have run: written before its first byte leaves
    FINAL      its one answer is recorded, and is given to whoever asks again

An attempt that is proven never to have run is taken off, and a record without attempts is ACCEPTED again.
Whoever takes a request over goes on from its record: an ACCEPTED one as if it had just arrived, with its
first deadline; a CLAIMED one with its earlier attempts, from which the policy decides what the class allows.

What must never happen: a FINAL record changes; a record loses an attempt that may have run. Times are those
of the machine's monotonic clock, in ms. The stored names (`cls`, `due`, `legs`, ...) are older than these.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import IntEnum
from zlib import crc32

from eiderfield.exchange.request import Answer, Request, Verdict


class Stage(IntEnum):
    """How far a request is."""

    ACCEPTED = 0
    CLAIMED = 1
    FINAL = 2


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt that may have run: the worker's name and place, and when it was sent."""

    number: int
    worker: str
    zone: str
    cell: int
    sent: float

    def encode(self) -> list[object]:
        """Its stored form."""
        return [self.number, self.worker, self.zone, self.cell, self.sent]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """All of a request but its body, class and times."""

    target: str = ""
    host: str = ""
    key: str = ""  # the idempotency key, '' for none
    subject: int = 0
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0

    def encode(self) -> str:
        """Its stored form."""
        return json.dumps(
            {
                "target": self.target,
                "host": self.host,
                "key": self.key,
                "subject": self.subject,
                "tenant": self.tenant,
                "slots": self.slots,
                "memory": self.memory,
            }
        )

    @classmethod
    def decode(cls, text: str) -> RequestHead:
        """Out of the stored form; `ValueError` or `TypeError` if it is none."""
        return cls(**json.loads(text))


@dataclass(frozen=True, slots=True)
class Record:
    """A durable request. `due` and `accepted` are monotonic times."""

    id: str
    cls: str  # the name of its class
    due: float
    accepted: float
    head: RequestHead
    body: bytes
    stage: Stage = Stage.ACCEPTED
    attempts: tuple[AttemptRecord, ...] = ()
    takeovers: int = 0  # how many incarnations have taken it over
    generation: int = 1  # how often its id had been taken when it was accepted
    front: str = "platform"  # or batch, whose clients do not wait on a connection
    finished: float = 0.0
    verdict: str = ""
    result: bytes = b""
    retry_after: float = 0.0
    may_have_run: bool = False
    attempt_count: int = 0  # of its answer
    reason: str = ""  # for its answer, for operators

    @property
    def size(self) -> int:
        """Bytes that its body and result take."""
        return len(self.body) + len(self.result)

    @property
    def key(self) -> str:
        """Its idempotency key, '' for none."""
        return self.head.key

    @property
    def digest(self) -> int:
        """Of what is requested: the same id with another digest is another request."""
        return crc32(self.body, crc32(f"{self.cls} {self.head.target} {self.key}".encode()))

    @property
    def answer(self) -> Answer:
        """Its final answer."""
        return Answer(
            Verdict(self.verdict), self.result, self.retry_after, self.may_have_run, self.attempt_count
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether its answer is given again to who asks again: after a rejection asking anew is harmless."""
        return self.stage == Stage.FINAL and self.verdict != Verdict.DECLINED.value

    def with_attempt(self, attempt: AttemptRecord) -> Record:
        """With an attempt that is about to begin."""
        return replace(self, stage=Stage.CLAIMED, attempts=(*self.attempts, attempt))

    def without_attempt(self, number: int) -> Record:
        """Without an attempt that is proven never to have run."""
        attempts = tuple(attempt for attempt in self.attempts if attempt.number != number)
        return replace(self, attempts=attempts, stage=Stage.CLAIMED if attempts else Stage.ACCEPTED)

    def finished_with(self, answer: Answer, now: float, reason: str = "") -> Record:
        """With its final answer."""
        return replace(
            self,
            stage=Stage.FINAL,
            finished=now,
            verdict=answer.verdict.value,
            result=answer.result,
            retry_after=answer.retry_after,
            may_have_run=answer.may_have_run,
            attempt_count=answer.attempts,
            reason=reason,
        )

    def taken_over(self) -> Record:
        """As its next owner writes it, who numbers attempts from those that there were."""
        attempts = tuple(replace(attempt, number=number) for number, attempt in enumerate(self.attempts))
        return replace(self, takeovers=self.takeovers + 1, attempts=attempts)

    def shifted(self, span: float, now: float) -> Record:
        """With its times on a clock that is `span` ahead, on which it is `now`. All that was written lies in
        the past, and no more time is left than there was at first."""
        accepted = min(self.accepted + span, now)
        attempts = tuple(replace(attempt, sent=min(attempt.sent + span, now)) for attempt in self.attempts)
        due = min(self.due + span, now + self.due - self.accepted)
        finished = min(self.finished + span, now) if self.finished else 0.0
        return replace(self, due=due, accepted=accepted, attempts=attempts, finished=finished)


def record_of(request: Request, cls: str, now: float, accepted: float, front: str = "platform") -> Record:
    """The record of a request. `now` is the time of the clock that its `due` is told in, `accepted` the same
    moment on the monotonic one."""
    head = RequestHead(
        request.target,
        request.host,
        request.idempotency_key,
        request.subject,
        request.tenant_index,
        request.slots,
        request.memory,
    )
    due = request.deadline - now + accepted
    return Record(request.id, cls, due, accepted, head, request.body, front=front)


def request_of(record: Record, cls: int, now: float, monotonic: float) -> Request:
    """The request of a record, with `due` on the clock that says `now` where the monotonic one says
    `monotonic`."""
    head = record.head
    return Request(
        id=record.id,
        class_index=cls,
        deadline=record.due - monotonic + now,
        target=head.target,
        host=head.host,
        body=record.body,
        idempotency_key=head.key,
        subject=head.subject,
        is_client_retry=True,
        tenant_index=head.tenant,
        slots=head.slots,
        memory=head.memory,
    )
