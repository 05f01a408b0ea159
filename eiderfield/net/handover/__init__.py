"""Handover from one process of a dispatcher to the next, for upgrades without downtime.

`messages` defines the messages that the two processes exchange and `codec` converts them to and from their
wire form. `old_process` and `new_process` implement the two roles; `process` combines them, since a process
first takes over from its predecessor and later hands over to its successor.
"""

from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.process import Handover

__all__ = ["Handover", "HandoverContext"]
