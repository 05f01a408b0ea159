"""Queues of the requests that wait here: for each class and tenant a part of the GRB, and an SLB."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eiderfield.interface import JobClass
from eiderfield.policy.rate_control import FLOOR_TOP, Pacer

if TYPE_CHECKING:
    from eiderfield.policy.request import Job

SLB_SIZE = 8  # jobs in a second-level buffer: enough to keep every worker fed between two events
NEAR_FULL = 0.75  # share of an SLB at which its class is held in the GRB


@dataclass(slots=True, eq=False)
class Lane:
    """The buffers of one class and tenant, within or above its share: a part of the GRB, and the SLB."""

    cls: JobClass
    pacer: Pacer
    worth: float
    grb: OrderedDict[int, Job] = field(default_factory=OrderedDict)
    slb: OrderedDict[int, Job] = field(default_factory=OrderedDict)
    late: OrderedDict[int, Job] = field(default_factory=OrderedDict)  # what can be worth nothing any more

    def room(self) -> bool:
        """Whether the SLB is not near-full. The SLB of a class with a high floor grows as its rate is cut."""
        size = float(SLB_SIZE)
        if self.pacer.rate is not None and self.pacer.floor_share == FLOOR_TOP:
            size *= max(1.0, self.pacer.uncut / self.pacer.rate)
        return len(self.slb) < NEAR_FULL * size
