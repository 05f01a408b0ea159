"""Parked connections in a real process: reload, ban, upgrade and end."""

import signal

import pytest

from eiderfield.lab.experiment import Experiment
from eiderfield.lab.idle_commands import Connect, Count, Wake
from eiderfield.lab.processes import call_console, wait_for

pytestmark = pytest.mark.real_time

COUNT = 60
CONFIG = {"connections": {"park_after_ms": 10, "copies": True}}


class ParkedConnections:
    """A dispatcher with parked connections."""

    def __init__(self, experiment):
        self.experiment = experiment
        self.workers = experiment.start_workers(2)
        self.dispatcher = experiment.start_dispatcher("old", CONFIG, self.workers)
        self.clients = experiment.start_idle_clients(self.dispatcher.listen, 0, addresses=4)
        assert self.clients.run(Connect(COUNT)).statuses["200"] == COUNT
        self.wait(self.dispatcher, "parked", COUNT)

    def start_next(self, name):
        """Starts a dispatcher at the same address, which takes over."""
        config = {**CONFIG, "listen": self.dispatcher.listen}
        return self.experiment.start_dispatcher(name, config, self.workers)

    def end_first(self):
        """Tells the first dispatcher to end, and waits until it has."""
        self.dispatcher.signal(signal.SIGTERM)
        wait_for("the old process has ended", lambda: not self.dispatcher.alive)

    @staticmethod
    def wait(dispatcher, name, count):
        wait_for(f"{name} is {count}", lambda: dispatcher.connections(name) == count)

    def all_answer(self):
        """Every client speaks once, and is answered."""
        statuses = self.clients.run(Wake(COUNT, seconds=0.2)).statuses
        assert sum(statuses.get(status, 0) for status in ("200", "503")) == COUNT, statuses


@pytest.fixture
def parked(tmp_path):
    with Experiment(tmp_path) as experiment:
        yield ParkedConnections(experiment)


def test_a_reload_lets_parked_connections_idle_for_less_time_and_a_faulty_one_changes_nothing(parked):
    parked.dispatcher.reload(connections={"keep_ms": "soon"})
    parked.all_answer()
    parked.wait(parked.dispatcher, "parked", COUNT)
    parked.dispatcher.reload(connections={"keep_ms": 1000.0, "park_after_ms": 10})
    parked.wait(parked.dispatcher, "open", 0)
    report = parked.clients.run(Count())
    assert (report.open, report.closed) == (0, COUNT)
    expired = parked.dispatcher.connections("expired")
    assert expired >= COUNT - 1  # one may have been closed before it was parked


def test_a_ban_holds_through_an_upgrade_with_parked_connections_and_nobody_is_lost(parked):
    assert call_console(parked.dispatcher.console, "/-/workers/w0/disable", "POST")[0] == 200
    new = parked.start_next("new")
    parked.wait(new, "parked", COUNT)
    parked.wait(parked.dispatcher, "lent", COUNT)
    parked.end_first()
    parked.all_answer()
    assert new.figures()["hosts_down"] == 1


def test_a_new_process_that_is_killed_gives_all_connections_back_and_the_next_one_takes_them(parked):
    new = parked.start_next("new")
    parked.wait(new, "parked", COUNT)
    new.end()
    parked.wait(parked.dispatcher, "parked", COUNT)
    parked.all_answer()
    parked.wait(parked.dispatcher, "parked", COUNT)
    third = parked.start_next("third")
    parked.wait(third, "parked", COUNT)
    parked.end_first()
    parked.all_answer()


def test_the_end_closes_parked_connections_and_the_program(parked):
    parked.end_first()
    report = parked.clients.run(Count())
    assert (report.open, report.closed) == (0, COUNT)
