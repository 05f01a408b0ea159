"""Members of one folder of durable requests, on one clock and without threads.

A plugin of pytest: `host` and `host_with_two` are fixtures of every test file.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import Operation, Outcome
from eiderfield.durable_requests.record import AttemptRecord, Record, record_of
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Answer, Request, Verdict

SERVED = Answer(Verdict.SERVED, b"r", may_have_run=True, attempts=1)
DECLINED = Answer(Verdict.DECLINED, retry_after=9.0)
CLASS_NAME = "report"
LEASE = 1200.0  # ms


def record(
    id_: str = "j", key: str = "", body: bytes = b"b", deadline: float = 1e9, at: float = 0.0, **changes: Any
) -> Record:
    """Return the record of a request that was accepted at `at`."""
    request = Request(id_, 0, deadline, "/report/x", body=body, idempotency_key=key)
    return replace(record_of(request, CLASS_NAME, at, at), **changes)


def attempt_record(number: int = 0, worker: str = "w0", at: float = 0.0) -> AttemptRecord:
    """Return the record of an attempt that was sent at `at`."""
    return AttemptRecord(number, worker, "here", 1, at)


class Host:
    """Members of one folder on one clock."""

    def __init__(self, path: Path, **settings: Any) -> None:
        """Put the folder below `path`; `settings` differ from the defaults."""
        self.now = 1000.0
        self.said: list[str] = []  # log lines of all members
        self.settings = DurableRequestSettings(path / "custody", frozenset({0}), lease_ms=LEASE, **settings)
        self.all: list[Member] = []

    def member(self, name: str) -> Member:
        """Return a further member, which has begun."""
        member = Member(self.settings, name, {CLASS_NAME: 3.0}, self.said.append, lambda: self.now)
        member.begin()
        member.tick()
        self.all.append(member)
        return member

    def live(self, span: float, *members: Member) -> None:
        """Let `span` ms pass, in which only `members` tick."""
        end = self.now + span
        while self.now < end:
            self.now += self.settings.tick_interval_ms
            for member in members:
                member.tick()

    def outlive(self, *members: Member) -> None:
        """Let time pass until every member that does not tick is fenced."""
        self.live(2.5 * LEASE, *members)


def apply_one(member: Member, operation: Operation) -> Outcome:
    """Apply one operation and return its outcome."""
    [outcome] = member.apply([operation])
    return outcome


@pytest.fixture
def host(tmp_path: Path) -> Iterator[Host]:
    """A host without members; those that a test adds are closed at its end."""
    host = Host(tmp_path)
    yield host
    for member in host.all:
        member.close()


@pytest.fixture
def host_with_two(tmp_path: Path) -> Iterator[tuple[Host, Member, Member]]:
    """A host with members `a` and `b`."""
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    yield host, a, b
    a.close()
    b.close()
