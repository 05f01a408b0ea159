"""The baseline: measurements of all dispatchers before a change, and how these differ from each other."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from eiderfield.rollout.observation import NO_SAMPLES, Measure, Moments, Observation
from eiderfield.rollout.sequential_test import MIN_SAMPLES, Offset, deterioration, sample_variance
from eiderfield.rollout.state import BaselineCounts


class MeasureKey(NamedTuple):
    """A request class and a measure of it, which identify one test."""

    class_name: str
    measure: Measure


class Baseline:
    """The moments of each dispatcher, class and measure before the change.

    `counts` holds the moments in their stored form, which is part of the state of the change.
    """

    def __init__(self, classes: Sequence[str], counts: BaselineCounts | None = None) -> None:
        self.counts: BaselineCounts = {} if counts is None else counts
        self._classes = tuple(classes)

    def add_window(self, observations: Iterable[Observation]) -> None:
        """Add the observations of a window in which all dispatchers ran the old version."""
        for observation in observations:
            if observation.alive:
                self._add(observation)

    def offsets(self, changing: Collection[str]) -> dict[MeasureKey, Offset]:
        """Return, for each class and measure, by how much `changing` was worse than the other dispatchers.

        A class and measure with fewer than `MIN_SAMPLES` samples in either group is left out.
        """
        offsets = {}
        for class_name in self._classes:
            for measure in Measure:
                offset = self._offset(class_name, measure, changing)
                if offset is not None:
                    offsets[MeasureKey(class_name, measure)] = offset
        return offsets

    def _add(self, observation: Observation) -> None:
        by_class = self.counts.setdefault(observation.dispatcher, {name: {} for name in self._classes})
        for class_name, by_measure in by_class.items():
            for measure in Measure:
                accumulated = Moments(*by_measure.get(measure, NO_SAMPLES))
                by_measure[measure.value] = list(accumulated.merged(observation.moments(class_name, measure)))

    def _offset(self, class_name: str, measure: Measure, changing: Collection[str]) -> Offset | None:
        # The groups are named by the versions that they run after the stage has changed; here all are old.
        new, old = NO_SAMPLES, NO_SAMPLES
        for dispatcher, by_class in self.counts.items():
            moments = by_class[class_name][measure]
            if dispatcher in changing:
                new = new.merged(moments)
            else:
                old = old.merged(moments)
        if min(new.size, old.size) < MIN_SAMPLES:
            return None
        variance = sample_variance(measure, new.merged(old)) * (1.0 / new.size + 1.0 / old.size)
        return Offset(deterioration(measure, new, old), variance)
