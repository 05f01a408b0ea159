"""Gossip: dispatchers that share workers tell each other the slots that their requests take there.

A count that was lost is replaced by the next, and forgotten after a while: its sender may have died.
"""

from __future__ import annotations

from eiderfield.interface import SendPeerReport, decode_peer_report, encode_peer_report
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.subsetting import SHARERS, group_of_dispatcher

FRESH_MS = 2000.0  # for which a peer's count holds


class Gossip:
    """The reports to and from this dispatcher's peers."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self.peers: list[int] = []  # dispatchers that share this one's workers and may talk
        self._changed: dict[int, Worker] = {}  # workers where own requests came or went in this call
        self._context = context
        self._fleet = fleet

    def choose(self) -> None:
        """Finds the peers: the dispatchers of the same group, unless they are too many to listen to."""
        settings, subset = self._context.settings, self._fleet.subset
        nodes, groups, keyed = settings.dispatcher_count, subset.groups, self._fleet.keyed
        self.peers = []
        if settings.gossip_allowed and subset.sharers < 2 * SHARERS[True]:
            own = group_of_dispatcher(settings.dispatcher_index, nodes, groups, keyed)
            alike = [n for n in range(nodes) if group_of_dispatcher(n, nodes, groups, keyed) == own]
            self.peers = [number for number in alike if number != settings.dispatcher_index]

    def changed(self, worker: Worker) -> None:
        """Own requests came or went at a worker."""
        self._changed[worker.entry.worker] = worker

    def receive(self, peer: int, data: bytes, now: float) -> None:
        """A peer tells how many slots its requests take at workers."""
        for number, count in decode_peer_report(data):
            worker = self._fleet.workers.get(number)
            if worker is not None:
                worker.peer_reports[peer] = (now, count)
                worker.peer_slots_until = now + FRESH_MS
                fresh = [
                    requests for told_at, requests in worker.peer_reports.values() if told_at > now - FRESH_MS
                ]
                worker.peer_slots = sum(fresh)

    def send(self) -> None:
        """Tells the peers of the workers where own requests came or went."""
        counts = [(number, round(w.own_slots) + w.sibling_attempts) for number, w in self._changed.items()]
        data = encode_peer_report(counts)
        if data:
            self._context.actions += [SendPeerReport(peer, data) for peer in self.peers]
        self._changed.clear()
