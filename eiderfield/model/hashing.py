"""Hashing of a key with a worker, the same in every process and evenly spread.

The built-in hash of a tuple of integers is not evenly spread.
"""

from __future__ import annotations

from collections.abc import Iterable


def stable_hash(key: int, worker: int) -> int:
    """Return a hash of 64 bits."""
    x = (key ^ (worker * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return ((x ^ (x >> 29)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF


def stable_hashes_up_to(key: int, workers: Iterable[int], bound: int) -> list[tuple[int, int]]:
    """Return the hashes that do not exceed `bound`, each with its worker.

    `stable_hash` is computed inline, because a call for each of thousands of workers would take too long.
    """
    return [
        (value, worker)
        for worker in workers
        for x in ((key ^ (worker * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF,)
        for y in (((x ^ (x >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF,)
        if (value := ((y ^ (y >> 29)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF) <= bound
    ]
