"""The record of a durable request. Performs no I/O and reads no clock.

Stages of a record. One incarnation owns it at a time:

    ACCEPTED   accepted; no attempt is known that may have run
    CLAIMED    an attempt may be open or may have run; written before its first byte is sent
    FINAL      the one answer is recorded and is given to every client that asks again

An attempt that is proven never to have run is removed, and a record without attempts is ACCEPTED again. A
successor goes on from the record: with an ACCEPTED one as if it had just arrived, with its first deadline;
with a CLAIMED one from its earlier attempts, for which the policy decides what the class allows.

Invariants: a FINAL record never changes; a record never loses an attempt that may have run.

All times are those of the machine's monotonic clock, in ms. `record_codec.py` has the stored names.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from zlib import crc32

from eiderfield.exchange.request import Answer, Request, Verdict

DEFAULT_FRONT = "platform"  # the front whose clients wait on a connection


class Stage(IntEnum):
    """The stage of a record. The values are stored."""

    ACCEPTED = 0
    CLAIMED = 1
    FINAL = 2


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt that may have run: the worker's name, zone and cell, and when it was sent."""

    number: int
    worker: str
    zone: str
    cell: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class RequestHead:
    """All of a request except its body, class and times."""

    target: str = ""
    host: str = ""
    key: str = ""  # the idempotency key, '' for none
    subject: int = 0
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Record:
    """A durable request."""

    id: str
    class_name: str
    deadline: float
    accepted_at: float
    head: RequestHead
    body: bytes
    stage: Stage = Stage.ACCEPTED
    attempts: tuple[AttemptRecord, ...] = ()
    takeovers: int = 0  # how many incarnations have taken it over
    generation: int = 1  # how often its id had been taken when it was accepted
    front: str = DEFAULT_FRONT
    finished_at: float = 0.0  # 0 without an answer
    verdict: str = ""  # of the answer, '' without one
    result: bytes = b""
    retry_after: float = 0.0
    may_have_run: bool = False
    attempt_count: int = 0  # of the answer
    reason: str = ""  # of the answer, for operators

    @property
    def size(self) -> int:
        """The size of body and result, in bytes."""
        return len(self.body) + len(self.result)

    @property
    def key(self) -> str:
        """The idempotency key, '' for none."""
        return self.head.key

    @property
    def digest(self) -> int:
        """A checksum of what is requested. A request with the same id and another digest is another one."""
        return crc32(self.body, crc32(f"{self.class_name} {self.head.target} {self.key}".encode()))

    @property
    def answer(self) -> Answer:
        """The answer of a FINAL record."""
        return Answer(
            Verdict(self.verdict), self.result, self.retry_after, self.may_have_run, self.attempt_count
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether the answer is given to a client that asks again.

        A rejection is not: the client may submit the request again without harm.
        """
        return self.stage == Stage.FINAL and self.verdict != Verdict.DECLINED.value

    def with_attempt(self, attempt: AttemptRecord) -> Record:
        """Return the record with an attempt that is about to start."""
        return replace(self, stage=Stage.CLAIMED, attempts=(*self.attempts, attempt))

    def without_attempt(self, number: int) -> Record:
        """Return the record without an attempt that is proven never to have run."""
        attempts = tuple(attempt for attempt in self.attempts if attempt.number != number)
        return replace(self, attempts=attempts, stage=Stage.CLAIMED if attempts else Stage.ACCEPTED)

    def finished_with(self, answer: Answer, now: float, reason: str = "") -> Record:
        """Return the record with its final answer, given at `now`."""
        return replace(
            self,
            stage=Stage.FINAL,
            finished_at=now,
            verdict=answer.verdict.value,
            result=answer.result,
            retry_after=answer.retry_after,
            may_have_run=answer.may_have_run,
            attempt_count=answer.attempts,
            reason=reason,
        )

    def taken_over(self) -> Record:
        """Return the record as its next owner writes it, with the attempts numbered from 0."""
        attempts = tuple(replace(attempt, number=number) for number, attempt in enumerate(self.attempts))
        return replace(self, takeovers=self.takeovers + 1, attempts=attempts)

    def shifted(self, offset: float, now: float) -> Record:
        """Return the record on a clock that is `offset` ms ahead and shows `now`.

        Whatever was recorded lies in the past of `now`, and no more time is left than the request had at
        first.
        """
        accepted_at = min(self.accepted_at + offset, now)
        attempts = tuple(
            replace(attempt, sent_at=min(attempt.sent_at + offset, now)) for attempt in self.attempts
        )
        deadline = min(self.deadline + offset, now + self.deadline - self.accepted_at)
        finished_at = min(self.finished_at + offset, now) if self.finished_at else 0.0
        return replace(
            self, deadline=deadline, accepted_at=accepted_at, attempts=attempts, finished_at=finished_at
        )


def record_of(
    request: Request, class_name: str, now: float, accepted_at: float, front: str = DEFAULT_FRONT
) -> Record:
    """Return the record of a request that is accepted now.

    `now` is the time of the process's clock, on which the request has its deadline; `accepted_at` is the same
    moment on the monotonic clock.
    """
    head = RequestHead(
        target=request.target,
        host=request.host,
        key=request.idempotency_key,
        subject=request.subject,
        tenant=request.tenant_index,
        slots=request.slots,
        memory=request.memory,
    )
    deadline = request.deadline - now + accepted_at
    return Record(request.id, class_name, deadline, accepted_at, head, request.body, front=front)


def request_of(record: Record, class_index: int, now: float, monotonic: float) -> Request:
    """Return the request of a record, with its deadline on the process's clock.

    `now` on the process's clock and `monotonic` on the monotonic clock are the same moment.
    """
    head = record.head
    return Request(
        id=record.id,
        class_index=class_index,
        deadline=record.deadline - monotonic + now,
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
