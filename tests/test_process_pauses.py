"""Tests that after a pause of the process received data is read before timers are called and turns taken."""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import time

import pytest
from support.memory_dispatcher import InMemoryDispatcher
from support.processes import CONFIG, DiscoveryServer, HoldingWorker, ask, post, running_program

from eiderfield.lab.ports import free_port
from eiderfield.net.loop import PAUSE_MS, READ_ITERATIONS, Driver


class Loop:
    """The methods of an event loop that the driver uses. The test runs its iterations one by one."""

    def __init__(self):
        self.ready_callbacks, self.timers, self.poll_callbacks = [], [], []

    def call_soon(self, call, *args):
        self.ready_callbacks.append((call, args))

    def call_later(self, _wait, call):
        self.timers.append(call)
        return self

    def cancel(self):
        self.timers.clear()

    def run_iteration(self):
        """Run the ready callbacks, then the next callback of a poll, in the order of asyncio."""
        ready, self.ready_callbacks = self.ready_callbacks, []
        for call, args in ready:
            call(*args)
        if self.poll_callbacks:
            self.poll_callbacks.pop(0)()


@pytest.fixture
def harness():
    class DriverHarness:
        now, log = 1000.0, []

    harness = DriverHarness()
    harness.log = []
    harness.loop = Loop()
    harness.driver = Driver(harness.loop, lambda: harness.now)
    harness.driver.on_pause = lambda span: harness.log.append(f"paused {span:.0f}")
    harness.driver.turn = lambda _now: harness.log.append("turn")
    return harness


def test_timer_after_a_pause_is_called_once_received_data_is_read(harness):
    harness.driver.wheel.call_at(1100.0, lambda: harness.log.append("timer"))
    harness.loop.run_iteration()
    harness.now = 5100.0
    harness.loop.poll_callbacks = [lambda: harness.log.append("read"), lambda: harness.driver.wake()]
    [call_timer] = harness.loop.timers
    call_timer()
    for _ in range(READ_ITERATIONS + 3):
        harness.loop.run_iteration()
    assert harness.log == ["read", "paused 4000", "timer", "turn"]


def test_turn_scheduled_before_a_pause_is_taken_once_received_data_is_read(harness):
    harness.driver.wake()
    harness.now += 3000.0
    harness.loop.poll_callbacks = [lambda: harness.log.append("read")]
    for _ in range(READ_ITERATIONS + 3):
        harness.loop.run_iteration()
    assert harness.log == ["read", "paused 3000", "turn"]


def test_delay_below_the_threshold_is_no_pause(harness):
    harness.driver.wake()
    harness.now += PAUSE_MS - 1.0
    harness.loop.run_iteration()
    assert harness.log == [], "the turn is taken after one more poll"
    harness.loop.run_iteration()
    assert harness.log == ["turn"]


def test_turn_is_taken_after_the_next_poll(harness):
    """Guards against a turn between the polls that report a request and the close of its client."""
    harness.loop.poll_callbacks = [lambda: harness.driver.wake(), lambda: harness.log.append("close")]
    for _ in range(4):
        harness.loop.run_iteration()
    assert harness.log == ["close", "turn"]


def test_silence_of_a_worker_counts_from_the_end_of_a_pause():
    dispatcher = InMemoryDispatcher()
    client = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.say({"id": "r1", "from": "w", "state": "started"})
    dispatcher.now += 4_000.0  # no data is read and no timer is called meanwhile
    dispatcher.exchange.process_resumed(4_000.0)
    dispatcher.settle()
    assert end.pipe.open
    assert not dispatcher.exchange.snapshot(dispatcher.now).avoided_workers
    assert any("exchange: event loop stalled (ms=4000)" in line for line in dispatcher.logged)
    end.say({"id": "r1", "from": "w", "state": "done", "result": "ok"}, head=False, end=True)
    assert client.answers()


@pytest.mark.real_time
def test_resumed_program_does_not_resend_requests_answered_meanwhile(tmp_path):
    """Guards against running requests twice after a pause.

    Before received data was read first, 15 of 240 requests to 4 dispatchers, one of which was stopped for
    4 s, ran twice.
    """
    workers = [HoldingWorker(), HoldingWorker()]
    source = DiscoveryServer(*[worker.port for worker in workers])
    served = []
    for worker in workers:
        worker.hold = lambda worker=worker: (served.append(worker), HoldingWorker.hold(worker))
    port = free_port()
    echo = {**CONFIG["settings"]["classes"][0], "give_up": 300_000, "idempotency": "retryable"}
    settings = {
        "classes": [echo],
        "family_info": {"tells_start": True, "progress": 1000.0},
        "policy_limits": {"cancel": True, "max_attempts": 5},
    }
    config = {**CONFIG, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{source.port}"}
    config["settings"] = settings
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    with running_program(path) as process:
        source.asked.get(timeout=30)
        with socket.create_connection(("127.0.0.1", port), 30) as sock:
            for number in range(2):
                for worker in workers:
                    worker.let.clear()
                sock.sendall(post(f"r{number}"))
                while len(served) <= number:
                    select.select([], [], [], 0.001)
                process.send_signal(signal.SIGSTOP)
                os.waitpid(process.pid, os.WUNTRACED)
                for worker in workers:
                    worker.let.set()
                resume_at = time.monotonic() + 2.0  # longer than a worker may be silent
                while (left := resume_at - time.monotonic()) > 0.0:
                    select.select([], [], [], left)
                process.send_signal(signal.SIGCONT)
                assert ask(sock, b"") == (200, b"cba")
        assert len(served) == 2, "each request must reach a worker once"
