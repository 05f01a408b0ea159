"""Parked connections in real processes: reload, ban, upgrade and shutdown."""

import signal

import pytest

from eiderfield.lab.experiment import Experiment
from eiderfield.lab.idle_commands import Connect, Count, Wake
from eiderfield.lab.processes import call_console, wait_for

pytestmark = pytest.mark.real_time

CONNECTION_COUNT = 60
CONFIG = {"connections": {"park_after_ms": 10, "copies": True}}


class DispatcherWithParkedConnections:
    """A dispatcher process with parked connections, and the clients of these."""

    def __init__(self, experiment):
        self.experiment = experiment
        self.workers = experiment.start_workers(2)
        self.dispatcher = experiment.start_dispatcher("old", CONFIG, self.workers)
        self.clients = experiment.start_idle_clients(self.dispatcher.listen, 0, addresses=4)
        assert self.clients.run(Connect(CONNECTION_COUNT)).statuses["200"] == CONNECTION_COUNT
        self.wait(self.dispatcher, "parked", CONNECTION_COUNT)

    def start_successor(self, name):
        """Start a dispatcher at the same address, which takes over from the first one."""
        config = {**CONFIG, "listen": self.dispatcher.listen}
        return self.experiment.start_dispatcher(name, config, self.workers)

    def stop_first(self):
        """Send SIGTERM to the first dispatcher and wait until it has ended."""
        self.dispatcher.signal(signal.SIGTERM)
        wait_for("the first dispatcher has ended", lambda: not self.dispatcher.alive)

    @staticmethod
    def wait(dispatcher, name, count):
        wait_for(f"{name} is {count}", lambda: dispatcher.connections(name) == count)

    def check_all_served(self):
        """Let every client send a request, and check that each has a response."""
        statuses = self.clients.run(Wake(CONNECTION_COUNT, seconds=0.2)).statuses
        assert sum(statuses.get(status, 0) for status in ("200", "503")) == CONNECTION_COUNT, statuses


@pytest.fixture
def parked(tmp_path):
    with Experiment(tmp_path) as experiment:
        yield DispatcherWithParkedConnections(experiment)


def test_reload_applies_a_shorter_idle_timeout_to_parked_connections_and_an_invalid_one_does_not(parked):
    parked.dispatcher.reload(connections={"keep_ms": "soon"})
    parked.check_all_served()
    parked.wait(parked.dispatcher, "parked", CONNECTION_COUNT)
    parked.dispatcher.reload(connections={"keep_ms": 1000.0, "park_after_ms": 10})
    parked.wait(parked.dispatcher, "open", 0)
    report = parked.clients.run(Count())
    assert (report.open, report.closed) == (0, CONNECTION_COUNT)
    expired = parked.dispatcher.connections("expired")
    assert expired >= CONNECTION_COUNT - 1  # one may expire before it is parked


def test_upgrade_keeps_a_ban_and_all_parked_connections(parked):
    assert call_console(parked.dispatcher.console, "/-/workers/w0/disable", "POST")[0] == 200
    new = parked.start_successor("new")
    parked.wait(new, "parked", CONNECTION_COUNT)
    parked.wait(parked.dispatcher, "lent", CONNECTION_COUNT)
    parked.stop_first()
    parked.check_all_served()
    assert new.figures()["hosts_down"] == 1


def test_parked_connections_of_a_killed_successor_return_and_are_handed_over_again(parked):
    new = parked.start_successor("new")
    parked.wait(new, "parked", CONNECTION_COUNT)
    new.end()
    parked.wait(parked.dispatcher, "parked", CONNECTION_COUNT)
    parked.check_all_served()
    parked.wait(parked.dispatcher, "parked", CONNECTION_COUNT)
    third = parked.start_successor("third")
    parked.wait(third, "parked", CONNECTION_COUNT)
    parked.stop_first()
    parked.check_all_served()


def test_shutdown_closes_parked_connections_and_ends_the_program(parked):
    parked.stop_first()
    report = parked.clients.run(Count())
    assert (report.open, report.closed) == (0, CONNECTION_COUNT)
