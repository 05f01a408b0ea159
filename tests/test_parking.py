"""Parked connections on real sockets and a loop that is turned by hand; the clock is the desk's."""

import errno
import os
import socket
from dataclasses import replace
from math import inf

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from support.real_sockets import IDLING, LEAST_KEEP, House, Phone, message, play

from eiderfield.connections.idle_connections import EXPIRED_PER_PASS, WOKEN_PER_POLL, IdleConnections
from eiderfield.connections.settings import WHOLE, Idling
from eiderfield.net.clients import ClientConnection, ConnectionHandover
from eiderfield.net.wheel import TICK


@pytest.fixture
def house():
    house = House()
    yield house
    house.close()


def test_a_quiet_connection_is_parked_and_its_next_job_finds_it_as_it_was(house):
    [phone] = house.parked()
    assert phone.open and house.listener.connections == 1
    assert phone.ask("r2") == [200] and house.listener.parked == 0
    house.pass_time(IDLING.park_after + 2 * TICK)
    assert house.listener.parked == 1
    assert phone.ask("r3") == [200]


def test_two_messages_at_once_after_an_hour_are_both_answered():
    house = House(replace(IDLING, keep=7_200_000.0))
    [phone] = house.parked()
    house.pass_time(3_600_000.0)
    phone.send(message("a") + message("b"))
    house.turn()
    house.work()
    house.work()
    assert phone.statuses() == [200, 200]
    house.close()


def test_a_new_connection_and_a_half_read_message_are_never_parked(house):
    silent, half = Phone(house), Phone(house)
    assert half.ask("r1") == [200]
    half.send(b"POST /safe")
    house.turn()
    house.pass_time(WHOLE - 1.0)
    assert not house.listener.parked
    house.pass_time(100.0)
    assert half.statuses() == [408] and not silent.open


def test_a_message_that_begins_at_the_moment_of_parking_is_not_missed(house):
    """The poll set tells levels: what came before the descriptor was in it is told of all the same."""
    phone = Phone(house)
    assert phone.ask("r1") == [200]
    [connection] = house.listener._connections
    phone.send(message("r2"))  # unread, and the timer comes first
    assert not connection.is_idle
    connection._time_is_up()
    assert not house.listener.parked, "something has come: it stays"
    real, connection.__class__ = connection.__class__, type("Deaf", (ClientConnection,), {"is_idle": True})
    connection._time_is_up()  # the same between the look for unread bytes and the parking
    connection.__class__ = real
    assert house.listener.parked == 1
    house.turn()
    house.work()
    assert phone.statuses() == [200] and not house.listener.parked


def test_a_message_that_begins_at_the_moment_of_expiry_is_answered(house):
    [phone] = house.parked()
    phone.send(message("r2"))
    house.desk.now += IDLING.keep + 2000.0
    house.desk.wheel.advance(house.desk.now)  # the timer before the loop could tell of the bytes
    assert house.listener.parked == 1
    house.turn()
    house.work()
    assert phone.statuses() == [200]


def test_what_has_begun_after_waking_has_the_time_of_a_message_and_no_more(house):
    [phone] = house.parked()
    house.pass_time(30_000.0)
    phone.send(b"POST /safe")
    house.turn()
    for _ in range(10):
        house.pass_time(WHOLE / 10 - 1.0)
        phone.send(b"x")
        house.turn()
    assert not phone.statuses() and not house.listener.parked
    house.pass_time(100.0)
    assert phone.statuses() == [408], "a drip extends nothing"


def test_an_idle_connection_ends_after_its_time_parked_or_not(house):
    [phone] = house.parked()
    house.pass_time(IDLING.keep - IDLING.park_after - 100.0)
    assert phone.open
    house.pass_time(1200.0)
    assert not phone.open and not house.listener.connections and house.listener.figures()["expired"] == 1
    assert house.desk.wheel.next_at() == inf, "nothing wakes a program at rest"


def test_half_closed_reset_and_vanished_phones_cost_no_connection(house):
    half, gone, message_and_end = house.parked(3)
    half.sock.shutdown(socket.SHUT_WR)
    gone.sock.close()
    message_and_end.send(b"POST /safe")
    message_and_end.sock.shutdown(socket.SHUT_WR)
    house.turn(1)
    assert house.listener.figures()["left"] == 2 and house.listener.figures()["woken"] == 1
    house.turn()
    assert not house.listener.connections


def test_a_reset_on_tcp_is_closed_where_it_lies():
    house = House()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    house.listener.adopt_connection(theirs, ConnectionHandover(True, house.desk.now))
    house.turn()
    house.pass_time(IDLING.park_after + 2 * TICK)
    assert house.listener.parked == 1
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    house.turn()
    assert house.listener.figures()["left"] == 1 and not house.listener.connections
    house.close()


def test_a_phone_that_never_reads_is_not_parked_with_an_answer_unsent(house):
    """A parked connection has no buffer: what was not written yet would be lost."""
    phone = Phone(house)
    assert phone.ask("r1") == [200]
    [connection] = house.listener._connections
    connection._transport.write(b"x" * 4_000_000)
    assert not house.listener.parking.park(connection)
    house.pass_time(IDLING.park_after * 3)
    assert not house.listener.parked and phone.open


