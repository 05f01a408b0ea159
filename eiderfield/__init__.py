"""eiderfield: the decisions of a dispatcher that pushes jobs to workers, without any I/O."""

from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.settings_text import parse_settings

__all__ = ["Dispatcher", "parse_settings"]
