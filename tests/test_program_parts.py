"""The parts of a process start, take a new configuration and end together."""

import asyncio
from dataclasses import replace

import pytest
from support.processes import endpoint_list, program_config

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import read
from eiderfield.lab.ports import free_port
from eiderfield.net.shutdown_times import ShutdownTimes
from eiderfield.program.part import DrainTimes, Part
from eiderfield.program.program import Program
from eiderfield.program.shutdown import CHECK_INTERVAL_MS

NOW = 1e6
DEADLINE = 5000.0  # of the one class in the configuration


class Recording(Part):
    """A part that tells what is asked of it."""

    def __init__(self, name, calls):
        self.name, self.calls = name, calls
        self.still_busy = False

    async def start(self):
        self.calls.append((self.name, "start"))

    def reload(self, old, new):
        self.calls.append((self.name, "reload", old.dial_timeout_ms, new.dial_timeout_ms))

    def drain(self, times):
        self.calls.append((self.name, "drain", times))

    @property
    def busy(self):
        return self.still_busy

    def stop(self):
        self.calls.append((self.name, "stop"))

    def figures(self):
        return {self.name: {"calls": len(self.calls)}}


class Joined:
    """A program to which two parts were joined: one that starts before clients are served, one with them."""

    def __init__(self, monkeypatch, tmp_path):
        monkeypatch.setenv("TMPDIR", str(tmp_path))
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        self.now = NOW
        self.loop = asyncio.new_event_loop()
        self.config = read(program_config(free_port(), "127.0.0.1:9", known=endpoint_list(8080)), {})
        self.program = Program(self.config, self.loop, lambda: self.now)
        self.calls = []
        self.first, self.last = Recording("first", self.calls), Recording("last", self.calls)
        self.program._before_clients[:] = [self.first]
        self.program._with_clients[:] = [self.last]
        self.program.shutdown._parts = self.program._parts

    def start(self):
        self.loop.run_until_complete(self.program.start())

    def pass_time(self, span):
        """Lets time pass on the wheel."""
        end = self.now + span
        wheel = self.program.core.driver.wheel
        while (at := wheel.next_wakeup()) <= end:
            self.now = max(self.now, at)
            wheel.advance(self.now)
        self.now = end

    def names(self, call):
        return [name for name, what, *_ in self.calls if what == call]


@pytest.fixture
def joined(monkeypatch, tmp_path):
    joined = Joined(monkeypatch, tmp_path)
    yield joined
    joined.loop.close()


def test_parts_start_in_their_order(joined):
    joined.start()
    assert joined.calls == [("first", "start"), ("last", "start")]


def test_a_process_that_was_told_to_end_serves_no_clients(joined):
    joined.program.stop()
    joined.start()
    assert joined.names("start") == ["first"]


def test_a_new_configuration_comes_to_each_part_with_the_old_one(joined):
    other = replace(joined.config, dial_timeout_ms=77.0)
    joined.program.reload(lambda: other)
    before = joined.config.dial_timeout_ms
    assert joined.calls == [("first", "reload", before, 77.0), ("last", "reload", before, 77.0)]
    assert joined.program.settings.current.dial_timeout_ms == 77.0
    assert joined.program.settings.report()["generation"] == 2


def test_a_configuration_that_is_refused_comes_to_no_part(joined):
    def load():
        raise ConfigError("settings.classes: is faulty")

    joined.program.reload(load)
    assert not joined.calls
    assert joined.program.settings.current is joined.config
    report = joined.program.settings.report()
    assert report["generation"] == 1
    assert report["refused"]["why"] == "settings.classes: is faulty"


def test_figures_of_all_parts_are_told_together(joined):
    assert joined.program._figures() == {"first": {"calls": 0}, "last": {"calls": 0}}


def test_each_part_hears_once_when_the_end_has_begun_and_what_binds(joined):
    ending = ShutdownTimes.of(DEADLINE)
    times = DrainTimes(
        NOW + ending.close_listeners_after,
        NOW + ending.disable_keep_alive_after,
        NOW + ending.answered_after,
    )
    joined.program.stop()
    joined.program.stop()
    assert joined.calls == [("first", "drain", times), ("last", "drain", times)]


def test_no_part_stops_while_another_is_busy(joined):
    joined.last.still_busy = True
    joined.program.stop()
    joined.pass_time(10_000.0)
    assert not joined.names("stop")
    assert not joined.program.ended.is_set()
    joined.last.still_busy = False
    joined.pass_time(2.0 * CHECK_INTERVAL_MS)
    assert joined.names("stop") == ["first", "last"]
    assert joined.program.ended.is_set()


def test_a_process_whom_nobody_keeps_ends_when_its_listeners_close(joined):
    joined.program.stop()
    joined.pass_time(ShutdownTimes.of(DEADLINE).close_listeners_after + CHECK_INTERVAL_MS)
    assert joined.names("stop") == ["first", "last"]
    assert joined.program.ended.is_set()
