"""Clients that go: nothing is sent for them from then on, whatever the dispatcher was doing with them."""

import socket
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE
from support.real_sockets import House, Phone, message

from eiderfield.interface import Due, Send
from eiderfield.net.clients.connection import MESSAGES_PER_TURN, PIPELINED_BYTES
from eiderfield.net.loop import Driver


@pytest.fixture
def house():
    house = House()
    yield house
    house.close()


def driven(house):
    """The house's exchange is given its turns by the driver, on the house's loop."""
    driver = Driver(house.loop, house.desk.clock)
    house.desk.exchange._wake = driver.wake
    driver.turn = house.desk.exchange.turn
    return driver


def test_a_request_whose_client_has_gone_behind_it_is_not_sent(house):
    """Request and close were both in the socket. The poll told of one at a time, and the turn came between:
    the request was written to a worker on an idle connection for somebody who had gone."""
    first = Phone(house)
    assert first.ask("r0") == [200]
    [end] = house.desk.ends
    driven(house)
    for number in range(3):
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        ours.send(message(f"r{number + 1}"))
        ours.close()
        house.listener._socket.waiting.append((theirs, ("192.0.2.1", 1)))
        house.listener._accept()
        house.turn(12)
    assert not house.desk.dials and end.take() == [] and not house.desk.exchange.unanswered
    assert house.listener.figures()["departed"] == 3
    assert first.send(message("r9")) and (house.turn(12) or end.take() == ["r9"]), "who stays is served"


@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
def test_a_client_that_goes_with_much_unread_is_noticed_while_it_is_not_read(house, how):
    """With 16 KiB of further messages waiting the connection was not read, and a connection that is not read
    tells of no close: the job stayed out, and all that waited behind it was sent on for nobody."""
    phone = Phone(house)
    phone.send(message("r0"))
    house.turn()
    [dial] = house.desk.dials
    end = dial.up()
    assert end.take() == ["r0"]
    number = 0
    while phone_takes(phone, message(f"more{number}")) and number < 2 * PIPELINED_BYTES // len(message()):
        number += 1
        house.turn(1)
    [connection] = house.listener._connections
    assert not connection._transport.is_reading()
    if how == "closes":
        phone.sock.close()
    elif how == "ends its sending":
        phone.sock.shutdown(socket.SHUT_WR)
    else:
        phone.sock.shutdown(socket.SHUT_RDWR)
    house.turn()
    assert not end.pipe.open and not house.desk.exchange.unanswered and not house.listener._connections
    house.pass_time(2000.0)
    assert not house.desk.dials and end.came == ["r0"]


def phone_takes(phone, data):
    try:
        phone.send(data)
    except BlockingIOError:
        return False
    return True


def test_who_sends_much_and_stays_is_answered_whole_and_watched_no_more(house):
    phone, count, statuses = Phone(house), 0, []
    while phone_takes(phone, message(f"m{count}")):
        count += 1
        house.turn(count % MESSAGES_PER_TURN == 0)
    assert count * len(message()) > PIPELINED_BYTES
    assert house.listener.departures._watched
    while len(statuses) < count:
        house.work()
        house.pass_time(5.0)
        statuses += phone.statuses()
    assert statuses == [200] * count and phone.open and not house.listener.departures._watched
    phone.sock.close()
    house.turn()
    assert not house.listener._connections


def test_a_client_that_leaves_its_answer_unread_and_goes_is_noticed(house):
    """While its writes stand still it is not read either."""
    phone = Phone(house)
    phone.send(message("r0"))
    house.turn()
    end = house.desk.dials[0].up()
    [connection] = house.listener._connections
    connection.pause_writing()
    phone.sock.close()
    house.turn()
    assert not house.listener._connections and not house.desk.exchange.unanswered and not end.pipe.open


def test_a_departure_says_nothing_of_the_worker_that_had_the_job(house):
    """Its attempt was called off unstarted, and the worker was left alone for 0.4 s as if it had kept the job
    waiting too long: a burst of clients that left took the workers from those that stayed."""
    for number in range(5):
        phone = Phone(house)
        phone.send(message(f"r{number}"))
        house.turn()
        [dial] = house.desk.dials
        assert dial.up().take() == [f"r{number}"]
        phone.sock.close()
        house.turn()
    assert not house.desk.exchange.unanswered
    assert Phone(house).ask("stays") == [200]


