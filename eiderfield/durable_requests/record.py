"""What is written down of a job, and how it becomes a request again. No I/O, no clock.

Theory of operation. A record has one owner at a time, the life in whose store it stands last, and goes only
forward:

    ACCEPTED   taken; no leg that may have run is known
    CLAIMED    a leg may be out, or may have run: written down before its first byte leaves
    FINAL      its one answer stands, and is given to whoever asks again

A leg that is proven never to have run is taken off, and a job without legs is ACCEPTED again. Whoever takes a
job over goes on from what is written: an ACCEPTED one as if it had just come, but with its first deadline; a
CLAIMED one with the legs before it, from which the decision module sees what its class allows (safe: again;
keyed: where the repeat is dropped, within the window from the first leg; never twice: failed, and that it may
have run). Times are those of the machine's steady clock, in ms.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any
from zlib import crc32

from eiderfield.exchange import Answer, Request, Verdict


class Stage(IntEnum):
    """How far a job is."""

    ACCEPTED = 0
    CLAIMED = 1
    FINAL = 2


@dataclass(frozen=True, slots=True)
class LegNote:
    """A leg that may have run: the worker's name and place, and when it was handed out."""

    number: int
    worker: str
    zone: str
    cell: int
    sent: float

    def told(self) -> list[Any]:
        """Plain values."""
        return [self.number, self.worker, self.zone, self.cell, self.sent]


@dataclass(frozen=True, slots=True)
class Record:
    """A kept job. `taken` is by how many lives it was taken over; `due` and `accepted` are steady times."""

    id: str
    cls: str
    due: float
    accepted: float
    head: Mapping[str, Any]  # of its request, but for the body
    body: bytes
    stage: Stage = Stage.ACCEPTED
    legs: tuple[LegNote, ...] = ()
    taken: int = 0
    number: int = 1  # how often its id had been taken when this was
    front: str = "platform"  # or batch, whose clients do not wait on a connection
    finished: float = 0.0
    verdict: str = ""
    result: bytes = b""
    retry_after: float = 0.0
    may_have_run: bool = False
    legs_in_all: int = 0
    why: str = ""

    @property
    def size(self) -> int:
        """Bytes that its body and result take."""
        return len(self.body) + len(self.result)

    @property
    def key(self) -> str:
        """Its idempotency key, '' for none."""
        return str(self.head.get("key", ""))

    @property
    def digest(self) -> int:
        """Of what is asked for: the same id with another is another job."""
        return crc32(self.body, crc32(f"{self.cls} {self.head.get('target')} {self.key}".encode()))

    def claimed(self, leg: LegNote) -> Record:
        """With a leg that is about to begin."""
        return replace(self, stage=Stage.CLAIMED, legs=(*self.legs, leg))

    def unclaimed(self, number: int) -> Record:
        """Without a leg that is proven never to have run."""
        legs = tuple(leg for leg in self.legs if leg.number != number)
        return replace(self, legs=legs, stage=Stage.CLAIMED if legs else Stage.ACCEPTED)

    def over(self, answer: Answer, now: float, why: str = "") -> Record:
        """With its final answer."""
        return replace(
            self, stage=Stage.FINAL, finished=now, verdict=answer.verdict.value, result=answer.result,
            retry_after=answer.retry_after, may_have_run=answer.may_have_run, legs_in_all=answer.legs,
            why=why,
        )  # fmt: skip

    def inherited(self) -> Record:
        """As its next owner writes it down, whose legs are numbered from those that there were."""
        legs = tuple(replace(leg, number=number) for number, leg in enumerate(self.legs))
        return replace(self, taken=self.taken + 1, legs=legs)

    def moved(self, span: float, now: float) -> Record:
        """With its times on a clock that is `span` ahead, on which it is `now`. All that was written lies in
        the past, and no more time is left than there was at first."""
        accepted = min(self.accepted + span, now)
        legs = tuple(replace(leg, sent=min(leg.sent + span, now)) for leg in self.legs)
        due = min(self.due + span, now + self.due - self.accepted)
        finished = min(self.finished + span, now) if self.finished else 0.0
        return replace(self, due=due, accepted=accepted, legs=legs, finished=finished)

    @property
    def answer(self) -> Answer:
        """Its final answer."""
        return Answer(
            Verdict(self.verdict), self.result, self.retry_after, self.may_have_run, self.legs_in_all
        )

    @property
    def standing(self) -> bool:
        """Whether its answer is given again to who asks again: after a decline asking anew is harmless."""
        return self.stage == Stage.FINAL and self.verdict != Verdict.DECLINED.value


def record_of(a: Request, cls: str, now: float, accepted: float, front: str = "platform") -> Record:
    """The record of a request. `now` is the time of the clock that its `due` is told in, `accepted`
    the same moment on the steady one."""
    head = {
        "target": a.target, "host": a.host, "key": a.idempotency_key, "subject": a.subject,
        "tenant": a.tenant, "slots": a.slots, "memory": a.memory,
    }  # fmt: skip
    return Record(a.id, cls, a.due - now + accepted, accepted, head, a.body, front=front)


def request_of(record: Record, cls: int, now: float, steady: float) -> Request:
    """What a record asks for, with `due` on the clock that says `now` where the steady one says `steady`."""
    head = record.head
    return Request(
        record.id, cls, record.due - steady + now, str(head["target"]), str(head["host"]), record.body,
        str(head["key"]), int(head["subject"]), True, int(head["tenant"]), float(head["slots"]),
        float(head["memory"]),
    )  # fmt: skip


@dataclass(slots=True)
class Counts:
    """What custody has done since this process began."""

    accepted: int = 0
    joined: int = 0  # askers for a job that was there already
    refused: int = 0  # askers for whom nothing could be written down
    claims_refused: int = 0
    taken_over: int = 0
    expired: int = 0  # taken over with their time over
    fenced: int = 0  # lives of this process that others took for lost
    lost_answers: int = 0  # results of jobs that had been taken over meanwhile
    fences: int = 0  # written by this process
    written: int = 0  # commits
    slowest: float = 0.0  # ms that one took, the most
    failed: int = 0  # commits that the system refused
    at: dict[str, float] = field(default_factory=dict)
