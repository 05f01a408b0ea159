"""One sequence of three members on a disk that may fail, with what each caller was told.

The members begin, accept requests, claim attempts and answer some; one member is lost, and the others take
over its requests and answer them.
"""

from __future__ import annotations

from math import inf
from pathlib import Path

from eiderfield.durable_requests.errors import FolderError, StoreError
from eiderfield.durable_requests.inspection import Inspection
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Claim,
    Claimed,
    Finish,
    NotWritten,
    Written,
)
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.exchange.request import Answer
from support.durable_members import CLASS_NAME, SERVED, Host, apply_one, attempt_record, record
from support.failing_files import FailingFiles

JOBS = ("answered", "claimed", "accepted", "late")
MAX_TICKS = 100  # for which a caller goes on: an outage, a new incarnation, a lease and a takeover fit in
SETTLING_TICKS = 40  # in which a lost member's requests are taken over on a healthy disk


class Play:
    """The sequence, with what each caller was told."""

    def __init__(self, path: Path, faults: FailingFiles) -> None:
        """Put the folder below `path`, where `faults` makes operations fail."""
        self.host = Host(path, flush=True)
        self.faults = faults
        self.span = self.heals_at = inf
        self.members: dict[str, Member] = {}
        self.lost: set[str] = set()
        self.taken: set[str] = set()
        self.sent: dict[str, str] = {}  # by id, the incarnation that sent an attempt
        self.answers: dict[str, Answer] = {}

    def fail(self, kind: str, code: int, first: int, span: float) -> None:
        """Let the `first` operation of a kind and all that follow fail, for `span` ms."""
        self.faults.fail(kind, code, first)
        self.span = span

    def wait(self) -> None:
        """Tick each member that is not lost. The disk recovers once its time has come."""
        if self.faults.failed and self.heals_at == inf and self.faults.kind:
            self.heals_at = self.host.now + self.span
        self.host.now += self.host.settings.tick_interval_ms
        if self.host.now >= self.heals_at:
            self.faults.heal()
        for name, member in self.members.items():
            if name not in self.lost:
                member.tick()
                for taken_over in member.take_over():
                    self.adopted(taken_over)

    def adopted(self, record: Record) -> None:
        """Check a request that a member has taken over."""
        assert record.id not in self.answers, "taken over though it has its answer"
        assert record.attempts or record.id not in self.sent, "what may have run is forgotten"

    def begin(self, name: str) -> None:
        """Begin a member as `DurableRequestCoordinator.begin` does: a transient error stops no start."""
        member = Member(
            self.host.settings, name, {CLASS_NAME: 3.0}, self.host.said.append, lambda: self.host.now
        )
        self.members[name] = member
        failure = None
        try:
            member.begin()
        except (FolderError, StoreError) as error:
            failure = error
        assert failure is None or failure.transient, failure

    def alive(self) -> list[Member]:
        """Return the members that are not lost."""
        return [member for name, member in self.members.items() if name not in self.lost]

    def owner(self, id_: str) -> Member | None:
        """Return the one member that owns a request, None if there is none."""
        owners = [member for member in self.alive() if id_ in member.open_records]
        assert len(owners) <= 1, "two owners"
        return owners[0] if owners else None

    def ask(self, id_: str) -> None:
        """Submit a request. A client that is rejected submits it again, to the next member."""
        for turn in range(MAX_TICKS):
            alive = self.alive()
            outcome = apply_one(alive[turn % len(alive)], Accept(record(id_)))
            if isinstance(outcome, Accepted):
                assert id_ not in self.taken, "taken twice"
                self.taken.add(id_)
            if isinstance(outcome, Accepted | AlreadyFinal):
                return
            assert isinstance(outcome, AlreadyAccepted | NotWritten)
            if isinstance(outcome, AlreadyAccepted) and self.owner(id_) is not None:
                return
            self.wait()
        raise AssertionError(f"{id_} was never taken")

    def claim(self, id_: str) -> None:
        """Claim an attempt of a request at its owner."""
        for _ in range(MAX_TICKS):
            member = self.owner(id_)
            if member is not None and member.open_records[id_].attempts:
                return  # written by a claim whose outcome nobody heard
            if member is not None and isinstance(apply_one(member, Claim(id_, attempt_record())), Claimed):
                assert id_ not in self.sent, "sent twice"
                self.sent[id_] = member.incarnation_name
                return
            self.wait()
        raise AssertionError(f"{id_} was never claimed")

    def answer(self, id_: str) -> None:
        """Answer a request at its owner."""
        for _ in range(MAX_TICKS):
            member = self.owner(id_)
            if member is not None and apply_one(member, Finish(id_, SERVED)) == Written():
                self.answers[id_] = SERVED
                return
            if member is None and self.is_final(id_):
                return  # written by an answer whose outcome nobody heard
            self.wait()
        raise AssertionError(f"{id_} was never answered")

    def is_final(self, id_: str) -> bool:
        """Return whether any member finds the answer of a request."""
        found = [member.find(id_) for member in self.alive()]
        return any(each is not None and each.stage == Stage.FINAL for each in found)

    def run(self) -> None:
        """Play the sequence and check its end."""
        for name in ("a", "b", "c"):
            self.begin(name)
        self.wait()
        for id_ in JOBS[:3]:
            self.ask(id_)
        for id_ in JOBS[:2]:
            self.claim(id_)
        self.answer("answered")
        self.lost.add("a")
        for _ in range(SETTLING_TICKS):
            self.wait()
        self.ask("late")
        for id_ in JOBS:
            self.claim_unless_sent(id_)
            self.answer(id_)
        self.check()

    def claim_unless_sent(self, id_: str) -> None:
        """Claim an attempt of a request of which none was sent: what may have run is not sent again here."""
        if id_ not in self.sent and id_ not in self.answers and not self.is_final(id_):
            self.claim(id_)

    def check(self) -> None:
        """Check that every request has its answer and that the folder is in order."""
        self.faults.heal()
        assert set(self.answers) | {id_ for id_ in JOBS if self.is_final(id_)} == set(JOBS)
        for member in self.members.values():
            member.close()
        inspection = Inspection(self.host.settings.folder)
        stages = {job.record.id: job.record.stage for job in inspection.requests()}
        assert stages == dict.fromkeys(JOBS, Stage.FINAL)
        assert inspection.verify() == []


def settle(play: Play, ticks: int = SETTLING_TICKS) -> None:
    """Let all members of a play tick."""
    for _ in range(ticks):
        play.wait()
