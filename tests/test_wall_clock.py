"""The wall clock is stepped by seconds or an hour, forward or back: no span of time changes by that."""

import json
import re
import time
from pathlib import Path

import pytest
from support.golden_messages import recorded
from support.handover import LISTEN, Side, Wire
from support.memory_dispatcher import Client, InMemoryDispatcher, Pipe
from test_consul import Consul, instance
from test_peers import Tier

import eiderfield
from eiderfield.batch.front import BatchFront
from eiderfield.batch.messages import JobTemplate
from eiderfield.batch.registry import JobRegistry, RegistryLimits
from eiderfield.interface import EndpointState
from eiderfield.net.clients import Listener
from eiderfield.net.clock import MonotonicClock, WallClock
from eiderfield.net.discovery.platform import PlatformWatch
from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.messages import BanChanged, ConnectionPassed, ParkedBatch
from eiderfield.net.peer_filter import LIFE_HOLDS
from eiderfield.net.peers import PeerPort
from eiderfield.net.start_times import MAX_ANNOUNCEMENT_DELAY_MS, StartTimes

SECONDS, HOUR = 5_000.0, 3_600_000.0
STEPS = [-HOUR, -SECONDS, SECONDS, HOUR]
UNIX = 1_764_600_000_000.0  # what the wall clock shows where the tests' clocks begin
COLD = 8000.0  # ms of slow start in the tests' settings

steps = pytest.mark.parametrize("step", STEPS)


class Wall:
    """A wall clock that can be stepped, over clocks that cannot."""

    def __init__(self):
        self.stepped = self.start = 0.0
        self.dispatcher = None

    def runs_with(self, dispatcher):
        """Goes on by the clock of a dispatcher."""
        self.dispatcher, self.start = dispatcher, dispatcher.now

    def __call__(self):
        elapsed = 0.0 if self.dispatcher is None else self.dispatcher.now - self.start
        return UNIX + elapsed + self.stepped

    def step(self, by):
        self.stepped += by


class Machine:
    """A dispatcher that follows a watch, on a machine with a wall clock."""

    def __init__(self, start=9e9, **more):
        self.wall = Wall()
        self.dispatcher = dispatcher = InMemoryDispatcher(workers=0, unix=self.wall, start=start, **more)
        self.wall.runs_with(dispatcher)
        self.watch = PlatformWatch(
            dispatcher.table,
            dispatcher.wheel,
            dispatcher.clock,
            dispatcher.dial,
            ("127.0.0.1", 1),
            dispatcher.logged.append,
        )
        self.watch.connect()
        dial = self.dispatcher.dials.pop()
        self.pipe = Pipe(dial.connection)
        dial.connection.connection_made(self.pipe)
        self.pipe.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.index = 0

    def tell(self, *workers, snapshot=False):
        """Discovery tells of workers: their names and Unix times of their starts."""
        self.index += 1
        endpoints = [
            {"name": name, "address": "127.0.0.1:9", "status": "SERVING", "since_ms": since}
            for name, since in workers
        ]
        told = {"index": self.index, "snapshot": snapshot, "endpoints": endpoints}
        self._line(json.dumps(told).encode())

    def beat(self):
        """Discovery gives a sign of life."""
        self._line(b"")

    def pass_time(self, span):
        """Lets time pass while discovery gives signs of life."""
        while span > 0.0:
            self.dispatcher.advance(min(span, 1000.0))
            self.beat()
            span -= 1000.0

    def _line(self, text):
        self.pipe.send(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))
        self.dispatcher.settle()

    def started(self, name):
        """How long ago a worker started, as the policy knows it; None for long ago."""
        self.dispatcher.settle()
        worker = self.dispatcher.exchange.dispatcher._fleet.workers[self.dispatcher.ids.worker(name)]
        return self.dispatcher.now - worker.entry.ready_at if worker.entry.ready_at > 0.0 else None