def test_thousands_that_end_in_one_second_end_a_few_in_each_tick():
    house = House(most=1000)
    phones = house.parked(3 * EXPIRED_PER_PASS)
    house.pass_time(house.listener.parking._expiry.tick * TICK - house.desk.now - 1.0)
    left = []
    while house.listener.connections:
        house.desk.now += TICK
        house.desk.wheel.advance(house.desk.now)
        left.append(house.listener.connections)
    assert left[0] >= 2 * EXPIRED_PER_PASS and len(left) <= 5
    assert not any(phone.open for phone in phones)
    house.close()


def test_thousands_that_wake_at_once_wake_a_few_in_each_turn():
    house = House(most=1000)
    phones = house.parked(3 * WOKEN_PER_POLL)
    for number, phone in enumerate(phones):
        phone.send(message(f"w{number}"))
    house.turn(1)
    assert 2 * WOKEN_PER_POLL <= house.listener.parked < 3 * WOKEN_PER_POLL
    house.turn(20)
    for _ in range(10):
        house.work()
        house.pass_time(5 * TICK)
    answers = [phone.statuses() for phone in phones]
    assert all(len(statuses) == 1 for statuses in answers), "none lost: one worker alone declines some"
    house.close()


def test_a_new_idle_time_counts_for_those_that_are_parked(house):
    [phone] = house.parked()
    house.listener.set_idle_limits(replace(IDLING, keep=3000.0))
    house.pass_time(3100.0)
    assert not phone.open
    house.listener.set_idle_limits(replace(IDLING, keep=600_000.0))
    [phone] = house.parked()
    house.pass_time(IDLING.keep * 2)
    assert phone.open


def test_parking_switched_off_keeps_who_is_parked_and_parks_nobody_more(house):
    [phone] = house.parked()
    house.listener.set_idle_limits(replace(IDLING, park_after=inf))
    assert phone.ask("r2") == [200]
    house.pass_time(IDLING.keep / 2)
    assert not house.listener.parked and phone.open


def test_in_a_full_house_the_longest_quiet_gives_way_and_who_has_just_spoken_never_does():
    house = House(most=4)
    first, second = house.parked(2)
    assert second.ask("again") == [200]
    house.pass_time(IDLING.park_after + 2 * TICK)
    first.send(b"P")  # speaks at this very moment
    third, fourth = Phone(house), Phone(house)
    assert third.ask("t") == [200] and fourth.ask("f") == [200]
    assert house.listener.connections == 4
    assert house.listener.make_room() and first.open and not second.open


def test_a_clock_that_jumps_ends_only_whose_time_it_ended_and_runs_on(house):
    """The program's clock is a steady one, so it jumps forward only, as after a machine that slept."""
    phones = house.parked(3)
    assert phones[0].ask("r") == [200] and house.listener.parked == 2
    house.desk.now += IDLING.keep / 2
    house.desk.wheel.advance(house.desk.now)
    house.turn()
    assert phones[1].open
    house.desk.now += 86_400_000.0
    house.pass_time(10 * TICK)
    assert not any(phone.open for phone in phones) and house.desk.wheel.next_at() == inf


def test_waking_needs_no_descriptor(house, monkeypatch):
    """With all of them taken, who is parked must still be served."""
    [phone] = house.parked()

    def none(*args, **more):
        raise OSError(errno.EMFILE, "too many open files")

    for name in ("dup", "open", "pipe"):
        monkeypatch.setattr(os, name, none)
    monkeypatch.setattr(socket.socket, "dup", none)
    before = len(house.listener._connections)
    phone.send(message("r2"))
    house.turn()
    assert len(house.listener._connections) == before + 1
    monkeypatch.undo()
    house.work()
    assert phone.statuses() == [200]


def test_nobody_gives_way_while_nobody_waits():
    """After each newcomer to a full house one more was closed, for whoever might come next."""
    house = House(most=3)
    phones = house.parked(3)
    newcomer = Phone(house)
    house.turn()
    assert sum(phone.open for phone in phones) == 2 and newcomer.ask("n") == [200]
    house.close()


def test_no_room_in_the_poll_set_leaves_the_connection_as_it_was(house, monkeypatch):
    """The kernel bounds the watches of a user: past that, parking fails and nothing else may."""
    phone = Phone(house)
    assert phone.ask("r1") == [200]

    def full(self, fd, since, mark=0):
        raise OSError(28, "no space left on device")

    monkeypatch.setattr(IdleConnections, "park", full)
    house.pass_time(IDLING.park_after * 5)
    house.turn()
    assert not house.listener.parked and phone.ask("r2") == [200]


def test_at_the_end_the_quiet_are_closed_and_who_speaks_is_answered(house):
    quiet, speaks = house.parked(2)
    speaks.send(message("last"))
    house.listener.sending_away = True
    house.listener.close_idle()
    assert not quiet.open and house.listener.connections == 1
    house.turn()
    house.work()
    assert speaks.statuses() == [200]
    house.turn()
    house.listener.close_idle()


