"""The ids of requests that must not run twice and that a worker may have begun.

An id is added before the first byte of an attempt is written, and removed if it turns out that the worker
never ran the request. It outlives its request and its client: the same id is not accepted again.

The table is a block of memory that processes may share, so that the next process of an upgrade, or one that
is started after a kill, knows the ids too. It has two generations of hash tables with open addressing. Ids
are added to the current one; when that is full, the other is cleared and becomes the current one.

    absent ──(add)──> current generation ──(it is full)──> previous generation ──(full again)──> absent
      ^                     └──(remove)──────────────────────────┐
      └──────────────────────────────────────────────────────────┘

Invariants: the last `MAX_IDS` ids added are in the table, unless they were removed; its size does not change.
"""

from __future__ import annotations

from hashlib import blake2b

MAX_IDS = 32_768  # of a generation; the table holds so many at least, and twice as many at most
SLOTS = 2 * MAX_IDS  # of a generation
WORD_BYTES = 8
TABLE_WORDS = 4 + 2 * SLOTS
TABLE_BYTES = WORD_BYTES * TABLE_WORDS

_FORM = 0x65_69_64_73_00_00_00_01  # identifies the form of the table
_FORM_WORD, _CURRENT_WORD, _COUNT_WORDS, _FIRST_SLOT = 0, 1, 2, 4
_EMPTY, _REMOVED = 0, 1
_MAX_PROBES = 1024  # a table that is damaged may have no empty slot


class BegunIds:
    """Ids of requests that a worker may have begun."""

    def __init__(self, table: memoryview | None = None) -> None:
        """Use a table of `TABLE_BYTES` bytes, which may hold ids; None for one of this process alone."""
        memory = memoryview(bytearray(TABLE_BYTES)) if table is None else table
        self._words = memory.cast("Q")
        if self._words[_FORM_WORD] != _FORM:
            self._words[:] = memoryview(bytes(TABLE_BYTES)).cast("Q")
            self._words[_FORM_WORD] = _FORM

    def __contains__(self, request_id: str) -> bool:
        """Return whether an id was added and not removed."""
        value = _hash(request_id)
        return any(self._find(generation, value) is not None for generation in (0, 1))

    def add(self, request_id: str) -> None:
        """Add an id, which may be there already."""
        value = _hash(request_id)
        if self._find(self._current, value) is not None:
            return
        if self._words[_COUNT_WORDS + self._current] >= MAX_IDS:
            self._begin_generation()
        current = self._current
        for slot in self._probe(current, value):
            if self._words[slot] in (_EMPTY, _REMOVED):
                self._words[slot] = value
                self._words[_COUNT_WORDS + current] += 1
                return

    def remove(self, request_id: str) -> None:
        """Remove an id: no worker has run its request."""
        value = _hash(request_id)
        for generation in (0, 1):
            slot = self._find(generation, value)
            if slot is not None:
                self._words[slot] = _REMOVED  # an empty slot would hide ids behind it

    @property
    def _current(self) -> int:
        return self._words[_CURRENT_WORD] & 1

    def _begin_generation(self) -> None:
        generation = 1 - self._current
        first = _FIRST_SLOT + generation * SLOTS
        self._words[first : first + SLOTS] = memoryview(bytes(WORD_BYTES * SLOTS)).cast("Q")
        self._words[_COUNT_WORDS + generation] = 0
        self._words[_CURRENT_WORD] = generation

    def _find(self, generation: int, value: int) -> int | None:
        """Return the slot of a value in a generation, None if it is not there."""
        for slot in self._probe(generation, value):
            found = self._words[slot]
            if found == value:
                return slot
            if found == _EMPTY:
                return None
        return None

    @staticmethod
    def _probe(generation: int, value: int) -> list[int] | range:
        """Return the slots in which a value may be, in order."""
        first = _FIRST_SLOT + generation * SLOTS
        start = value % SLOTS
        if start + _MAX_PROBES <= SLOTS:
            return range(first + start, first + start + _MAX_PROBES)
        return [first + (start + step) % SLOTS for step in range(_MAX_PROBES)]


def _hash(request_id: str) -> int:
    digest = blake2b(request_id.encode("utf-8", "surrogateescape"), digest_size=WORD_BYTES).digest()
    return max(int.from_bytes(digest, "big"), _REMOVED + 1)
