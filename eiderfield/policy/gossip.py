"""Gossip: dispatchers that share workers report to each other the slots that their requests take.

Reports are not acknowledged. One that is lost is replaced by the next. Each expires after
`PEER_REPORT_TTL_MS`, because its sender may have died.
"""

from __future__ import annotations

from eiderfield.interface import SendPeerReport, decode_peer_report, encode_peer_report
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.subsetting import DISPATCHERS_PER_WORKER_WITH_GOSSIP, group_of_dispatcher

PEER_REPORT_TTL_MS = 2000.0  # lifetime of a peer's report


class Gossip:
    """Sends this dispatcher's reports to its peers and records theirs."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create a sender without peers."""
        self.peers: list[int] = []  # dispatchers to which reports are sent
        self._changed: dict[int, Worker] = {}  # workers whose own slots changed in this call
        self._context = context
        self._fleet = fleet

    def update_peers(self) -> None:
        """Set the peers to the other dispatchers of the same group, or to none if there are too many."""
        settings, subset = self._context.settings, self._fleet.subset
        dispatchers, groups, has_affinity = (
            settings.dispatcher_count,
            subset.group_count,
            self._fleet.has_affinity,
        )
        self.peers = []
        if settings.gossip_allowed and subset.dispatchers_per_worker < 2 * DISPATCHERS_PER_WORKER_WITH_GOSSIP:
            own = group_of_dispatcher(settings.dispatcher_index, dispatchers, groups, has_affinity)
            members = [
                index
                for index in range(dispatchers)
                if group_of_dispatcher(index, dispatchers, groups, has_affinity) == own
            ]
            self.peers = [index for index in members if index != settings.dispatcher_index]

    def mark_changed(self, worker: Worker) -> None:
        """Record that the slots of own requests at a worker have changed."""
        self._changed[worker.entry.worker] = worker

    def record_report(self, peer: int, data: bytes, now: float) -> None:
        """Record a peer's report of the slots that its requests take at workers."""
        for number, count in decode_peer_report(data):
            worker = self._fleet.workers.get(number)
            if worker is not None:
                worker.peer_reports[peer] = (now, count)
                worker.peer_slots_until = now + PEER_REPORT_TTL_MS
                reports = worker.peer_reports.values()
                worker.peer_slots = sum(
                    [slots for sent_at, slots in reports if sent_at > now - PEER_REPORT_TTL_MS]
                )

    def send_reports(self) -> None:
        """Report own slots to the peers, for the workers at which they have changed in this call."""
        counts = [(number, round(w.own_slots) + w.sibling_attempts) for number, w in self._changed.items()]
        data = encode_peer_report(counts)
        if data:
            self._context.actions += [SendPeerReport(peer, data) for peer in self.peers]
        self._changed.clear()