def test_parked_connections_pass_on_to_the_next_process_with_what_has_come(house):
    heir = House(loop=house.loop)
    quiet, speaks = house.parked(2)
    speaks.send(message("m"))

    def take(let_go):
        if (let := let_go()) is None:
            return False
        heir.listener.adopt_connection(socket.socket(fileno=let[0]), let[1])
        return True

    house.listener.successor = take
    house.listener.hand_over_some()
    assert not house.listener.connections and heir.listener.connections == 2
    for phone, id_ in ((quiet, "q"), (speaks, None)):
        if id_ is not None:
            phone.send(message(id_))
        heir.turn()
        heir.work()
        assert phone.statuses() == [200]
    heir.listener.close()


def test_a_head_that_passes_on_half_read_keeps_the_time_that_it_has_left(house):
    """It was given the time since the last answer as its start, and an hour later 408 at once."""
    phone = Phone(house)
    assert phone.ask("r1") == [200]
    house.pass_time(900.0)
    phone.send(message("r2")[:20])
    house.turn()
    [connection] = house.listener._connections
    house.desk.now += 30_000.0  # a desk that stood still
    connection._limited_since = house.desk.now - 100.0
    fd, handover = connection.detach()
    heir = House(loop=house.loop)
    heir.desk.now = house.desk.now
    heir.listener.adopt_connection(socket.socket(fileno=fd), handover)
    heir.turn()
    heir.pass_time(WHOLE - 200.0)
    assert phone.open and not phone.statuses()
    phone.send(message("r2")[20:])
    heir.turn()
    heir.work()
    assert phone.statuses() == [200]
    heir.listener.close()


class Crowd(RuleBasedStateMachine):
    """Random phones: each whole message is answered once, in whatever state its connection was; a connection
    ends only when its time has ended or its phone is done."""

    def __init__(self):
        super().__init__()
        self.house = House()
        self.phones = {}  # number -> phone, ids sent and unanswered, bytes begun, time of its last word
        self.count = 0

    def pick(self, data):
        return data.draw(st.sampled_from(sorted(self.phones)))

    @rule()
    def connect(self):
        self.count += 1
        phone = Phone(self.house)
        assert phone.ask(f"c{self.count}") == [200]
        self.phones[self.count] = [phone, 0, b"", self.house.desk.now]

    @precondition(lambda self: self.phones)
    @rule(data=st.data(), cut=st.integers(1, 90), turns=st.integers(0, 3))
    def speak(self, data, cut, turns):
        number = self.pick(data)
        state = self.phones[number]
        if not state[1]:
            self.judge(number)
            if number not in self.phones:
                return
        phone, _, begun, _ = state
        if not begun:
            self.count += 1
            begun = message(f"m{self.count}")
            state[3] = self.house.desk.now
        phone.send(begun[:cut])
        state[2] = begun[cut:]
        if not state[2]:
            state[1] += 1
            state[3] = inf  # until it is answered
        self.house.turn(turns)

    @precondition(lambda self: self.phones)
    @rule(data=st.data())
    def hang_up(self, data):
        phone, *_ = self.phones.pop(self.pick(data))
        phone.sock.close()

    @rule(span=st.sampled_from([1.0, 900.0, 1100.0, 2700.0, 30_000.0, 70_000.0]), turns=st.integers(0, 2))
    def wait(self, span, turns):
        """Time passes, with or without the loop having seen what came before it."""
        self.house.turn(turns)
        self.house.work()
        self.answered()
        self.house.pass_time(span)

    @rule(keep=st.sampled_from([LEAST_KEEP, 60_000.0, 600_000.0]), after=st.sampled_from([10.0, 1000.0, inf]))
    def reload(self, keep, after):
        self.house.listener.set_idle_limits(Idling(keep, after))

    @rule()
    def answered(self):
        self.house.turn()
        self.house.work()
        self.house.work()
        for number in list(self.phones):
            self.judge(number)

    def judge(self, number):
        state = self.phones[number]
        phone, owed, begun, since = state
        statuses = phone.statuses()
        if statuses and statuses[-1] == 408:
            assert begun and self.house.desk.now >= since + WHOLE and statuses == [200] * owed + [408]
            del self.phones[number]
        elif phone.open:
            assert statuses == [200] * owed
            if owed:
                state[1], state[3] = 0, self.house.desk.now
        else:
            assert not owed and not begun, "closed on a message"
            assert self.house.desk.now >= since + LEAST_KEEP, "closed before its time"
            del self.phones[number]

    @invariant()
    def counted(self):
        listener = self.house.listener
        assert listener.connections == len(listener._connections) + listener.parked
        assert sum(self.house.admission._addresses.held) == listener.connections
        assert sum(self.house.admission._addresses.begun) == sum(
            a._message_counted for a in listener._connections
        )

    def teardown(self):
        self.answered()
        for phone, *_ in self.phones.values():
            phone.sock.close()
        self.house.pass_time(10_000.0)
        self.house.turn()
        assert not self.house.listener.connections
        self.house.close()


def test_random_steps_of_a_crowd():
    play(Crowd, 150, 25)
