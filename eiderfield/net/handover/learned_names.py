"""Names of the classes and machine kinds that a learned state refers to by number.

A class is numbered by its position in the settings, and a machine kind that the settings do not list by the
order in which a process first saw it. The numbers of the old process therefore mean something else in a new
process with other settings, or in one that has seen the workers in another order.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from eiderfield.exchange.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.model.learned_state import KindSlots, LearnedState


@dataclass(slots=True, frozen=True)
class LearnedNames:
    """The names of all classes, in order, and of the machine kinds, by number."""

    classes: tuple[str, ...]
    kinds: Mapping[int, str]


def names_of(learned: LearnedState, exchange: Exchange, ids: IdMap) -> LearnedNames:
    """Return the names for a learned state of this process."""
    return LearnedNames(
        classes=tuple(each.name for each in exchange.settings.classes),
        kinds={entry.kind: ids.kind_name(entry.kind) for entry in learned.slots},
    )


def renumber(
    learned: LearnedState, names: LearnedNames | None, exchange: Exchange, ids: IdMap
) -> LearnedState:
    """Return a learned state of the old process with the numbers of this process.

    A class that the old process does not have keeps the state that it has here. Without names, as earlier
    revisions send it, the classes are taken to be the same, and only kinds that the settings list are kept.
    """
    if names is None:
        slots = [entry for entry in learned.slots if ids.is_listed_kind(entry.kind)]
        return replace(learned, slots=tuple(slots))
    pacers = dict(zip(names.classes, learned.pacers, strict=False))
    own_pacers = exchange.learned_state().pacers
    classes = exchange.settings.classes
    return replace(
        learned,
        pacers=tuple(pacers.get(each.name, own) for each, own in zip(classes, own_pacers, strict=True)),
        slots=tuple(
            KindSlots(ids.kind(names.kinds[entry.kind]), entry.slots)
            for entry in learned.slots
            if entry.kind in names.kinds
        ),
    )
