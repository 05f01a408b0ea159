"""The port for messages between dispatchers, with datagrams on the loopback interface."""

from __future__ import annotations

import json
import socket

import pytest
from support.peers import ENVELOPE, Tier

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import read
from eiderfield.net.peer_filter import ENVELOPE_VERSION, MAX_MESSAGE_BYTES, MAX_MESSAGES_PER_S


@pytest.fixture
def tier():
    tier = Tier()
    yield tier
    tier.close()


def test_send_report_sends_to_one_peer_or_to_all(tier):
    tier.port.send_report(1, b"one")
    tier.port.send_report(-1, b"all")
    tier.port.send_report(7, b"nobody")
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"one"
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"all"
    assert tier.ends[2].recv(300)[ENVELOPE.size :] == b"all"
    assert tier.port.counters["sent"] == 3


def test_send_report_with_message_above_limit_sends_nothing(tier):
    room = MAX_MESSAGE_BYTES - ENVELOPE.size
    tier.port.send_report(1, b"x" * (room + 1))
    tier.port.send_report(1, b"y" * room)
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"y" * room
    assert tier.port.counters["too_long"] == 1


def test_message_of_unknown_sender_is_counted_and_ignored(tier):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
        unknown_sender.sendto(ENVELOPE.pack(ENVELOPE_VERSION, 1, 1) + b"x", tier.addresses[0])
    tier.say(1, 1, 1, b"known")
    tier.read()
    assert tier.heard == [(1, b"known")]
    assert tier.port.counters["strangers"] == 1


def test_duplicated_and_reordered_messages_are_ignored_per_peer(tier):
    for number in (1, 3, 2, 3, 4):
        tier.say(1, 9, number, b"%d" % number)
    tier.say(2, 9, 2, b"other")
    tier.read()
    assert tier.heard == [(1, b"1"), (1, b"3"), (1, b"4"), (2, b"other")]
    assert tier.port.counters["out_of_order"] == 2


def test_sequence_numbers_wrap_around(tier):
    for number in (65534, 65535, 0, 1, 65535):
        tier.say(1, 9, number, b"%d" % number)
    tier.read()
    assert [data for _, data in tier.heard] == [b"65534", b"65535", b"0", b"1"]


def test_message_of_earlier_incarnation_is_ignored(tier):
    tier.say(1, 100, 50, b"old")
    tier.say(1, 101, 1, b"new")
    tier.say(1, 100, 51, b"late")
    tier.read()
    assert [data for _, data in tier.heard] == [b"old", b"new"]
    assert tier.port.counters["earlier_life"] == 1


def test_malformed_messages_and_other_versions_are_ignored(tier):
    tier.say(1, 1, 1, version=ENVELOPE_VERSION + 1)
    tier.ends[1].sendto(b"ab", tier.addresses[0])
    tier.ends[1].sendto(b"z" * (MAX_MESSAGE_BYTES + 50), tier.addresses[0])
    tier.read()
    assert not tier.heard
    assert tier.port.counters["other_form"] == 1
    assert tier.port.counters["malformed"] == 2


def test_messages_above_rate_limit_are_ignored_for_that_peer_alone(tier):
    for number in range(int(MAX_MESSAGES_PER_S) + 100):
        tier.say(1, 1, number & 0xFFFF)
        if number % 32 == 31:
            tier.read()
    tier.say(2, 1, 1, b"calm")
    for _ in range(8):
        tier.read()
    assert tier.port.counters["flood"] == 100
    assert tier.heard[-1] == (2, b"calm")
    tier.now += 1000.0
    tier.say(1, 1, 5000, b"again")
    tier.read()
    assert tier.heard[-1] == (1, b"again")


def test_open_on_port_in_use_is_logged_once(tier):
    second = tier.new()
    second.open()
    second.send_report(1, b"x")
    second.close()
    assert len(tier.logged) == 1
    assert "peer_listen" in tier.logged[0]


def test_port_handed_over_receives_in_next_process(tier):
    tier.now += 1000.0
    next_port = tier.new()
    next_port.open(tier.port.sock.dup())
    tier.port.pause()
    tier.say(1, 1, 1, b"to the next")
    tier.read()
    assert tier.heard == [(1, b"to the next")]
    assert next_port.counters["heard"] == 1
    tier.port.send_report(1, b"not said")
    next_port.send_report(1, b"said")
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"said"
    next_port.close()
    tier.port.resume()
    tier.say(1, 1, 2, b"back")
    tier.read()
    assert tier.heard[-1] == (1, b"back")


SETTINGS = {
    "balancers": 2,
    "classes": [{"name": "a", "value": 1, "goal_time": 1, "give_up": 2, "idempotency": "retryable"}],
    "policy_limits": {"may_tell": True},
}
PLAIN = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": SETTINGS,
    "peer_listen": "127.0.0.1:3",
    "peers": ["127.0.0.1:3", "127.0.0.1:4"],
}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"peers": "127.0.0.1:3"}, "peers"),
        ({"peers": ["127.0.0.1:3", "x"]}, "peers.1"),
        ({"peers": ["127.0.0.1:3"]}, "peers"),
        ({"peers": ["127.0.0.1:3", "127.0.0.1:3"]}, "peers"),
        ({"peer_listen": None}, "peer_listen"),
        ({"peers_all": 5}, "peers_all"),
        ({"settings": {**SETTINGS, "policy_limits": {}}}, "peer_listen"),
    ],
)
def test_read_of_faulty_peers_raises_error_with_key(change, key):
    config = json.loads(json.dumps({**PLAIN, **change}))
    with pytest.raises(ConfigError, match=f"^{key} "):
        read({name: value for name, value in config.items() if value is not None}, {}, strict=True)


def test_read_without_permission_in_settings_ignores_peers():
    assert read(PLAIN, {}).peers.peers == (("127.0.0.1", 3), ("127.0.0.1", 4))
    assert read({**PLAIN, "settings": {**SETTINGS, "policy_limits": {"may_tell": False}}}, {}).peers is None
