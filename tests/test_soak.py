"""Seeded runs of bad and sound clients with signals and restarts; `SOAK_SEEDS=0-49` names others."""

import asyncio
import os

import pytest
from support.soak import soak

SEEDS = os.environ.get("SOAK_SEEDS", "0-3")
FIRST, _, LAST = SEEDS.partition("-")

pytestmark = [pytest.mark.real_time]


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
# Regression: memory over its limit, requests without an answer, ids that ran twice (issue 54).
def test_soak_shows_no_fault(tmp_path, seed):
    findings = asyncio.run(soak(tmp_path, seed))
    assert findings.faults == []
    assert findings.outcomes[200] > 0
