"""The table `admission`: which client connections are admitted, and how fast messages must arrive."""

from __future__ import annotations

from math import inf

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.connections.settings import WHOLE, Admission, Marks, Pace, Quota

MAX_WAIT_MS = 600_000.0
MIN_RATE = 0.01


def read_admission(table: TableReader, strict: bool) -> Admission:
    """Read the table and those nested in it."""
    default = Admission()
    address = _read_quota(table.table("address"), strict)
    prefix = _read_quota(table.table("prefix"), strict)
    _check_quotas(address, prefix, table.key("prefix"))
    admission = Admission(
        address=address,
        prefix=prefix,
        prefix_v4=table.integer("prefix_v4", default.prefix_v4, 1, 32),
        prefix_v6=table.integer("prefix_v6", default.prefix_v6, 1, 64),
        descriptors=_read_watermarks(table.table("descriptors"), default.descriptors, strict),
        memory=_read_watermarks(table.table("memory"), default.memory, strict),
        crowded_share=table.number("crowded_share", default.crowded_share, 0.001, 1.0),
        keep_crowded=table.number("keep_crowded_ms", inf, 1000.0),
        hold=table.number("hold_ms", default.hold, 0.0, MAX_WAIT_MS),
        retry_after=table.number("retry_after_ms", default.retry_after, 1.0, MAX_WAIT_MS),
        pace=_read_pace(table.table("pace"), strict),
    )
    if strict:
        table.reject_unknown_keys()
    return admission


def _check_quotas(address: Quota, prefix: Quota, prefix_key: str) -> None:
    """Raise `ConfigError` where a prefix may have less than one of its addresses."""
    pairs = {
        "held": (prefix.held, address.held),
        "begun": (prefix.begun, address.begun),
        "rate": (prefix.rate, address.rate),
    }
    for name, (of_prefix, of_address) in pairs.items():
        if of_prefix < of_address:
            key = f"{prefix_key}.{name}"
            raise ConfigError(f"{key} is below that of one address of the prefix", key=key)


def _read_quota(table: TableReader, strict: bool) -> Quota:
    rate = table.number("rate", inf, MIN_RATE)
    burst = table.number("burst", 1.0 if rate == inf else max(1.0, rate), 1.0)
    if strict and table.has("burst") and rate == inf:
        raise table.error("burst", f"has no effect without {table.key('rate')}")
    quota = Quota(
        held=table.number("held", inf, 1.0), begun=table.number("begun", inf, 1.0), rate=rate, burst=burst
    )
    if strict:
        table.reject_unknown_keys()
    return quota


def _read_watermarks(table: TableReader, default: Marks, strict: bool) -> Marks:
    high = table.number("high", default.high, 0.01, 1.0)
    low = table.number("low", default.low, 0.0, 1.0)
    if low >= high:
        raise table.error("low", "is not below high: overload would start and end again and again")
    if strict:
        table.reject_unknown_keys()
    return Marks(high=high, low=low)


def _read_pace(table: TableReader, strict: bool) -> Pace:
    whole = table.number("whole_ms", WHOLE, 100.0, WHOLE)
    head = table.number("head_ms", whole, 50.0, whole)
    pace = Pace(
        whole=whole,
        head=head,
        body_rate=table.number("body_rate", 0.0, 0.0),
        body_grace=table.number("body_grace_ms", 1000.0, 0.0, whole),
        head_crowded=table.number("head_crowded_ms", head, 50.0, head),
    )
    if strict:
        table.reject_unknown_keys()
    return pace
