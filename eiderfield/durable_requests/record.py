"""The record of a durable request. Performs no I/O and reads no clock.

Stages of a record. One incarnation owns it at a time:

    ACCEPTED   accepted; no attempt is known that may have run
    CLAIMED    an attempt may be open or may have run; written before the first byte of the attempt is sent
    FINAL      the one answer is recorded, and every client that submits the request again gets it

An attempt that is proven never to have run is removed, and a record without attempts is ACCEPTED again. A
successor continues from the record. It treats an ACCEPTED request like one that has just arrived, except that
the original deadline holds. For a CLAIMED one, the policy decides by the class and the earlier attempts
whether another attempt is allowed.

Invariants: a FINAL record never changes; a record never loses an attempt that may have run.

All times are those of the machine's monotonic clock, in ms. `record_codec.py` has the stored names.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from zlib import crc32

from eiderfield.exchange.request import Answer, Request, Verdict

DEFAULT_FRONT = "platform"  # the front whose clients wait for their answer on a connection


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
    tenant: int = 0  # index in the settings of the process that accepted the request
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
    takeovers: int = 0  # the number of incarnations that have taken it over
    generation: int = 1  # of its id (`ids.py`) when it was accepted
    front: str = DEFAULT_FRONT
    finished_at: float = 0.0  # when it was answered; 0 without an answer
    verdict: str = ""  # of the answer, '' without an answer
    result: bytes = b""
    retry_after: float = 0.0
    may_have_run: bool = False
    attempt_count: int = 0  # of the answer
    reason: str = ""  # of the answer, for operators
    released_attempts: int = 0  # attempts that are proven never to have run, which count as tries
    tenant_name: str | None = None  # '' for a tenant without a quota; None if an earlier revision recorded it

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
        """A checksum of class, target, key and body: with another digest, the same id is another request."""
        return crc32(self.body, crc32(f"{self.class_name} {self.head.target} {self.key}".encode()))

    @property
    def answer(self) -> Answer:
        """The answer of a FINAL record."""
        return Answer(
            Verdict(self.verdict), self.result, self.retry_after, self.may_have_run, self.attempt_count
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether a client that submits the request again gets this answer.

        A rejection is not repeated: the client may submit the request again as a new one.
        """
        return self.stage == Stage.FINAL and self.verdict != Verdict.DECLINED.value

    def with_attempt(self, attempt: AttemptRecord) -> Record:
        """Return the record with an attempt that is about to start."""
        return replace(self, stage=Stage.CLAIMED, attempts=(*self.attempts, attempt))

    def without_attempt(self, number: int) -> Record:
        """Return the record without an attempt that is proven never to have run."""
        attempts = tuple(attempt for attempt in self.attempts if attempt.number != number)
        return replace(
            self,
            attempts=attempts,
            released_attempts=self.released_attempts + len(self.attempts) - len(attempts),
            stage=Stage.CLAIMED if attempts else Stage.ACCEPTED,
        )

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
        """Return the record that a successor writes, with the attempts numbered from 0."""
        attempts = tuple(replace(attempt, number=number) for number, attempt in enumerate(self.attempts))
        return replace(self, takeovers=self.takeovers + 1, attempts=attempts)

    def shifted(self, offset: float, now: float) -> Record:
        """Return the record with its times converted to a clock that is `offset` ms ahead and shows `now`.

        All recorded events are at `now` or earlier, and the time left until the deadline is at most the time
        that the request had when it was accepted.
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
    request: Request,
    class_name: str,
    now: float,
    accepted_at: float,
    front: str = DEFAULT_FRONT,
    tenant_name: str | None = None,
) -> Record:
    """Return the record of a request that is being accepted.

    `now` is the current time on the process's clock, which the deadline of the request refers to;
    `accepted_at` is the same time on the monotonic clock.
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
    return Record(
        request.id,
        class_name,
        deadline,
        accepted_at,
        head,
        request.body,
        front=front,
        tenant_name=tenant_name,
    )


def request_of(
    record: Record, class_index: int, now: float, monotonic: float, tenant_index: int | None = None
) -> Request:
    """Return the request of a record, with its deadline on the process's clock.

    `now` on the process's clock and `monotonic` on the monotonic clock are the same time. `class_index` and
    `tenant_index` are those of this process's settings; without `tenant_index`, the recorded one is used.
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
        tenant_index=head.tenant if tenant_index is None else tenant_index,
        released_attempts=record.released_attempts,
        slots=head.slots,
        memory=head.memory,
    )
