"""Handover from and to a process of the first revision with a handover."""

import os
import socket
from typing import ClassVar

from support.handover import LISTEN, Side, Wire, endpoint_state

from eiderfield.interface import EndpointState


class FirstRevision:
    """Messages of the first revision with a handover.

    It supports no peers, parked connections and outlier state, and ignores unknown fields.
    """

    TAKEOVER_REQUEST: ClassVar = {"is": "ask", "form": 1}
    TAKEOVER_ACCEPTED: ClassVar = {"is": "taken", "doors": [LISTEN]}
    DISPATCHER_STATE: ClassVar = {
        "is": "state",
        "doors": [LISTEN],
        "ids": ["held"],
        "legs": [["w1", 2]],
        "table": {
            "index": 7,
            "snapshot": True,
            "cold": [],
            "endpoints": [
                {
                    "name": "w1",
                    "address": "127.0.0.1:9",
                    "status": "SERVING",
                    "zone": "here",
                    "type": "std",
                    "group": 0,
                    "weight": 1.0,
                    "since_ms": 0.0,
                }
            ],
        },
        "bans": {"banned": {"w2": 5.0}},
        "memory": {
            "pacers": [[120.0, None, 0.0, 0.0]],
            "spent": [5.0, 0.1, 1.0],
            "cold": [],
            "keys": [[9, 3]],
            "slots": [[0, 4.0]],
        },
    }
    LISTENERS_RELEASED: ClassVar = {"is": "yours", "open": {LISTEN: 3}}


def test_new_process_takes_over_from_process_of_first_revision():
    new = Side(workers=0)
    wire, here = Wire(), Wire()
    wire.peer = here
    new.handover.take_over(wire, new.settle)
    [(request, _)] = wire.sent
    assert {**request, **FirstRevision.TAKEOVER_REQUEST} == request, (
        "a field of the first revision's request is missing or has changed"
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        classes = len(new.dispatcher.exchange.settings.classes)
        memory = {
            **FirstRevision.DISPATCHER_STATE["memory"],
            "pacers": FirstRevision.DISPATCHER_STATE["memory"]["pacers"] * classes,
        }
        wire.on_message({**FirstRevision.DISPATCHER_STATE, "memory": memory}, [os.dup(listener.fileno())])
        new.dispatcher.settle()
        assert wire.sent[1][0]["is"] == "taken"
        assert wire.sent[1][0]["doors"] == [LISTEN]
        wire.on_message(FirstRevision.LISTENERS_RELEASED, [])
    assert new.done
    assert new.takes()
    assert wire.open
    assert [line for line in new.dispatcher.logged if line.startswith("handover:")] == []
    assert new.dispatcher.listener.held_by_other_process == 3
    assert new.dispatcher.exchange.has_request("held")
    assert endpoint_state(new, 1) == EndpointState.READY
    assert new.dispatcher.table.bans.since == {"w2": 5.0}
    new.dispatcher.listener.acceptor.listening_socket.close()


def test_old_process_hands_over_to_process_of_first_revision():
    old = Side()
    old.dispatcher.listener.adopt(old.loop, socket.create_server(("127.0.0.1", 0)))
    wire, there = Wire(), Wire()
    wire.peer = there
    old.handover.accept(wire)
    wire.on_message(FirstRevision.TAKEOVER_REQUEST, [])
    [(message, descriptors)] = wire.sent
    assert message.keys() >= FirstRevision.DISPATCHER_STATE.keys()
    assert message["memory"].keys() >= FirstRevision.DISPATCHER_STATE["memory"].keys()
    assert len(descriptors) == 1, "the first revision would leak an unknown descriptor"
    os.close(descriptors[0])
    wire.on_message(FirstRevision.TAKEOVER_ACCEPTED, [])
    assert old.handover.handed_over
    assert not old.takes()
    old.dispatcher.client(id_="a")
    old.dispatcher.settle()
    old.dispatcher.advance(8.0)
    assert {message["is"] for message, _ in wire.sent} <= {"state", "yours", "news"}, "unknown kind"
    old.dispatcher.listener.acceptor.listening_socket.close()
