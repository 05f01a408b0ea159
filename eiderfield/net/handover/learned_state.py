"""Codec for the policy's learned state.

The wire form is an object with these fields, each an array:

    pacers    for each class: [mean duration, rate, rate before it was cut, time of the next release]
    spent     [retry tokens, average served rate, end of the time that the average covers]
    cold      for each worker in slow start: [worker, [[time sent, work], ...]]
    keys      for each counted key: [key, number of requests]
    slots     for each kind of machine: [kind, slots]
    erring    for each outlier: [worker, error score, ejections]; revisions before 731b84e do not send it
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from eiderfield.model.learned_state import (
    KeyCount,
    KindSlots,
    LearnedState,
    OutlierState,
    PacerState,
    RecentWork,
    SentWork,
)
from eiderfield.net.handover.errors import MalformedMessageError
from eiderfield.net.handover.fields import (
    Fields,
    integer,
    mapping,
    number,
    optional_number,
    row,
    sequence,
)
from eiderfield.net.handover.sender_clock import SenderClock

MS_PER_SECOND = 1000.0


def encode_learned_state(learned: LearnedState, offset: float) -> dict[str, Any]:
    """Return the wire form of a learned state, with `offset` ms added to all times."""
    return {
        "pacers": [_encode_pacer(pacer, offset) for pacer in learned.pacers],
        "spent": [learned.retry_tokens, learned.served_rate, learned.served_at + offset],
        "cold": [_encode_recent_work(recent, offset) for recent in learned.recent_work],
        "keys": [[entry.key, entry.requests] for entry in learned.key_counts],
        "slots": [[entry.kind, entry.slots] for entry in learned.slots],
        "erring": [[outlier.worker, outlier.error_score, outlier.ejections] for outlier in learned.outliers],
    }


def _encode_pacer(pacer: PacerState, offset: float) -> list[object]:
    return [pacer.mean_duration, pacer.rate, pacer.uncut_rate, pacer.next_release_at + offset]


def _encode_recent_work(recent: RecentWork, offset: float) -> list[object]:
    return [recent.worker, [[sent.at + offset, sent.work] for sent in recent.sent]]


def decode_learned_state(value: object, sender: SenderClock) -> LearnedState:
    """Decode a learned state; raises `MalformedMessageError`."""
    fields = Fields(mapping(value, "memory"))
    retry_tokens, served_rate, served_at = row(fields.required("spent"), 3, "spent")
    return LearnedState(
        pacers=tuple(_decode_pacer(pacer, sender) for pacer in fields.rows("pacers", 4)),
        retry_tokens=number(retry_tokens, "spent"),
        served_rate=number(served_rate, "spent"),
        served_at=sender.convert_past(number(served_at, "spent")),
        recent_work=tuple(
            RecentWork(integer(worker, "cold"), _decode_sent_work(work, sender))
            for worker, work in fields.rows("cold", 2)
        ),
        key_counts=tuple(
            KeyCount(integer(key, "keys"), integer(requests, "keys"))
            for key, requests in fields.rows("keys", 2)
        ),
        slots=tuple(
            KindSlots(integer(kind, "slots"), number(slots, "slots"))
            for kind, slots in fields.rows("slots", 2)
        ),
        outliers=tuple(
            OutlierState(integer(worker, "erring"), number(score, "erring"), integer(ejections, "erring"))
            for worker, score, ejections in fields.optional_rows("erring", 3)
        ),
    )


def _decode_pacer(values: Sequence[object], sender: SenderClock) -> PacerState:
    mean_duration, rate, uncut_rate, next_release_at = values
    limit = optional_number(rate, "pacers")
    interval = MS_PER_SECOND / limit if limit else 0.0  # between two releases
    return PacerState(
        mean_duration=number(mean_duration, "pacers"),
        rate=limit,
        uncut_rate=number(uncut_rate, "pacers"),
        next_release_at=sender.convert_upcoming(number(next_release_at, "pacers"), interval),
    )


def _decode_sent_work(value: object, sender: SenderClock) -> tuple[SentWork, ...]:
    rows = [row(values, 2, "cold") for values in sequence(value, "cold")]
    return tuple(
        SentWork(sender.convert_latest(number(at, "cold")), number(work, "cold")) for at, work in rows
    )


def past_events(value: object) -> list[float]:
    """Return the times of past events in the wire form, on the sender's clock.

    Return an empty list if `value` is malformed; `decode_learned_state` reports the error.
    """
    try:
        fields = Fields(mapping(value, "memory"))
        _, _, served_at = row(fields.required("spent"), 3, "spent")
        times = [number(served_at, "spent")]
        for _, work in fields.rows("cold", 2):
            times += [number(row(sent, 2, "cold")[0], "cold") for sent in sequence(work, "cold")]
    except MalformedMessageError:
        return []
    return [at for at in times if at > 0.0]  # 0 stands for an event that has not happened
