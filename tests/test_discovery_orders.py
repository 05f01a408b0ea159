"""Drawn orders of lists, interruptions, reloads, handovers, kills and malformed entries.

`DISCOVERY_SEEDS=0-999` plays other seeds than those of CI.
"""

import os

import pytest
from support.discovery_orders import Play

from eiderfield.net.discovery.settings import DiscoveryKind

FIRST, _, LAST = os.environ.get("DISCOVERY_SEEDS", "0-39").partition("-")
CONSUL, PLATFORM = DiscoveryKind.CONSUL, DiscoveryKind.PLATFORM


# Regression: workers that a list omits or drains got requests after the grace, after some orders (review/3).
@pytest.mark.parametrize("kinds", [(CONSUL, CONSUL), (CONSUL, PLATFORM), (PLATFORM, PLATFORM)], ids="-".join)
@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
def test_nothing_begins_after_the_grace_at_workers_that_lists_omit_or_drain(seed, kinds):
    play = Play(seed, kinds)
    try:
        play.run()
    finally:
        play.close()
    assert play.late == [], play.history
    assert play.ready_workers() == {1, 2, 3}, play.history
    assert play.begun > 0
