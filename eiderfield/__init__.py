"""A dispatcher that sends requests to workers. This module exports its policy, which does no I/O."""

from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.settings_text import parse_settings

__all__ = ["Dispatcher", "parse_settings"]
