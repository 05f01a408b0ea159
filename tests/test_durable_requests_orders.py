"""Drawn orders of submit, wait, leave, result, planned end, kill, pause and takeover keep the rules.

A longer run by hand: `DURABLE_ORDERS=0-499 pytest -n 6 tests/test_durable_requests_orders.py`.
"""

from __future__ import annotations

import os
from random import Random

import pytest
from support.durable_orders import Orders

SEEDS_IN_CI = "0-23"


def drawn_seeds():
    first, _, last = os.environ.get("DURABLE_ORDERS", SEEDS_IN_CI).partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("seed", drawn_seeds())
def test_every_request_has_one_end_and_none_begins_for_a_client_that_has_gone(seed, tmp_path, monkeypatch):
    monkeypatch.setattr("os.urandom", Random(seed).randbytes)  # in the ids of jobs, which select successors
    orders = Orders(tmp_path / "custody", seed)
    try:
        orders.play()
    finally:
        orders.close()
