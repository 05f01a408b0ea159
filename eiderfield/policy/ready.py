"""Index of the ready workers of the whole fleet, by the scopes in which a keyed request may be repeated."""

from __future__ import annotations

from collections import defaultdict

from eiderfield.interface import Endpoint
from eiderfield.policy.endpoint import Worker


class ReadyWorkers:
    """Ready workers by number, zone and cell, each in the order in which they became ready."""

    def __init__(self) -> None:
        """Create an empty index."""
        self.by_number: dict[int, Worker] = {}
        self._by_zone: defaultdict[int, dict[int, Worker]] = defaultdict(dict)
        self._by_cell: defaultdict[int, dict[int, Worker]] = defaultdict(dict)

    def add(self, worker: Worker) -> None:
        """Add a worker that has become ready."""
        entry = worker.entry
        self.by_number[entry.worker] = worker
        self._by_zone[entry.zone][entry.worker] = worker
        self._by_cell[entry.cell][entry.worker] = worker

    def remove(self, entry: Endpoint) -> None:
        """Remove a worker, given the entry with which it was added."""
        del self.by_number[entry.worker]
        del self._by_zone[entry.zone][entry.worker]
        del self._by_cell[entry.cell][entry.worker]

    def in_zone(self, zone: int) -> dict[int, Worker]:
        """Return the ready workers of a zone, by number."""
        return self._by_zone.get(zone, {})

    def in_cell(self, cell: int) -> dict[int, Worker]:
        """Return the ready workers of a cell, by number."""
        return self._by_cell.get(cell, {})
