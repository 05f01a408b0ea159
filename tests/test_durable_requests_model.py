"""Explores all interleavings of a few members, requests and faults; seeded errors are found."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from eiderfield.cli import main
from eiderfield.lab.durable_requests.protocol_model import SLIPS, SLIPS_WITH_PLANS, Machine, start
from eiderfield.lab.explore import explore


@pytest.mark.parametrize(
    ("members", "jobs", "faults", "states"), [(2, 1, 2, 1320), (3, 1, 2, 16207), (2, 2, 1, 52323)]
)
def test_no_interleaving_starts_a_request_twice_or_gives_it_two_answers(members, jobs, faults, states):
    machine = Machine()
    result = explore(start(members, jobs, faults), machine.steps, machine.wrong)
    assert result.complete
    assert result.fault == ""
    assert result.states == states


@pytest.mark.parametrize("slip", SLIPS)
def test_each_seeded_error_is_found_with_a_short_trace(slip):
    machine = Machine(slip)
    result = explore(start(3, 1, 2), machine.steps, machine.wrong)
    assert ("begun 2 times" in result.fault) or "answers" in result.fault
    assert 5 < len(result.trace) <= 16
    assert not result.complete


@pytest.mark.parametrize(("members", "faults", "plans"), [(2, 2, 2), (3, 1, 1)])
def test_no_interleaving_of_planned_ends_and_leaving_clients_breaks_a_rule(members, faults, plans):
    machine = Machine()
    result = explore(start(members, 1, faults, plans=plans), machine.steps, machine.wrong)
    assert result.complete
    assert result.fault == ""


@pytest.mark.parametrize(
    ("slip", "fault"), list(zip(SLIPS_WITH_PLANS, ("a client that had gone", "has the answers"), strict=True))
)
def test_each_seeded_error_of_planned_ends_and_leaving_clients_is_found(slip, fault):
    machine = Machine(slip)
    result = explore(start(2, 1, 1, plans=2), machine.steps, machine.wrong)
    assert fault in result.fault
    assert 3 < len(result.trace) <= 16


def test_search_finds_the_shortest_trace_and_respects_its_bound():
    def steps(n):
        yield "one", n + 1
        yield "double", n * 2

    result = explore(1, steps, lambda n: "found" if n == 24 else "")
    assert result.fault == "found"
    assert len(result.trace) == 5
    assert not explore(1, steps, lambda _n: "", max_states=100).complete


def test_command_prints_the_number_of_states_and_the_trace_of_a_seeded_error():
    result = CliRunner().invoke(main, ["lab", "explore", "--members", "2", "--jobs", "1", "--faults", "1"])
    assert result.exit_code == 0
    assert "393 states" in result.output
    result = CliRunner().invoke(main, ["lab", "explore", "--members", "3", "--jobs", "1", "--slip", SLIPS[0]])
    assert result.exit_code == 1
    assert "begun 2 times" in result.output
    assert "a sends 0" in result.output
