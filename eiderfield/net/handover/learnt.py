"""Converts what the policy has learnt: from and to the policy's own values, and the handover's messages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from eiderfield.net.handover.fields import (
    field,
    integer,
    mapping,
    number,
    optional_number,
    row,
    sequence,
)
from eiderfield.net.handover.messages import LearntState, OutlierState, PacerState, RecentWork
from eiderfield.net.handover.sender_clock import SenderClock

SECOND = 1000.0  # ms


def from_policy(memory: Mapping[str, Any]) -> LearntState:
    """What `Exchange.memory` gives, typed."""
    retry_tokens, served_rate, served_at = memory["spent"]
    return LearntState(
        pacers=tuple(PacerState(*pacer) for pacer in memory["pacers"]),
        retry_tokens=retry_tokens,
        served_rate=served_rate,
        served_at=served_at,
        recent_work=tuple(
            RecentWork(worker, tuple((at, work) for at, work in sent)) for worker, sent in memory["cold"]
        ),
        keys=tuple((key, count) for key, count in memory["keys"]),
        slots=tuple((kind, slots) for kind, slots in memory["slots"]),
        outliers=tuple(OutlierState(*outlier) for outlier in memory["erring"]),
    )


def to_policy(learnt: LearntState) -> dict[str, Any]:
    """What `Exchange.resume` takes."""
    return _in_rows(learnt, 0.0)


def encode_learnt(learnt: LearntState, ahead: float) -> dict[str, Any]:
    """The message's field, in times that are ahead of this process's."""
    return _in_rows(learnt, ahead)


def decode_learnt(value: object, sender: SenderClock) -> LearntState:
    """Reads the message's field; raises `MalformedMessageError`."""
    fields = mapping(value, "memory")
    retry_tokens, served_rate, served_at = row(field(fields, "spent"), 3, "spent")
    recent_work = [row(each, 2, "cold") for each in sequence(field(fields, "cold"), "cold")]
    keys = [row(each, 2, "keys") for each in sequence(field(fields, "keys"), "keys")]
    slots = [row(each, 2, "slots") for each in sequence(field(fields, "slots"), "slots")]
    outliers = [row(each, 3, "erring") for each in sequence(fields.get("erring", []), "erring")]
    return LearntState(
        pacers=tuple(_pacer(each, sender) for each in sequence(field(fields, "pacers"), "pacers")),
        retry_tokens=number(retry_tokens, "spent"),
        served_rate=number(served_rate, "spent"),
        served_at=sender.past(number(served_at, "spent")),
        recent_work=tuple(
            RecentWork(integer(worker, "cold"), _sent(sent, sender)) for worker, sent in recent_work
        ),
        keys=tuple((integer(key, "keys"), integer(count, "keys")) for key, count in keys),
        slots=tuple((integer(kind, "slots"), number(most, "slots")) for kind, most in slots),
        outliers=tuple(
            OutlierState(integer(worker, "erring"), number(faults, "erring"), integer(strikes, "erring"))
            for worker, faults, strikes in outliers
        ),
    )


def times_of_learnt(value: object) -> list[float]:
    """The times in the message's field at which something has happened, as the sender wrote them."""
    fields = mapping(value, "memory")
    _, _, served_at = row(field(fields, "spent"), 3, "spent")
    times = [number(served_at, "spent")]
    for each in sequence(field(fields, "cold"), "cold"):
        _, sent = row(each, 2, "cold")
        times += [number(row(piece, 2, "cold")[0], "cold") for piece in sequence(sent, "cold")]
    return [at for at in times if at > 0.0]  # 0 is never


def _in_rows(learnt: LearntState, ahead: float) -> dict[str, Any]:
    return {
        "pacers": [[each.run, each.rate, each.uncut_rate, each.next_at + ahead] for each in learnt.pacers],
        "spent": [learnt.retry_tokens, learnt.served_rate, learnt.served_at + ahead],
        "cold": [
            [each.worker, [[at + ahead, work] for at, work in each.sent]] for each in learnt.recent_work
        ],
        "keys": [[key, count] for key, count in learnt.keys],
        "slots": [[kind, most] for kind, most in learnt.slots],
        "erring": [[each.worker, each.faults, each.strikes] for each in learnt.outliers],
    }


def _pacer(value: object, sender: SenderClock) -> PacerState:
    run, rate, uncut, next_at = row(value, 4, "pacers")
    limit = optional_number(rate, "pacers")
    span = SECOND / limit if limit else 0.0  # from one release to the next
    due = sender.next(number(next_at, "pacers"), span)
    return PacerState(number(run, "pacers"), limit, number(uncut, "pacers"), due)


def _sent(value: object, sender: SenderClock) -> tuple[tuple[float, float], ...]:
    found = []
    for each in sequence(value, "cold"):
        at, work = row(each, 2, "cold")
        found.append((sender.latest(number(at, "cold")), number(work, "cold")))
    return tuple(found)
