"""The four rules under random event sequences, and tests that each check detects a violation."""

import random
from dataclasses import replace
from math import inf

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.random_events import VARIANTS, EventPlayer, RuleBrokenError

from eiderfield.interface import EndpointState
from eiderfield.policy import admission, completion, outlier_detection, selection
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.policy.retries import RetryController
from eiderfield.policy.slow_start import SlowStart


@pytest.mark.parametrize("variant", VARIANTS)
@hypothesis_settings(
    derandomize=True, max_examples=40, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
@given(seed=st.integers(0, 1 << 32), steps=st.integers(20, 150))
def test_rules_hold(variant, seed, steps):
    player = EventPlayer(VARIANTS[variant], random.Random(seed))
    player.run(steps)
    assert all(job["answered"] is not None or job["gone"] for job in player.jobs.values())


def ignore_drains(real):
    def report_all_ready(self, event, now):
        ready = [replace(entry, state=EndpointState.READY) for entry in event.endpoints]
        real(self, replace(event, endpoints=tuple(ready)), now)

    return report_all_ready


BROKEN_RULES = {
    "rule 1": ("plain", lambda m: m.setattr(Dispatcher, "_expire", lambda _self, _now: None)),
    "rule 2: unsafe": (
        "all unsafe",
        lambda m: (
            m.setattr(selection, "may_send", lambda *_a: True),
            m.setattr(
                RetryController,
                "replace_stalled",
                lambda self, attempt, _now: (
                    self._queues.add_first(attempt.request)
                    if attempt.request.queue is None and not attempt.request.answered
                    else None
                ),
            ),
        ),
    ),
    "rule 2: keyed": ("zones", lambda m: m.setattr(selection, "may_send", lambda *_a: True)),
    "rule 2: .* refused": (
        "all unsafe",
        lambda m: [
            m.setattr(module, "may_reject", lambda _request: True) for module in (admission, completion)
        ],
    ),
    "rule 3": (
        "plain",
        lambda m: m.setattr(Dispatcher, "_endpoints_updated", ignore_drains(Dispatcher._endpoints_updated)),
    ),
    "rule 4": ("plain", lambda m: m.setattr(SlowStart, "budget_left", lambda _self, _worker, _now: inf)),
    "two attempts at once": (
        "no copies",
        lambda m: (
            m.setattr(outlier_detection, "STUCK_DURATIONS", 0.1),
            m.setattr(selection, "may_send", lambda *_a: True),
            m.setattr(
                RetryController,
                "replace_stalled",
                lambda self, attempt, _now: (
                    self._queues.add_first(attempt.request)
                    if attempt.request.queue is None and not attempt.request.answered
                    else None
                ),
            ),
        ),
    ),
}


@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_violated_rule_is_detected(rule, monkeypatch):
    variant, break_rule = BROKEN_RULES[rule]
    break_rule(monkeypatch)

    def run_seeds():
        for seed in range(400):
            EventPlayer(VARIANTS[variant], random.Random(seed)).run(150)

    with pytest.raises(RuleBrokenError, match=rule):
        run_seeds()


def test_same_seed_and_events_give_same_actions(monkeypatch):
    logs = []
    for _ in range(2):
        player = EventPlayer(VARIANTS["tenants"], random.Random(5))
        log = []
        handle = player.node.handle

        def record(now, events, handle=handle, log=log):
            log.append(handle(now, events))
            return log[-1]

        monkeypatch.setattr(player.node, "handle", record)
        player.run(300)
        logs.append(log)
    assert logs[0] == logs[1]
    assert len(logs[0]) > 100
