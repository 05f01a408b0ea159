"""The governor at work: who is turned away or ended for slowness; its counts hold at the listener."""

import socket

import pytest
from support.real_sockets import IDLING, House, Phone, message

from eiderfield.connections.settings import WHOLE, Admission, Marks, Pace, Quota
from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.clients.connection import LINGER_TIME
from eiderfield.net.clients.listener import REJECTIONS_AT_ONCE
from eiderfield.net.wheel import TICK


def test_one_address_with_many_is_told_to_come_later_and_the_others_are_served():
    house = House(address=Quota(held=3), retry_after=1500.0)
    greedy = [Phone(house) for _ in range(5)]
    assert [phone.statuses() for phone in greedy] == [[], [], [], [503], [503]]
    assert greedy[4].advice == "1.500"
    assert Phone(house, address="192.0.2.2").ask("honest") == [200]
    house.pass_time(LINGER_TIME + TICK)
    assert not greedy[4].open and house.admission.figures()["address_held"] == 2
    house.close()


def test_a_refusal_reaches_a_client_that_has_sent_its_message_already():
    """Closing on unread input would take the answer back."""
    house = House(address=Quota(held=1))
    first = Phone(house)
    late = Phone.__new__(Phone)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    ours.send(message("r1") * 20)
    Phone.__init__(late, House())  # for its parser
    late.sock = ours
    house.listener._socket.waiting.append((theirs, ("192.0.2.1", 1)))
    house.listener._accept()
    house.turn()
    assert late.statuses() == [503] and first.open
    house.close()


def test_a_flood_is_closed_without_a_word_and_few_at_a_time_are_told():
    house = House(most=1000, address=Quota(held=1))
    flood = [Phone(house)]
    flood += [Phone(house) for _ in range(REJECTIONS_AT_ONCE + 10)]
    told = [phone.statuses() for phone in flood]
    assert told.count([503]) == REJECTIONS_AT_ONCE and told.count([]) == 11
    house.close()
    house = House(most=1000, address=Quota(rate=1.0, burst=2.0))
    assert [phone.open for phone in [Phone(house) for _ in range(5)]] == [True, True, False, False, False]
    house.close()


def test_parked_connections_count_for_their_address_until_they_end():
    house = House(address=Quota(held=2))
    phones = house.parked(2)
    assert Phone(house).statuses() == [503]
    phones[0].sock.close()
    house.turn()
    another = Phone(house)
    assert another.ask("again") == [200]
    assert phones[1].ask("woken") == [200]
    house.pass_time(LINGER_TIME + TICK)
    assert Phone(house).statuses() == [503]
    house.pass_time(IDLING.keep + 2000.0)
    assert not house.listener.connections
    assert Phone(house).ask("later") == [200]
    house.close()


def test_half_sent_messages_beyond_the_limit_are_refused_and_whole_ones_are_not():
    house = House(address=Quota(begun=2))
    slow = [Phone(house).send(b"POST /safe") for _ in range(3)]
    house.turn()
    assert [phone.statuses() for phone in slow] == [[], [], [503]]
    assert Phone(house).ask("whole") == [200]
    slow[0].send(message("s")[10:])
    house.turn()
    house.work()
    assert slow[0].statuses() == [200]
    another = Phone(house).send(b"P")
    house.turn()
    assert not another.statuses() and house.admission.figures()["address_begun"] == 1
    house.close()


def test_hundreds_that_drip_just_inside_the_limits_are_all_ended_at_the_same_time():
    house = House(most=1000, pace=Pace(head=2000.0))
    drips = [Phone(house) for _ in range(200)]
    for step in range(19):
        for phone in drips:
            phone.send(message("x")[step : step + 1])
        house.turn(2)
        house.pass_time(100.0)
    assert all(phone.open for phone in drips) and Phone(house).ask("honest") == [200]
    house.pass_time(150.0)
    house.turn(30)
    assert [phone.statuses() for phone in drips] == [[408]] * 200
    assert house.admission.figures()["slow_head"] == 200
    house.close()


@pytest.mark.parametrize(("gap", "answer"), [(10.0, 200), (200.0, 408)])
def test_a_body_must_flow_at_its_least_rate(gap, answer):
    house = House(pace=Pace(body_rate=50.0, body_grace=500.0))
    phone = Phone(house)
    head = message("r1").replace(b"Length: 1", b"Length: 100").removesuffix(b"b")
    phone.send(head)
    house.turn()
    for _ in range(100):
        if phone.open:
            try:
                phone.send(b"x")
            except OSError:
                break
        house.turn(2)
        house.pass_time(gap)
        if house.listener.clock() > 1_000_000.0 + WHOLE:
            break
    house.work()
    assert phone.statuses() == [answer]
    assert house.admission.figures()["slow_body"] == (answer == 408)
    house.close()


def test_new_limits_count_for_messages_that_have_begun():
    house = House()
    phone = Phone(house).send(b"POST /safe")
    house.turn()
    house.pass_time(1000.0)
    house.listener.set_admission(Admission(pace=Pace(head=1500.0)))
    house.pass_time(490.0)
    assert not phone.statuses()
    house.pass_time(20.0)
    assert phone.statuses() == [408]
    house.close()


def test_a_crowded_house_lets_parked_ones_idle_for_less_time():
    house = House(most=10, descriptors=Marks(0.5, 0.3), keep_crowded=5000.0, hold=100.0)
    parked = house.parked(2)
    more = [Phone(house) for _ in range(4)]
    house.pass_time(200.0)
    more.append(Phone(house))
    assert house.admission.overloaded
    house.pass_time(5000.0)
    assert not any(phone.open for phone in parked)
    house.close()


def test_short_memory_keeps_the_house_as_it_is_and_a_newcomer_takes_a_place():
    house = House(most=60)
    quiet = house.parked(20)
    house.memory = 0.97
    house.pass_time(200.0)
    newcomer = Phone(house)
    assert house.admission.capacity == 20 and house.listener.connections == 20
    assert newcomer.ask("n") == [200]
    assert sum(phone.open for phone in quiet) == 19
    house.memory = 0.5
    house.pass_time(2500.0)
    another = Phone(house)
    assert house.admission.capacity == 60 and another.open
    house.close()


def test_an_address_that_cannot_be_asked_for_any_more_is_no_reason_to_drop_a_connection():
    house = House()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    house.listener.adopt_connection(theirs, ConnectionHandover(True, house.desk.now))
    house.turn()
    house.close()
