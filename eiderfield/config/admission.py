"""The table `admission`: which client connections are admitted, and how fast messages must arrive."""

from __future__ import annotations

from math import inf

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.connections.settings import (
    MESSAGE_TIMEOUT_MS,
    AdmissionSettings,
    MessageTimeouts,
    Quota,
    Watermarks,
)

MAX_WAIT_MS = 600_000.0
MIN_RATE = 0.01


def read_admission(table: TableReader, strict: bool) -> AdmissionSettings:
    """Read the table and those nested in it."""
    default = AdmissionSettings()
    address = _read_quota(table.table("address"), strict)
    prefix = _read_quota(table.table("prefix"), strict)
    _check_quotas(address, prefix, table.key("prefix"))
    admission = AdmissionSettings(
        address_quota=address,
        prefix_quota=prefix,
        prefix_v4=table.integer("prefix_v4", default.prefix_v4, 1, 32),
        prefix_v6=table.integer("prefix_v6", default.prefix_v6, 1, 64),
        descriptors=_read_watermarks(table.table("descriptors"), default.descriptors, strict),
        memory=_read_watermarks(table.table("memory"), default.memory, strict),
        overloaded_address_share=table.number("crowded_share", default.overloaded_address_share, 0.001, 1.0),
        overloaded_idle_timeout=table.number("keep_crowded_ms", inf, 1000.0),
        min_overload_time=table.number("hold_ms", default.min_overload_time, 0.0, MAX_WAIT_MS),
        retry_after=table.number("retry_after_ms", default.retry_after, 1.0, MAX_WAIT_MS),
        timeouts=_read_timeouts(table.table("pace"), strict),
    )
    if strict:
        table.reject_unknown_keys()
    return admission


def _check_quotas(address: Quota, prefix: Quota, prefix_key: str) -> None:
    """Raise `ConfigError` where a prefix may have less than one of its addresses."""
    pairs = {
        "held": (prefix.max_connections, address.max_connections),
        "begun": (prefix.max_incomplete_messages, address.max_incomplete_messages),
        "rate": (prefix.connections_per_s, address.connections_per_s),
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
        max_connections=table.number("held", inf, 1.0),
        max_incomplete_messages=table.number("begun", inf, 1.0),
        connections_per_s=rate,
        burst=burst,
    )
    if strict:
        table.reject_unknown_keys()
    return quota


def _read_watermarks(table: TableReader, default: Watermarks, strict: bool) -> Watermarks:
    high = table.number("high", default.high, 0.01, 1.0)
    low = table.number("low", default.low, 0.0, 1.0)
    if low >= high:
        raise table.error("low", "is not below high: overload would start and end again and again")
    if strict:
        table.reject_unknown_keys()
    return Watermarks(high=high, low=low)


def _read_timeouts(table: TableReader, strict: bool) -> MessageTimeouts:
    message = table.number("whole_ms", MESSAGE_TIMEOUT_MS, 100.0, MESSAGE_TIMEOUT_MS)
    head = table.number("head_ms", message, 50.0, message)
    timeouts = MessageTimeouts(
        message=message,
        head=head,
        min_body_rate=table.number("body_rate", 0.0, 0.0),
        body_grace=table.number("body_grace_ms", 1000.0, 0.0, message),
        overloaded_head=table.number("head_crowded_ms", head, 50.0, head),
    )
    if strict:
        table.reject_unknown_keys()
    return timeouts