def leaves_in_the_turn(house, phone, call):
    """The client closes between the module's decision and the write; its close has not been read."""
    handle = house.desk.exchange._module.handle

    def decide(now, events):
        actions = handle(now, events)
        if any(isinstance(action, call) for action in actions):
            phone.sock.close()
        return actions

    house.desk.exchange._module.handle = decide


def test_a_client_that_leaves_while_a_turn_is_held_up_is_sent_nothing_on_an_idle_connection(house):
    """Between the decision and the write the process may be held up, and the close lies unread meanwhile."""
    first = Phone(house)
    assert first.ask("r0") == [200]
    [end] = house.desk.ends
    phone = Phone(house)
    leaves_in_the_turn(house, phone, Send)
    phone.send(message("r1"))
    house.turn()
    assert end.take() == [] and end.came == ["r0"] and not house.desk.exchange.unanswered
    assert end.pipe.open, "the connection is as good as before"
    del house.desk.exchange._module.handle  # from now on the class's own decides
    assert first.ask("r2") == [200] and end.came == ["r0", "r2"]


@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
def test_a_connection_that_comes_up_in_the_poll_of_the_clients_close_carries_nothing(house, how):
    phone = Phone(house)
    phone.send(message("r0"))
    house.turn()
    [dial] = house.desk.dials
    depart(phone, how)
    end = dial.up()  # before the loop's next turn, in which the close is read
    assert not end.pipe.written
    house.turn()
    assert not house.desk.exchange.unanswered and not house.desk.dials


def depart(phone, how):
    if how == "closes":
        phone.sock.close()
    elif how == "ends its sending":
        phone.sock.shutdown(socket.SHUT_WR)
    else:
        phone.sock.shutdown(socket.SHUT_RDWR)


def until_the_retry(house, phone):
    """A request that its worker handed back unstarted; its retry's timer has just gone off, and the turn that
    this asks for has not come. Gives the worker's end."""
    phone.send(message("r0"))
    house.turn()
    desk = house.desk
    end = desk.dials[0].up()
    end.status(503, X_Not_Run="1")
    [worker] = desk.exchange._module._workers.values()
    while True:
        desk.now = max(desk.now, desk.wheel.next_at())
        desk.wheel.advance(desk.now)
        if desk.now >= worker.full_until and any(isinstance(event, Due) for event in desk.exchange._events):
            break
        desk.settle()
    assert end.pipe.open and desk.exchange.unanswered == 1
    return end


@pytest.mark.parametrize("read", ["in its turn", "after it"])
def test_a_departure_in_the_turn_of_a_retrys_timer_sends_nothing(house, read):
    """The close is read in the turn of the timer, or lies in the socket when the retry is written."""
    phone = Phone(house)
    end = until_the_retry(house, phone)
    phone.sock.close()
    if read == "in its turn":
        house.loop.call_soon(house.loop.stop)
        house.loop.run_forever()
    house.desk.settle()
    assert end.take() == [] and not house.desk.dials
    house.pass_time(1000.0)
    assert end.came == ["r0"] and not house.desk.exchange.unanswered


def test_the_retry_of_a_client_that_stays_is_sent_at_that_moment(house):
    """Or the test before would show nothing."""
    phone = Phone(house)
    end = until_the_retry(house, phone)
    house.desk.settle()
    assert end.take() == ["r0"] and phone.open


def test_a_request_behind_another_is_not_sent_for_a_client_that_has_left_both(house):
    """The first one's answer and the close come in one poll."""
    phone = Phone(house)
    phone.send(message("r0") + message("r1"))
    house.turn()
    end = house.desk.dials[0].up()
    assert end.take() == ["r0"]
    phone.sock.close()
    end.finish()  # before the close is read
    house.turn()
    assert end.take() == [] and end.came == ["r0"] and not house.desk.exchange.unanswered


def test_a_hedged_request_is_not_begun_for_a_client_that_has_left():
    house = House(site=replace(SITE, may_copy=True, progress=100.0), workers=2)
    phone = Phone(house)
    phone.send(message("r0"))
    house.turn()
    first = house.desk.dials[0].up()
    first.take()
    first.say({"id": "r0", "from": "w", "state": "started"})
    while not house.desk.dials:
        house.pass_time(20.0)
    phone.sock.close()
    second = house.desk.dials[0].up()
    assert not second.pipe.written
    house.turn()
    assert not first.pipe.open and not house.desk.exchange.unanswered
    house.close()
