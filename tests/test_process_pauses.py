"""After a pause of the process, received data is read before timers and turns."""

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
    """The part of an event loop that the driver uses, run iteration by iteration."""

    def __init__(self):
        self.ready, self.later, self.arrives = [], [], []

    def call_soon(self, call, *args):
        self.ready.append((call, args))

    def call_later(self, _wait, call):
        self.later.append(call)
        return self

    def cancel(self):
        self.later.clear()

    def round(self):
        """Run the callbacks that are ready, after those of a poll, as asyncio does."""
        ready, self.ready = self.ready, []
        for call, args in ready:
            call(*args)
        if self.arrives:
            self.arrives.pop(0)()


@pytest.fixture
def world():
    class World:
        now, log = 1000.0, []

    world = World()
    world.log = []
    world.loop = Loop()
    world.driver = Driver(world.loop, lambda: world.now)
    world.driver.on_pause = lambda span: world.log.append(f"absent {span:.0f}")
    world.driver.turn = lambda _now: world.log.append("turn")
    return world


def test_timer_after_a_pause_is_called_once_received_data_is_read(world):
    world.driver.wheel.call_at(1100.0, lambda: world.log.append("timer"))
    world.loop.round()
    world.now = 5100.0
    world.loop.arrives = [lambda: world.log.append("read"), lambda: world.driver.wake()]
    [fire] = world.loop.later
    fire()
    for _ in range(READ_ITERATIONS + 3):
        world.loop.round()
    assert world.log == ["read", "absent 4000", "timer", "turn"]


def test_turn_scheduled_before_a_pause_is_taken_once_received_data_is_read(world):
    world.driver.wake()
    world.now += 3000.0
    world.loop.arrives = [lambda: world.log.append("read")]
    for _ in range(READ_ITERATIONS + 3):
        world.loop.round()
    assert world.log == ["read", "absent 3000", "turn"]


def test_delay_below_the_threshold_is_no_pause(world):
    world.driver.wake()
    world.now += PAUSE_MS - 1.0
    world.loop.round()
    assert world.log == [], "one more poll comes first"
    world.loop.round()
    assert world.log == ["turn"]


def test_turn_is_taken_after_the_next_poll(world):
    """A request and the close of its client are reported by two polls."""
    world.loop.arrives = [lambda: world.driver.wake(), lambda: world.log.append("close")]
    for _ in range(4):
        world.loop.round()
    assert world.log == ["close", "turn"]


def test_silence_of_a_worker_counts_from_the_end_of_a_pause():
    dispatcher = InMemoryDispatcher()
    client = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.say({"id": "r1", "from": "w", "state": "started"})
    dispatcher.now += 4_000.0  # nothing was read and no timer went off
    dispatcher.exchange.process_resumed(4_000.0)
    dispatcher.settle()
    assert end.pipe.open
    assert not dispatcher.exchange.snapshot(dispatcher.now).avoided_workers
    assert any("exchange: event loop stalled (ms=4000)" in line for line in dispatcher.logged)
    end.say({"id": "r1", "from": "w", "state": "done", "result": "ok"}, head=False, end=True)
    assert client.answers()


@pytest.mark.real_time
def test_resumed_program_does_not_resend_requests_answered_meanwhile(tmp_path):
    """Measured before, with 4 dispatchers and one of them stopped for 4 s: 15 of 240 requests ran twice."""
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
    told = {**CONFIG, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{source.port}"}
    told["settings"] = settings
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
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
                until = time.monotonic() + 2.0  # far longer than the module waits for a sign of life
                while (left := until - time.monotonic()) > 0.0:
                    select.select([], [], [], left)
                process.send_signal(signal.SIGCONT)
                assert ask(sock, b"") == (200, b"cba")
        assert len(served) == 2, "each job reached a worker once"