@pytest.fixture
def machine():
    machine = Machine()
    machine.tell(("old", 0), snapshot=True)
    machine.pass_time(1000.0)
    machine.dispatcher.advance(1000.0)
    return machine


# Clocks.


def test_a_step_moves_no_time_of_the_process(monkeypatch):
    clock = MonotonicClock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 1e9)
    assert 0.0 <= clock() - before < 60_000.0


def test_the_process_reads_the_wall_clock_in_one_place_alone():
    """The rest of the dispatcher converts there, or has no business with Unix time."""
    package = Path(eiderfield.__file__).parent
    parts = [package / name for name in ("net", "connections", "policy")]
    files = [path for part in parts for path in part.rglob("*.py")]
    files += [path for path in package.glob("*.py") if path.name != "tool.py"]
    files += [
        package / "batch" / name
        for name in ("front.py", "messages.py", "registry.py", "remote.py", "replies.py")
    ]
    reads = {path.name for path in files if re.search(r"\btime\.time\b|datetime", path.read_text())}
    assert reads == {"machine.py"}


@steps
def test_times_are_converted_by_what_the_wall_clock_shows_now(step):
    wall = Wall()
    clock = WallClock(lambda: 7000.0, wall)
    assert clock.to_unix(6000.0) == UNIX - 1000.0
    assert clock.from_unix(UNIX - 1000.0) == 6000.0
    wall.step(step)
    assert clock.to_unix(6000.0) == UNIX + step - 1000.0


def test_a_process_that_is_held_up_between_the_two_clocks_reads_them_again():
    times = iter([0.0, 150.0, 150.0, 150.5])
    assert WallClock(lambda: next(times), lambda: 1000.0).offset() == 1000.0 - 150.25


# Slow start.


@steps
def test_a_step_in_the_middle_of_slow_start_changes_nothing_of_it(machine, step):
    since = machine.wall()
    machine.tell(("new", since))
    machine.dispatcher.advance(2000.0)
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    machine.beat()
    machine.tell(("new", since), ("old", 0))
    assert machine.started("new") == 3000.0
    assert machine.started("old") is None


