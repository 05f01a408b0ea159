"""State that the parts of one dispatcher's policy share: settings, random numbers and pending actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from eiderfield.interface import Action, Effect, Settings

MANY_DISPATCHERS = 8  # with more, one dispatcher sees only a small part of a worker's requests


@dataclass(slots=True, eq=False)
class Context:
    """The shared state of one dispatcher's policy."""

    settings: Settings
    random: random.Random
    actions: list[Action] = field(default_factory=list)  # returned by the current call of `handle`

    @property
    def many_dispatchers(self) -> bool:
        """Whether each dispatcher sees only a small part of a worker's requests."""
        return self.settings.dispatcher_count > MANY_DISPATCHERS

    @property
    def free_slots_column(self) -> int:
        """The index of the free slots in a load report, -1 if reports do not hold them."""
        fields = self.settings.load_report_fields
        return fields.index("x0") if "x0" in fields else -1

    @property
    def sees_all_slots(self) -> bool:
        """Whether all used slots are known: there is one dispatcher, and load reports hold free slots."""
        return self.settings.dispatcher_count == 1 and self.free_slots_column >= 0

    @property
    def trial_effect(self) -> Effect:
        """The effect of the class that is safest to repeat; its requests try half-open workers."""
        return min(request_class.effect for request_class in self.settings.classes)
