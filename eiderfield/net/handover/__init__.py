"""Handover from one process of a dispatcher to the next.

`messages` are the messages between the two, `codec` converts them to and from the wire form,
`old_process` and `new_process` are the two roles, and `process` holds one process's end in either role.
"""

from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.process import Handover

__all__ = ["Handover", "HandoverContext"]
