"""What all parts of one dispatcher's decisions share: its settings, its random numbers, and its actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from eiderfield.interface import Action, Effect, Settings

MANY = 8  # dispatchers above which what one of them sees of a worker says little


@dataclass(slots=True, eq=False)
class Context:
    """The shared state of one dispatcher."""

    settings: Settings
    random: random.Random
    actions: list[Action] = field(default_factory=list)  # asked for since the present call began

    @property
    def many(self) -> bool:
        """Whether there are so many dispatchers that each sees little of a worker."""
        return self.settings.dispatcher_count > MANY

    @property
    def free_slots_column(self) -> int:
        """The place of the free slots in a load report, -1 where reports do not tell them."""
        fields = self.settings.load_report_fields
        return fields.index("x0") if "x0" in fields else -1

    @property
    def sees_all(self) -> bool:
        """Whether this dispatcher is alone and reports tell of slots: nothing at a worker is unseen then."""
        return self.settings.dispatcher_count == 1 and self.free_slots_column >= 0

    @property
    def trial_effect(self) -> Effect:
        """The effect of the class that is sent first to a worker of which little is known."""
        return min(cls.effect for cls in self.settings.classes)
