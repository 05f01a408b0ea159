"""How fast one member takes over what a lost one left, and how fast it works through requests."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import Accept, Claim, Finish
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Answer, Verdict
from eiderfield.lab.durable_requests.samples import CLASSES, sample_attempt, sample_record

LINKED = 50_000  # ids that have their links in a measurement of recovery: more than it takes over
TAKEOVER_RATE = 50_000.0  # a second: no limit
MOST_BYTES = 4 * 2**30
LEASE_MS = 1000.0
POLL_S = 0.002
MEGABYTE = 2**20


@dataclass(frozen=True, slots=True)
class Recovered:
    """How a lost incarnation's records were taken over. Times in s."""

    records: int
    read: float  # until the successor knew what was left
    first: float  # until the first request was its own
    adopted: int  # within the measured seconds
    per_s: float
    megabytes: float


def recovery(records: int, seconds: float, folder: Path) -> Recovered:
    """An incarnation with so many open records is lost; one successor takes over as fast as it can."""
    settings = DurableRequestSettings(
        folder / "custody",
        frozenset({0}),
        lease=LEASE_MS,
        takeover_rate=TAKEOVER_RATE,
        most_bytes=MOST_BYTES,
    )
    lost = Member(settings, "lost", CLASSES, print)
    lost.begin()
    write_open_records(lost, records)
    size = sum(path.stat().st_size for path in (settings.folder / "lives").iterdir()) / MEGABYTE
    successor = Member(settings, "heir", CLASSES, print)
    successor.begin()
    successor.tick()
    successor.folder.fences.create(
        lost.incarnation, [successor.incarnation], successor.incarnation, "measured"
    )
    began = time.monotonic()
    successor.tick()
    read = time.monotonic() - began
    spent, first, adopted = 0.0, 0.0, 0
    while (spent := time.monotonic() - began) < read + seconds and successor.pending_takeovers:
        time.sleep(POLL_S)
        found = successor.take_over()
        adopted += len(found)
        if found and not first:
            first = time.monotonic() - began
    successor.close()
    lost.close()
    return Recovered(records, read, first, adopted, adopted / max(1e-9, spent - read), size)


def write_open_records(member: Member, records: int) -> None:
    """Writes so many records without an answer, every second of them with an attempt that may have run."""
    assert member.current is not None
    store = member.current.store
    store.begin()
    for number in range(records):
        record = sample_record(f"j{number}")
        store.put(record if number % 2 else record.with_attempt(sample_attempt(record.accepted_at)))
    store.commit()
    for number in range(min(records, LINKED)):  # the oldest, which are taken over first
        member.folder.ids.take(f"j{number}", member.incarnation)


def commits(seconds: float, folder: Path) -> float:
    """Whole requests a second of one member: accepted, claimed, finished, each in a commit of its own."""
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
