"""The decisions for seeded event sequences are those that three earlier revisions made.

`BEFORE_THE_PACKAGE` has the digests from before the policy became a package; those of 456c0d9 and 3888fce are
in `tests/golden/REVISION/decisions`.

A digest covers every action in order, in the simulator's wire format with the expected work of each attempt,
so that it does not depend on names. An intended change of behaviour changes digests: the commit says which
and why.
"""

import hashlib
import json
import random
import struct
from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest
from support.policy import BASE
from support.random_events import VARIANTS, EventPlayer
from support.simulated_fleet import SimulatedFleet

from eiderfield.interface import StartAttempt
from eiderfield.wire import encode

PROBING = replace(
    BASE, workers_report_start=False, probing_allowed=True, load_report_fields=("x0",), dispatcher_count=40
)
SETTINGS = {
    **VARIANTS,
    "reports and probes": PROBING,
    "peers": replace(BASE, gossip_allowed=True, dispatcher_count=6, progress_interval_ms=40.0),
    "many": replace(
        BASE,
        dispatcher_count=40,
        dispatcher_index=3,
        hedging_allowed=False,
        progress_interval_ms=40.0,
        cross_zone_cost=0.1,
    ),
}
BEFORE_THE_PACKAGE = {
    "events": {
        "plain": "723a652a94ca8dc5",
        "cells": "f3e3b60bbec901fd",
        "zones": "bf21452e8946d67c",
        "all unsafe": "ef0d67957a1c296d",
        "nothing offered": "cdf86866df3f0a4a",
        "no copies": "cb667098f9845649",
        "tenants": "fe1aeca224391cc6",
        "reports and probes": "886776793b4fce76",
        "peers": "44c24b4554486262",
        "many": "b299f776fc1711c4",
    },
    "fleets": {"4x12": "a027f7bd3630faf5", "12x24": "fe1cd6a9f2887527"},
}
GOLDEN = Path(__file__).parent / "golden"
RECORDED = {"before the package": BEFORE_THE_PACKAGE} | {
    revision: json.loads((GOLDEN / revision / "decisions" / "digests.json").read_text())
    for revision in ("456c0d9", "3888fce")
}
FLEETS = {"4x12": (4, 12), "12x24": (12, 24)}  # dispatchers, workers


def record_actions(digest, dispatcher, number=0):
    """Update a digest with each action that a dispatcher returns."""
    real = dispatcher.handle

    def handle(now, events):
        actions = real(now, events)
        for action in actions:
            work = struct.pack("<d", action.expected_work) if isinstance(action, StartAttempt) else b""
            digest.update(struct.pack("<d", now) + encode(number, action) + work)
        return actions

    dispatcher.handle = handle


@cache
def digest_of_events(variant):
    """Return the digest of the actions under random events."""
    digest = hashlib.sha256()
    for seed in range(6):
        player = EventPlayer(SETTINGS[variant], random.Random(seed))
        record_actions(digest, player.node)
        player.run(250)
    return digest.hexdigest()[:16]


@cache
def digest_of_fleet(size):
    """Return the digest of the actions of a simulated fleet in which some workers are silent for a while."""
    nodes, workers = FLEETS[size]
    digest, fleet = hashlib.sha256(), SimulatedFleet(nodes, workers, load=0.9)
    for number, dispatcher in enumerate(fleet.nodes):
        record_actions(digest, dispatcher, number)
    fleet.run(3000.0)
    fleet.fall_silent([1, 2])
    fleet.run(6000.0)
    fleet.wake([1, 2])
    fleet.run(8000.0)
    return digest.hexdigest()[:16]


@pytest.mark.parametrize("revision", RECORDED)
@pytest.mark.parametrize("variant", SETTINGS)
def test_decisions_under_random_events_are_those_recorded(revision, variant):
    assert digest_of_events(variant) == RECORDED[revision]["events"][variant]


@pytest.mark.parametrize("revision", RECORDED)
@pytest.mark.parametrize("size", FLEETS)
def test_decisions_of_a_simulated_fleet_are_those_recorded(revision, size):
    assert digest_of_fleet(size) == RECORDED[revision]["fleets"][size]
