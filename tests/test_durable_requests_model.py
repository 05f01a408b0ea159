"""The protocol over all interleavings of a few members, jobs and faults; planted slips are found."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from eiderfield.cli import main
from eiderfield.lab.durable_requests.protocol_model import SLIPS, Machine, start
from eiderfield.lab.explore import explore


@pytest.mark.parametrize(
    ("members", "jobs", "faults", "states"), [(2, 1, 2, 1320), (3, 1, 2, 16207), (2, 2, 1, 52323)]
)
def test_no_interleaving_begins_a_job_twice_or_answers_it_in_two_ways(members, jobs, faults, states):
    machine = Machine()
    found = explore(start(members, jobs, faults), machine.steps, machine.wrong)
    assert found.complete
    assert found.fault == ""
    assert found.states == states


@pytest.mark.parametrize("slip", SLIPS)
def test_each_planted_slip_is_found_by_a_short_way(slip):
    machine = Machine(slip)
    found = explore(start(3, 1, 2), machine.steps, machine.wrong)
    assert ("begun 2 times" in found.fault) or "answers" in found.fault
    assert 5 < len(found.trace) <= 16
    assert not found.complete


def test_a_search_goes_the_shortest_way_and_keeps_its_bound():
    def steps(n):
        yield "one", n + 1
        yield "double", n * 2

    found = explore(1, steps, lambda n: "found" if n == 24 else "")
    assert found.fault == "found"
    assert len(found.trace) == 5
    assert not explore(1, steps, lambda _n: "", max_states=100).complete


def test_the_command_counts_states_and_names_a_slip():
    told = CliRunner().invoke(main, ["lab", "explore", "--members", "2", "--jobs", "1", "--faults", "1"])
    assert told.exit_code == 0
    assert "393 states" in told.output
    told = CliRunner().invoke(main, ["lab", "explore", "--members", "3", "--jobs", "1", "--slip", SLIPS[0]])
    assert told.exit_code == 1
    assert "begun 2 times" in told.output
    assert "a sends 0" in told.output
