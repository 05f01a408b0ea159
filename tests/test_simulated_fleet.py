"""Many dispatchers with uneven traffic on a simulated clock: the combined effects of their decisions."""

from dataclasses import replace

import pytest
from support.simulated_fleet import MIXED, SimulatedFleet, even, slow_start_budget, uneven

from eiderfield.interface import EndpointState

pytestmark = pytest.mark.long

SIZES = [(4, 12), (40, 24), (200, 40)]
# A single dispatcher; few, which divide the budget; and the smallest numbers of many, which draw thresholds.
OTHER_SIZES = [(1, 8), (2, 8), (12, 16), (20, 24), (30, 24)]


@pytest.mark.parametrize("replaced_share", ["one", "third", "six in ten"])
@pytest.mark.parametrize(("nodes", "workers"), SIZES)
def test_warming_workers_are_not_overloaded_by_all_dispatchers_together(nodes, workers, replaced_share):
    """Six in ten workers replaced at once were sent 1.11 of what rule 4 allows by forty dispatchers.

    With two hundred dispatchers it was 1.04. The work that the whole fleet had recently served was divided by
    the few workers that were still warm.
    """
    fleet = SimulatedFleet(nodes, workers, load=0.9)
    fleet.run(5000.0)
    replaced_count = {"one": 1, "third": workers // 3, "six in ten": workers * 6 // 10}[replaced_share]
    replacements = replace_workers(fleet, range(1, replaced_count + 1))
    fleet.run(14_000.0)
    worst = max(fleet.worst(worker, 14_000.0) for worker in replacements)
    assert not fleet.broken, fleet.broken[:3]
    print(nodes, workers, replaced_share, round(worst, 2))
    assert worst <= 1.0
    assert max(fleet.slow_start_use(worker, 14_000.0) for worker in replacements) <= 1.0
    assert fleet.sent_to(replacements, 0.0) > 20 * replaced_count, "the new workers are not starved"


@pytest.mark.parametrize("replaced_share", ["one", "third", "six in ten"])
@pytest.mark.parametrize(("nodes", "workers"), OTHER_SIZES)
def test_warming_workers_stay_within_the_slow_start_budget_with_mixed_costs(nodes, workers, replaced_share):
    """Requests cost 0.25 to 2.5 times the mean; a tenth of the dispatchers have five times the traffic."""
    fleet = SimulatedFleet(nodes, workers, load=0.9, traffic=uneven, costs=MIXED)
    fleet.run(4000.0)
    replaced_count = {"one": 1, "third": workers // 3, "six in ten": workers * 6 // 10}[replaced_share]
    warming = replace_workers(fleet, range(1, replaced_count + 1))
    fleet.run(9000.0)
    used = max(fleet.slow_start_use(worker, 9000.0) for worker in warming)
    print(nodes, workers, replaced_share, round(used, 2))
    assert not fleet.broken, fleet.broken[:3]
    assert used <= 1.0
    assert fleet.sent_to(warming, 0.0) > 10 * replaced_count, "the new workers are not starved"


@pytest.mark.parametrize("traffic", [even, uneven])
@pytest.mark.parametrize(("nodes", "workers"), [(1, 8), (20, 24), (40, 24)])
def test_a_returning_zone_stays_within_the_slow_start_budget_with_mixed_costs(nodes, workers, traffic):
    fleet = SimulatedFleet(nodes, workers, load=0.65, traffic=traffic, costs=MIXED)
    zone = return_lost_zone(fleet)
    fleet.run(14_000.0)
    used = max(fleet.slow_start_use(worker, 14_000.0) for worker in zone)
    print(nodes, workers, traffic.__name__, round(used, 2))
    assert not fleet.broken, fleet.broken[:3]
    assert used <= 1.0
    assert fleet.sent_to(zone, 9600.0) > 5 * len(zone)


def test_the_slow_start_budget_is_that_of_the_standing_test():
    """N + 3 sqrt(N) + 3 calls for N below 30, else N + 2 sqrt(N) + 2; N is 46.9 at full capacity."""
    assert slow_start_budget(1.0) == pytest.approx(46.875 + 2.0 * 46.875**0.5 + 2.0)
    assert slow_start_budget(0.33) == pytest.approx(15.46875 + 3.0 * 15.46875**0.5 + 3.0)


def return_lost_zone(fleet):
    """Let a zone fall silent, be listed as gone and return to warm up; return its workers."""
    fleet.run(4000.0)
    zone = [worker for worker, simulated in fleet.simulated_workers.items() if simulated.entry.zone == 2]
    fleet.fall_silent(zone)
    fleet.run(7000.0)  # discovery reports the loss late
    fleet.change(
        *(replace(fleet.simulated_workers[worker].entry, state=EndpointState.GONE) for worker in zone)
    )
    fleet.run(9000.0)
    fleet.wake(zone)
    fleet.change(
        *(
            replace(fleet.simulated_workers[w].entry, state=EndpointState.READY, ready_at=fleet.now)
            for w in zone
        )
    )
    return zone


def replace_workers(fleet, workers):
    """Replace workers by newly started workers; return the numbers of these."""
    places = [fleet.simulated_workers[worker].entry for worker in workers]
    gone = [replace(entry, state=EndpointState.GONE) for entry in places]
    replacements = [replace(entry, worker=1000 + entry.worker, ready_at=fleet.now) for entry in places]
    fleet.change(*gone, *replacements)
    return [entry.worker for entry in replacements]


@pytest.mark.parametrize(("nodes", "workers"), SIZES)
def test_drained_worker_gets_nothing_from_a_dispatcher_that_was_notified(nodes, workers):
    fleet = SimulatedFleet(nodes, workers, load=0.8)
    fleet.run(3000.0)
    fleet.change(replace(fleet.simulated_workers[1].entry, state=EndpointState.DRAINING))
    fleet.run(3600.0)
    before = fleet.sent_to([1], 0.0)
    fleet.run(9000.0)
    assert before > 0
    assert fleet.sent_to([1], 3600.0) == 0
    assert not fleet.broken
    assert not fleet.owed()
    assert fleet.served() > 0.9


@pytest.mark.parametrize(("nodes", "workers"), SIZES)
def test_zone_that_returns_after_a_loss_is_not_overloaded(nodes, workers):
    fleet = SimulatedFleet(nodes, workers, load=0.65)
    zone = return_lost_zone(fleet)
    fleet.run(18_000.0)
    assert not fleet.broken, fleet.broken[:3]
    assert max(fleet.worst(worker, 18_000.0) for worker in zone) <= 1.0
    assert max(fleet.slow_start_use(worker, 18_000.0) for worker in zone) <= 1.0
    assert fleet.sent_to(zone, 9600.0) > 20 * len(zone)
    assert not fleet.owed()


@pytest.mark.parametrize(("nodes", "workers"), SIZES)
def test_silent_fifth_of_the_fleet_costs_no_answer_and_is_used_again(nodes, workers):
    """No list change announces it, and each of 200 dispatchers uses a worker only every few seconds."""
    fleet = SimulatedFleet(nodes, workers, load=0.6)
    fleet.run(4000.0)
    silent = list(range(1, workers // 5 + 1))
    fleet.fall_silent(silent)
    fleet.run(10_000.0)
    fleet.wake(silent)
    fleet.run(20_000.0)
    assert not fleet.broken
    assert not fleet.owed()
    assert fleet.served() > 0.85
    assert fleet.sent_to(silent, 16_000.0) > 4 * len(silent)
