"""Measures how fast one member takes over requests of a lost one, and how fast it processes requests."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import Accept, Claim, Finish
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Answer, Verdict
from eiderfield.lab.durable_requests.samples import CLASSES, sample_attempt, sample_record

MAX_LINKED_IDS = 50_000  # in a measurement of recovery: more than it takes over
TAKEOVER_RATE = 50_000.0  # a second: no limit
MAX_BYTES = 4 * 2**30
LEASE_MS = 1000.0
POLL_S = 0.002
MEGABYTE = 2**20


@dataclass(frozen=True, slots=True)
class Recovered:
    """The takeover of a lost incarnation's records. Times in s."""

    records: int
    read: float  # until the successor had read the store
    first: float  # until it owned the first request
    adopted: int  # within the measured seconds
    per_s: float
    megabytes: float


def recovery(records: int, seconds: float, folder: Path) -> Recovered:
    """Let one successor take over `records` open requests of a lost incarnation, as fast as possible."""
    settings = DurableRequestSettings(
        folder / "custody",
        frozenset({0}),
        lease_ms=LEASE_MS,
        takeovers_per_second=TAKEOVER_RATE,
        max_bytes=MAX_BYTES,
    )
    lost = Member(settings, "lost", CLASSES, print)
    lost.begin()
    write_open_records(lost, records)
    size = sum(path.stat().st_size for path in (settings.folder / "lives").iterdir()) / MEGABYTE
    successor = Member(settings, "heir", CLASSES, print)
    successor.begin()
    successor.tick()
    successor.folder.fences.create(
        lost.incarnation_name, [successor.incarnation_name], successor.incarnation_name, "measured"
    )
    started_at = time.monotonic()
    successor.tick()
    read = time.monotonic() - started_at
    spent, first, adopted = 0.0, 0.0, 0
    while (spent := time.monotonic() - started_at) < read + seconds and successor.pending_takeovers:
        time.sleep(POLL_S)
        found = successor.take_over()
        adopted += len(found)
        if found and not first:
            first = time.monotonic() - started_at
    successor.close()
    lost.close()
    return Recovered(records, read, first, adopted, adopted / max(1e-9, spent - read), size)


def write_open_records(member: Member, records: int) -> None:
    """Write `records` open records, every second one with an attempt that may have run."""
    assert member.current_incarnation is not None
    store = member.current_incarnation.store
    store.begin()
    for number in range(records):
        record = sample_record(f"j{number}")
        store.put(record if number % 2 else record.with_attempt(sample_attempt(record.accepted_at)))
    store.commit()
    for number in range(min(records, MAX_LINKED_IDS)):  # the oldest, which are taken over first
        member.folder.ids.acquire(f"j{number}", member.incarnation_name)


def commits(seconds: float, folder: Path) -> float:
    """Return the requests a second of one member: accept, claim and finish, each in its own commit."""
    member = Member(DurableRequestSettings(folder / "c", frozenset({0})), "m", CLASSES, print)
    member.begin()
    member.tick()
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        id_ = f"j{number}"
        member.apply([Accept(sample_record(id_))])
        member.apply([Claim(id_, sample_attempt(0.0))])
        member.apply([Finish(id_, Answer(Verdict.SERVED, b"r"))])
    member.close()
    return number / seconds
