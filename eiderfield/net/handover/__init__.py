"""How one process of a dispatcher hands over to the next.

`messages` are what the two tell each other, `codec` writes and reads them, `old_process` and `new_process`
are the two roles, and `process` joins them to the parts of a dispatcher.
"""

from eiderfield.net.handover.process import Handover

__all__ = ["Handover"]
