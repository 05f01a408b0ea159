"""Encoding of the report that a dispatcher sends to its peers: the slots that it uses at each worker.

An entry is the worker's number (u32) and the slots (u8), little-endian.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from struct import Struct

MAX_ENTRIES = 51  # entries that fit into a message of 256 bytes
MAX_SLOTS = 255  # largest number of slots that an entry can hold

_ENTRY = Struct("<IB")


def encode_peer_report(slots_per_worker: Sequence[tuple[int, int]]) -> bytes:
    """Return the report of the first `MAX_ENTRIES` pairs of worker and slots."""
    return b"".join(
        [_ENTRY.pack(worker, min(MAX_SLOTS, slots)) for worker, slots in slots_per_worker[:MAX_ENTRIES]]
    )


def decode_peer_report(data: bytes) -> Iterator[tuple[int, int]]:
    """Yield pairs of worker and slots; ignore an entry that is cut short."""
    return _ENTRY.iter_unpack(data[: len(data) // _ENTRY.size * _ENTRY.size])