@steps
def test_a_start_after_a_step_is_as_old_as_it_is(machine, step):
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(400.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(400.0)


@steps
def test_a_start_before_a_step_that_is_announced_after_it_is_as_old_as_it_is(machine, step):
    since = machine.wall()
    machine.dispatcher.advance(500.0)
    machine.wall.step(step)
    machine.dispatcher.advance(500.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(1000.0)


@pytest.mark.parametrize("ahead", [SECONDS, HOUR])
def test_an_announced_start_that_lies_ahead_is_now(machine, ahead):
    machine.tell(("new", machine.wall() + ahead))
    assert machine.started("new") == 0.0
    machine.pass_time(COLD)
    machine.tell(("new", machine.wall() + ahead - COLD))
    assert machine.started("new") == COLD, "the same announcement once more"


def test_a_start_that_is_announced_as_new_did_not_happen_an_hour_ago(machine):
    machine.tell(("new", machine.wall() - HOUR), ("old", machine.wall() - HOUR))
    assert machine.started("new") == machine.started("old") == 0.0


def test_a_start_that_is_announced_late_is_as_old_as_it_says(machine):
    """Many dispatchers share a budget by windows from the start: those that hear later must agree on it."""
    machine.tell(("late", machine.wall() - MAX_ANNOUNCEMENT_DELAY_MS))
    assert machine.started("late") == MAX_ANNOUNCEMENT_DELAY_MS


def test_a_start_in_a_silence_of_discovery_is_as_old_as_it_says(machine):
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(7000.0)
    started = machine.dispatcher.table.start_times.started_at(machine.dispatcher.ids.worker("x"), since)
    assert machine.dispatcher.now - started == 7000.0


@pytest.mark.parametrize("age", [0.0, 3000.0, HOUR])
def test_the_first_list_of_a_process_is_believed(age):
    machine = Machine()
    machine.tell(("w", machine.wall() - age), snapshot=True)
    assert machine.started("w") == age


def test_a_fresh_start_by_a_clock_that_is_a_little_ahead_is_no_older_after_a_step_back(machine):
    machine.wall.step(-SECONDS)
    machine.beat()
    machine.tell(("new", machine.wall() + 3.0))
    assert machine.started("new") == 0.0


def test_an_earlier_relation_of_the_clocks_is_forgotten(machine):
    machine.wall.step(SECONDS)
    machine.beat()
    machine.pass_time(MAX_ANNOUNCEMENT_DELAY_MS)
    machine.tell(("new", machine.wall() - 5500.0))
    assert machine.started("new") == 5500.0


@steps
def test_an_instance_of_consul_in_slow_start_stays_so_over_a_step(step):
    wall, consul = Wall(), Consul()
    dispatcher = consul.dispatcher
    wall.runs_with(dispatcher)
    dispatcher.table.start_times = StartTimes(dispatcher.clock, WallClock(dispatcher.clock, wall))
    consul.answer(7, instance("a", 1))
    dispatcher.advance(100.0)
    since = str(wall())
    consul.answer(8, instance("a", 1), instance("b", 2, since_ms=since), instance("c", 3))
    dispatcher.advance(1000.0)
    wall.step(step)
    consul.answer(9, instance("a", 1), instance("b", 2, since_ms=since), instance("c", 3))
    workers = dispatcher.exchange.dispatcher._fleet.workers.values()
    ages = {dispatcher.ids.name(w.entry.worker): dispatcher.now - w.entry.ready_at for w in workers}
    assert ages["n/b"] == pytest.approx(1000.0)
    assert ages["n/c"] == pytest.approx(1000.0)


@pytest.mark.parametrize("off", [-HOUR, HOUR])
def test_an_instance_of_consul_that_is_new_starts_neither_ahead_nor_an_hour_ago(off):
    wall, consul = Wall(), Consul()
    dispatcher = consul.dispatcher
    wall.runs_with(dispatcher)
    dispatcher.table.start_times = StartTimes(dispatcher.clock, WallClock(dispatcher.clock, wall))
    consul.answer(7, instance("a", 1))
    dispatcher.advance(100.0)
    consul.answer(8, instance("a", 1), instance("b", 2, since_ms=str(wall() + off)))
    worker = dispatcher.exchange.dispatcher._fleet.workers[dispatcher.ids.worker("n/b")]
    assert worker.entry.ready_at == dispatcher.now


# Bans.


@steps
def test_a_step_in_the_middle_of_a_ban_hides_no_start(machine, step):
    """The worker is restarted while it is banned, which discovery has not told when the ban is lifted."""
    machine.tell(("w", machine.wall()))
    machine.dispatcher.advance(500.0)
    machine.dispatcher.table.ban("w")
    machine.dispatcher.advance(500.0)
    machine.wall.step(step)
    machine.pass_time(COLD)
    machine.dispatcher.table.unban("w")
    assert machine.started("w") == 0.0
    machine.dispatcher.advance(1000.0)
    machine.tell(("w", machine.wall() - 1500.0))
    assert machine.started("w") == pytest.approx(1500.0), "discovery has told of the start by now"


@steps
def test_a_step_between_two_starts_moves_no_ban_before_a_start(tmp_path, step):
    first = Machine(bans=tmp_path / "bans.json")
    started = first.wall()
    first.tell(("w", started), snapshot=True)
    first.dispatcher.advance(1000.0)
    assert first.dispatcher.table.ban("w")
    stored = json.loads((tmp_path / "bans.json").read_text())
    assert stored == {"banned": {"w": started + 1000.0}}, "the file holds Unix time"
    second = Machine(bans=tmp_path / "bans.json", start=77e9)
    second.wall.step(step)
    second.tell(("w", started), snapshot=True)
    entry = second.dispatcher.exchange.endpoint_states[second.dispatcher.ids.worker("w")]
    assert entry == EndpointState.DRAINING
    second.dispatcher.table.unban("w")
    assert second.started("w") == 0.0


# Waits.


@steps
def test_a_step_amid_waits_and_deadlines_moves_none_of_them(machine, step):
    dispatcher = machine.dispatcher
    machine.tell(("w", 0), snapshot=True)
    client = dispatcher.client(id_="r1", wait=1000)
    end = dispatcher.dials[0].up()
    assert end.take() == ["r1"]
    machine.wall.step(step)
    dispatcher.advance(900.0)
    assert not client.answers()
    assert client.pipe.open
    second = dispatcher.client(id_="r2", wait=1000)
    dispatcher.advance(200.0)
    assert client.answers()[0][0] in (502, 503)
    assert not second.answers()


@steps
def test_a_step_makes_no_watch_silent_and_keeps_none_that_is(machine, step):
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    assert machine.pipe.open
    machine.dispatcher.advance(2000.0)
    assert not machine.pipe.open


# Handover.


class Takeover:
    """Two processes of one machine, whose clocks begin elsewhere, with a step of the wall clock between."""

    def __init__(self, step):
        self.wall = Wall()
        self.old = Side(workers=0, unix=self.wall)
        self.wall.runs_with(self.old.dispatcher)
        self.step = step
        dispatcher = self.old.dispatcher
        self.since = self.wall()
        endpoints = [
            {"name": "slow", "address": "127.0.0.1:1", "status": "SERVING", "since_ms": self.since},
            {"name": "banned", "address": "127.0.0.1:2", "status": "SERVING", "since_ms": self.since},
        ]
        self.list = {"index": 4, "snapshot": True, "endpoints": endpoints}
        dispatcher.table.load(self.list)
        dispatcher.settle()

    def go(self):
        """The wall clock is stepped, and a new process takes over."""
        self.wall.step(self.step)
        self.new = Side(workers=0, unix=self.wall, start=77_000_000.0)
        old_wire, new_wire = Wire(), Wire()
        old_wire.peer, new_wire.peer = new_wire, old_wire
        self.wires = old_wire, new_wire
        self.old.handover.accept(old_wire)
        self.new.handover.take_over(new_wire, self.new.settle)
        self.talk()
        return self

    def talk(self):
        while sum([wire.deliver() for wire in self.wires]):
            self.old.dispatcher.settle()
            self.new.dispatcher.settle()

    def module(self):
        return self.new.dispatcher.exchange.dispatcher

    def age(self, at):
        """How long ago a time of the new process is."""
        return self.new.dispatcher.now - at


@pytest.fixture(params=STEPS)
def takeover(request):
    return Takeover(request.param)


def test_what_the_policy_learnt_keeps_its_age_over_a_step_between_two_starts(takeover):
    """A pacer would have waited an hour, or a worker in slow start have been sent its work twice."""
    old = takeover.old.dispatcher
    old.advance(500.0)
    module = old.exchange.dispatcher
    module._queues.pacers[0].rate, module._queues.pacers[0].next_release_at = 4.0, old.now + 250.0
    module._slow_start.served_rate, module._slow_start.served_rate_at = 0.5, old.now - 100.0
    module._fleet.workers[old.ids.worker("slow")].recent_sends.append((old.now - 30.0, 80.0))
    heir = takeover.go().module()
    assert takeover.age(heir._queues.pacers[0].next_release_at) == pytest.approx(-250.0)
    assert takeover.age(heir._slow_start.served_rate_at) == pytest.approx(100.0)
    assert heir._slow_start.served_rate == 0.5
    [(at, work)] = heir._fleet.workers[old.ids.worker("slow")].recent_sends
    assert takeover.age(at) == pytest.approx(30.0)
    assert work == 80.0


def test_slow_start_goes_on_over_a_step_between_two_starts(takeover):
    takeover.old.dispatcher.advance(3000.0)
    heir = takeover.go().module()
    worker = heir._fleet.workers[takeover.old.dispatcher.ids.worker("slow")]
    assert takeover.age(worker.entry.ready_at) == pytest.approx(3000.0)
    takeover.new.dispatcher.table.load(takeover.list)
    takeover.new.dispatcher.settle()
    assert takeover.age(worker.entry.ready_at) == pytest.approx(3000.0), "discovery's list changes nothing"


def test_a_start_that_is_first_announced_after_the_handover_did_not_happen_an_hour_ago():
    """The process before has heard discovery a moment ago, so that the worker cannot have been there long."""
    takeover = Takeover(HOUR)
    takeover.old.dispatcher.table.start_times.record_source_contact()
    since = takeover.wall()
    takeover.old.dispatcher.advance(500.0)
    new = takeover.go().new.dispatcher
    endpoint = {"name": "new", "address": "127.0.0.1:3", "status": "SERVING", "since_ms": since}
    new.table.load({"index": 5, "snapshot": False, "endpoints": [endpoint]})
    new.settle()
    entry = takeover.module()._fleet.workers[new.ids.worker("new")].entry
    assert entry.ready_at == new.now


def test_a_ban_keeps_its_place_over_a_step_between_two_starts(takeover):
    old = takeover.old.dispatcher
    old.advance(1000.0)
    old.table.ban("banned")
    old.advance(1000.0)
    new = takeover.go().new.dispatcher
    assert takeover.age(new.table.bans.since["banned"]) == pytest.approx(1000.0)
    new.advance(COLD)
    new.table.unban("banned")
    new.settle()
    entry = takeover.module()._fleet.workers[new.ids.worker("banned")].entry
    assert entry.ready_at == new.now, "it may have been restarted meanwhile"


def test_a_lifted_ban_keeps_its_age_over_a_step_between_two_starts(takeover):
    old = takeover.old.dispatcher
    old.advance(1000.0)
    old.table.ban("banned")
    old.advance(500.0)
    old.table.unban("banned")
    old.advance(200.0)
    new = takeover.go().new.dispatcher
    entry = takeover.module()._fleet.workers[new.ids.worker("banned")].entry
    assert takeover.age(entry.ready_at) == pytest.approx(200.0)


def test_a_ban_during_the_handover_is_told_by_its_age(takeover):
    takeover.go()
    takeover.old.dispatcher.table.ban("slow")
    takeover.new.dispatcher.table.ban("banned")
    takeover.talk()
    assert takeover.age(takeover.new.dispatcher.table.bans.since["slow"]) == pytest.approx(0.0)
    since = takeover.old.dispatcher.table.bans.since["banned"]
    assert takeover.old.dispatcher.now - since == pytest.approx(0.0)


class Process:
    """The codec of one process of a machine, whose clock begins at a moment of its own."""

    def __init__(self, wall, now):
        self.now = now
        self.codec = Codec(lambda: self.now, WallClock(lambda: self.now, wall), lambda line: None)


def passed_on(message, step):
    """A message as the next process has it, with a step before it is read, and that process's clock."""
    wall = Wall()
    old, new = Process(wall, 5e6), Process(wall, 9e9)
    sent = json.loads(json.dumps(old.codec.encode(message)))
    wall.step(step)
    return new.codec.decode(sent), new.now


@steps
def test_clients_connections_keep_their_age_over_a_step(step):
    """They would all have been closed at once, or have idled for an hour."""
    batch, now = passed_on(ParkedBatch(LISTEN, (5e6 - 9000.0, 5e6), (), {}), step)
    assert batch.since == pytest.approx((now - 9000.0, now))
    begun, now = passed_on(ConnectionPassed(LISTEN, True, 5e6 - 2000.0, b"POST", {}), step)
    assert begun.since == pytest.approx(now - 2000.0), "its message has 0.8 s left"


@steps
def test_a_time_that_lies_ahead_is_now(step):
    batch, now = passed_on(ParkedBatch(LISTEN, (5e6 + HOUR,), (), {}), step)
    assert batch.since == (now,)


# Processes of 731b84e, whose clocks show Unix time as it was when they started.

STATE_AT = UNIX + 40.0  # what the clock of the recorded process showed


def from_731b84e(step, elapsed=0.0):
    """The recorded state as a process has it that starts after a step, and its codec and clock."""
    now = 9e9
    process = Process(lambda: STATE_AT + elapsed + step, now)
    return process.codec.decode(recorded("731b84e", "state")[0]), process


@steps
def test_a_step_before_the_handover_of_731b84e_makes_nothing_wait(step):
    """It would have held the first class back for an hour."""
    state, process = from_731b84e(step)
    pacer = state.learned.pacers[0]
    assert process.now <= pacer.next_release_at <= process.now + 1000.0 / pacer.rate
    assert state.learned.served_at <= process.now
    assert all(since <= process.now for since in state.bans.values())
    assert all(
        worker.banned_at <= worker.unbanned_at <= process.now for worker in state.table.unbanned_workers
    )


@steps
def test_work_that_731b84e_has_just_sent_to_a_worker_in_slow_start_is_not_sent_again(step):
    state, process = from_731b84e(step)
    [(at, _)] = state.learned.recent_work[0].sent
    assert process.now - at == 30.0


@steps
def test_a_worker_in_slow_start_stays_so_over_a_step_before_the_handover_of_731b84e(step):
    """Its clock is that of its start: it would be taken for warm after a step forward."""
    process = Process(lambda: STATE_AT + step, 9e9)
    table = process.codec.decode(recorded("731b84e", "state")[0]).table
    dispatcher = InMemoryDispatcher(workers=0, unix=lambda: STATE_AT + step, start=process.now)
    dispatcher.table.take_over(table, {})
    dispatcher.settle()
    worker = dispatcher.exchange.dispatcher._fleet.workers[dispatcher.ids.worker("w3")]
    assert process.now - worker.entry.ready_at == 140.0


@pytest.mark.parametrize("step", [-HOUR, -SECONDS])
def test_a_worker_that_started_after_a_step_back_is_not_warm_by_the_clock_of_731b84e(step):
    unix = STATE_AT + step
    message = recorded("731b84e", "state")[0]
    for endpoint in message["table"]["endpoints"]:
        endpoint["since_ms"] = unix - 100.0
    process = Process(lambda: unix, 9e9)
    dispatcher = InMemoryDispatcher(workers=0, unix=lambda: unix, start=process.now)
    dispatcher.table.take_over(process.codec.decode(message).table, {})
    dispatcher.settle()
    worker = dispatcher.exchange.dispatcher._fleet.workers[dispatcher.ids.worker("w3")]
    assert process.now - worker.entry.ready_at == 100.0


def test_the_state_of_731b84e_is_exact_where_no_step_was():
    state, process = from_731b84e(0.0, elapsed=50.0)
    assert state.learned.served_at == process.now - 50.0
    assert state.table.unbanned_workers[0].unbanned_at == process.now - 50.0


@steps
def test_clients_that_731b84e_passes_on_after_a_step_are_neither_closed_nor_kept(step):
    _, process = from_731b84e(step)
    batch = process.codec.decode(recorded("731b84e", "parked")[0])
    idle = {HOUR: 0.0, SECONDS: 1500.0 + SECONDS}.get(step, 1500.0)
    assert process.now - batch.since[0] == idle
    passed = process.codec.decode(recorded("731b84e", "client-begun")[0])
    assert 0.0 <= process.now - passed.since <= 2800.0


@steps
def test_731b84e_is_told_times_that_its_clock_has_passed(step):
    """It starts after the step, so its clock shows what the wall clock shows then."""
    wall = Wall()
    wall.step(step)
    process = Process(wall, 9e9)
    ban = process.codec.encode(BanChanged("w1", process.now - 100.0))
    assert ban["since"] == wall() - 100.0
    parked = process.codec.encode(ParkedBatch(LISTEN, (process.now - 700.0,), (), {}))
    assert parked["since"] == [wall() - 700.0]


@steps
def test_731b84e_is_told_of_starts_as_discovery_announced_them(step):
    """Told otherwise, it would take discovery's next list for a new start of each worker."""
    takeover = Takeover(step)
    takeover.old.dispatcher.advance(500.0)
    takeover.wall.step(step)
    state = takeover.old.dispatcher.table.state()
    assert [endpoint.since_ms for endpoint in state.endpoints] == [takeover.since] * 2


# Peers.


@steps
def test_a_peer_that_starts_again_after_a_step_is_heard(step):
    tier = Tier()
    life = int(UNIX / 10.0) & 0xFFFFFFFF
    tier.say(1, life, 5, b"first")
    tier.read()
    tier.now += LIFE_HOLDS
    tier.say(1, (life + int(step / 10.0)) & 0xFFFFFFFF, 1, b"again")
    tier.read()
    assert [data for _, data in tier.heard] == [b"first", b"again"]


def test_a_message_of_an_earlier_life_counts_no_requests_that_died_with_it():
    tier = Tier()
    tier.say(1, 700, 5, b"later")
    tier.read()
    tier.now += LIFE_HOLDS - 1.0
    tier.say(1, 699, 9, b"earlier")
    tier.read()
    assert [data for _, data in tier.heard] == [b"later"]


def test_lives_are_numbered_by_unix_time_as_peers_of_731b84e_expect():
    tier = Tier()
    tier.port.close()
    port = PeerPort(
        tier.loop,
        tier.addresses[0],
        tier.addresses,
        None,
        0,
        lambda: 5.0,
        None,
        tier.logged.append,
        lambda: UNIX,
    )
    port.open()
    port.tell(1, b"x")
    life = int.from_bytes(tier.ends[1].recv(256)[1:5], "little")
    port.close()
    assert life == int(UNIX / 10.0) & 0xFFFFFFFF


# The batch front.


@steps
def test_the_status_of_a_batch_job_shows_the_time_of_day_and_its_age_is_kept(step):
    wall = Wall()
    dispatcher = InMemoryDispatcher(unix=wall)
    wall.runs_with(dispatcher)
    registry = JobRegistry(
        dispatcher.exchange, dispatcher.clock, "n0", RegistryLimits(100, 10, 60_000.0, 1 << 20)
    )
    listener = Listener(
        BatchFront(registry, None, dispatcher.wall.to_unix), dispatcher.wheel, dispatcher.clock, 50
    )
    client = Client(dispatcher, listener)
    [(_, _, body)] = client.ask("POST", "/v1/jobs", {"jobClass": "safe"})
    job = json.loads(body)["jobId"]
    dispatcher.advance(100.0)
    wall.step(step)
    [(_, _, body)] = client.ask("GET", f"/v1/jobs/{job}")
    assert json.loads(body)["submittedMs"] == int(wall() - 100.0)
    dispatcher.dials[0].up().finish()
    dispatcher.advance(59_000.0)
    assert registry.known == 1
    dispatcher.advance(2_000.0)
    registry.run_job(JobTemplate("safe", subject="x"))
    assert registry.known == 1, "the finished one is forgotten by its age"


def test_names_of_batch_jobs_do_not_return_if_a_clock_shows_the_same_time_again():
    dispatcher = InMemoryDispatcher()
    limits = RegistryLimits(9, 9, 1.0, 99)
    names = {JobRegistry(dispatcher.exchange, dispatcher.clock, "n0", limits)._id_prefix for _ in range(3)}
    assert len(names) == 3
