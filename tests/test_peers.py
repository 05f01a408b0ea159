"""The port to the other dispatchers: over real datagrams on loopback, read by hand."""

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


def test_what_is_told_goes_to_one_or_to_all(tier):
    tier.port.send_report(1, b"one")
    tier.port.send_report(-1, b"all")
    tier.port.send_report(7, b"nobody")
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"one"
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"all"
    assert tier.ends[2].recv(300)[ENVELOPE.size :] == b"all"
    assert tier.port.figures["sent"] == 3


def test_nothing_longer_than_the_protocol_allows_leaves(tier):
    room = MAX_MESSAGE_BYTES - ENVELOPE.size
    tier.port.send_report(1, b"x" * (room + 1))
    tier.port.send_report(1, b"y" * room)
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"y" * room
    assert tier.port.figures["too_long"] == 1


def test_strangers_are_not_heard(tier):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(ENVELOPE.pack(ENVELOPE_VERSION, 1, 1) + b"x", tier.addresses[0])
    tier.say(1, 1, 1, b"known")
    tier.read()
    assert tier.heard == [(1, b"known")]
    assert tier.port.figures["strangers"] == 1


def test_repeats_and_what_was_overtaken_are_dropped_by_peer(tier):
    for number in (1, 3, 2, 3, 4):
        tier.say(1, 9, number, b"%d" % number)
    tier.say(2, 9, 2, b"other")
    tier.read()
    assert tier.heard == [(1, b"1"), (1, b"3"), (1, b"4"), (2, b"other")]
    assert tier.port.figures["out_of_order"] == 2


def test_numbers_go_round(tier):
    for number in (65534, 65535, 0, 1, 65535):
        tier.say(1, 9, number, b"%d" % number)
    tier.read()
    assert [data for _, data in tier.heard] == [b"65534", b"65535", b"0", b"1"]


def test_an_earlier_life_of_a_peer_is_not_heard_a_later_one_is(tier):
    tier.say(1, 100, 50, b"old")
    tier.say(1, 101, 1, b"new")
    tier.say(1, 100, 51, b"late")
    tier.read()
    assert [data for _, data in tier.heard] == [b"old", b"new"]
    assert tier.port.figures["earlier_life"] == 1


def test_other_forms_and_stumps_are_no_messages(tier):
    tier.say(1, 1, 1, version=ENVELOPE_VERSION + 1)
    tier.ends[1].sendto(b"ab", tier.addresses[0])
    tier.ends[1].sendto(b"z" * (MAX_MESSAGE_BYTES + 50), tier.addresses[0])
    tier.read()
    assert not tier.heard
    assert tier.port.figures["other_form"] == 1
    assert tier.port.figures["malformed"] == 2


def test_a_peer_that_floods_is_heard_so_often_and_the_others_still_are(tier):
    for number in range(int(MAX_MESSAGES_PER_S) + 100):
        tier.say(1, 1, number & 0xFFFF)
        if number % 32 == 31:
            tier.read()
    tier.say(2, 1, 1, b"calm")
    for _ in range(8):
        tier.read()
    assert tier.port.figures["flood"] == 100
    assert tier.heard[-1] == (2, b"calm")
    tier.now += 1000.0
    tier.say(1, 1, 5000, b"again")
    tier.read()
    assert tier.heard[-1] == (1, b"again")


def test_a_port_that_is_taken_is_named_once_and_served_without(tier):
    second = tier.new()
    second.open()
    second.send_report(1, b"x")
    second.close()
    assert len(tier.logged) == 1
    assert "peer_listen" in tier.logged[0]


def test_the_next_process_goes_on_with_the_port_while_the_one_before_rests(tier):
    tier.now += 1000.0
    following = tier.new()
    following.open(tier.port.sock.dup())
    tier.port.pause()
    tier.say(1, 1, 1, b"to the next")
    tier.read()
    assert tier.heard == [(1, b"to the next")]
    assert following.figures["heard"] == 1
    tier.port.send_report(1, b"not said")
    following.send_report(1, b"said")
    assert tier.ends[1].recv(300)[ENVELOPE.size :] == b"said"
    following.close()
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
def test_faults_of_peers_name_their_key(change, key):
    told = json.loads(json.dumps({**PLAIN, **change}))
    with pytest.raises(ConfigError, match=f"^{key} "):
        read({name: value for name, value in told.items() if value is not None}, {}, strict=True)


def test_peers_are_read_and_heeded_only_where_the_settings_allow_them():
    assert read(PLAIN, {}).peers.peers == (("127.0.0.1", 3), ("127.0.0.1", 4))
    assert read({**PLAIN, "settings": {**SETTINGS, "policy_limits": {"may_tell": False}}}, {}).peers is None
