"""The state of the workers, as one argument for the parts of the policy that select and use workers."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.policy.context import Context
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.gossip import Gossip
from eiderfield.policy.load_reports import LoadReports
from eiderfield.policy.slow_start import SlowStart


@dataclass(slots=True, frozen=True, eq=False)
class FleetState:
    """The workers, their slots, their slow start budgets and the reports of peers."""

    fleet: Fleet
    slow_start: SlowStart
    reports: LoadReports
    gossip: Gossip

    @classmethod
    def create(cls, context: Context) -> FleetState:
        """Return the state of a dispatcher that knows no worker yet."""
        fleet = Fleet(context)
        return cls(fleet, SlowStart(context, fleet), LoadReports(context, fleet), Gossip(context, fleet))

    def update_after_repartition(self) -> None:
        """Update what depends on the subset: whether workers are probed, and the peers."""
        self.reports.update_probing()
        self.gossip.update_peers()
