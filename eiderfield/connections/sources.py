"""Counts of client connections by source: an address, or a prefix of addresses. No I/O and no clock.

A source has an entry, a small number that indexes arrays. Each entry counts connections and incomplete
messages, and holds a token bucket for new connections. Times are in ms.

Invariants: no count is below zero; an entry is not removed while it has a connection or while its bucket is
not full, because a source that returns would otherwise get a full bucket.
"""

from __future__ import annotations

import socket
from array import array
from math import inf
from typing import NamedTuple

from eiderfield.connections.settings import Quota

FORGET_THRESHOLD = 1024  # entries without a connection; above this number unused entries are removed

_V4_MAPPED = bytes(10) + b"\xff\xff"
_V4_BITS = 32
_V6_NETWORK_BITS = 64  # IPv6 addresses are counted by /64, since one host may have a whole /64
_V6_BITS = 128


class SourceKeys(NamedTuple):
    """The sources of a connection, as numbers that identify them."""

    address: int
    prefix: int


def source_keys(address: str, prefix_v4: int, prefix_v6: int) -> SourceKeys:
    """Return the keys of an address and of its prefix, whose length in bits is given for IPv4 and IPv6.

    Raises `ValueError` if the text is not an address.
    """
    try:
        if ":" in address:
            raw = socket.inet_pton(socket.AF_INET6, address.partition("%")[0])
            if not raw.startswith(_V4_MAPPED):
                return _v6_keys(raw, prefix_v6)
            raw = raw[len(_V4_MAPPED) :]
        else:
            raw = socket.inet_pton(socket.AF_INET, address)
    except OSError:
        raise ValueError(f"not an address: {address!r}") from None
    number = int.from_bytes(raw)
    return SourceKeys(number, _v4_prefix_key(number, prefix_v4))


def prefix_key(address_key: int, prefix_v4: int, prefix_v6: int) -> int:
    """Return the key of the prefix of an address that is given by its own key."""
    if address_key >> _V6_NETWORK_BITS:
        network = address_key & ((1 << _V6_NETWORK_BITS) - 1)
        return (1 << prefix_v6) | network >> (_V6_NETWORK_BITS - prefix_v6)
    return _v4_prefix_key(address_key, prefix_v4)


def _v6_keys(raw: bytes, prefix_v6: int) -> SourceKeys:
    # The leading 1 bit keeps the keys apart from those of IPv4 and of prefixes of another length.
    network = int.from_bytes(raw) >> (_V6_BITS - _V6_NETWORK_BITS)
    key = (1 << _V6_NETWORK_BITS) | network
    return SourceKeys(key, prefix_key(key, 0, prefix_v6))


def _v4_prefix_key(number: int, prefix_v4: int) -> int:
    return -1 - (number >> (_V4_BITS - prefix_v4))


class SourceTable:
    """Counts and token buckets of the sources of one kind, in arrays by entry."""

    def __init__(self, quota: Quota) -> None:
        """Create an empty table; `quota` applies to each source."""
        self.quota = quota
        self.keys: dict[int, int] = {}  # by entry
        self.connections = array("I")
        self.incomplete_messages = array("I")
        self.unused_count = 0  # entries without a connection
        self._entries: dict[int, int] = {}  # by key
        self._free: list[int] = []  # removed entries, to be used again
        self._spent_by_entry = array("f")  # tokens spent and not regained, as of `updated_at`
        self.updated_at = array("d")

    def __len__(self) -> int:
        """Return the number of sources."""
        return len(self._entries)

    def entry(self, key: int, now: float) -> int:
        """Return the entry of a source; create it if there is none."""
        entry = self._entries.get(key)
        if entry is not None:
            return entry
        if self._free:
            entry = self._free.pop()
            self._spent_by_entry[entry], self.updated_at[entry] = 0.0, now
        else:
            entry = len(self.connections)
            self.connections.append(0)
            self.incomplete_messages.append(0)
            self._spent_by_entry.append(0.0)
            self.updated_at.append(now)
        self._entries[key] = entry
        self.keys[entry] = key
        self.unused_count += 1
        return entry

    def spent_tokens(self, entry: int, now: float) -> float:
        """Return how many tokens are missing in a source's bucket."""
        rate = self.quota.connections_per_s
        if rate == inf:
            return 0.0
        return max(0.0, self._spent_by_entry[entry] - max(0.0, now - self.updated_at[entry]) * rate / 1000.0)

    def take_token(self, entry: int, now: float) -> None:
        """Take a token out of a source's bucket."""
        if self.quota.connections_per_s < inf:
            self._spent_by_entry[entry] = self.spent_tokens(entry, now) + 1.0
            self.updated_at[entry] = now

    def token_wait(self, entry: int, now: float) -> float:
        """Return the time until a source's bucket has a token, in ms; 0 if it has one now."""
        rate = self.quota.connections_per_s
        missing = self.spent_tokens(entry, now) + 1.0 - self.quota.burst
        return 1000.0 * missing / rate if rate < inf and missing > 0.0 else 0.0

    def add_connection(self, entry: int) -> None:
        """Count a connection."""
        self.unused_count -= not self.connections[entry]
        self.connections[entry] += 1

    def remove_connection(self, entry: int) -> None:
        """Stop counting a connection that is closed."""
        self.connections[entry] -= 1
        self.unused_count += not self.connections[entry]

    def forget_unused(self, now: float) -> None:
        """Remove the entries that have no connection and a full bucket, if many have no connection."""
        if self.unused_count <= FORGET_THRESHOLD + len(self) // 2:
            return
        forgotten = [
            key
            for key, entry in self._entries.items()
            if not self.connections[entry] and not self.spent_tokens(entry, now)
        ]
        for key in forgotten:
            entry = self._entries.pop(key)
            del self.keys[entry]
            self._free.append(entry)
        self.unused_count -= len(forgotten)
