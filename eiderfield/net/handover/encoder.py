"""Writes the handover's messages.

The form is that of revision 731b84e, recorded in `tests/golden/handover`. What has been added since is passed
over by an older process and not missed by a newer one: `now` with every message that holds times, `started`
of an endpoint and `heard` of the table.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eiderfield.net.handover.learnt import encode_learnt
from eiderfield.net.handover.messages import (
    BanChanged,
    ConnectionPassed,
    DispatcherState,
    ListenersReleased,
    LoadChanged,
    Message,
    ParkedBatch,
    ParkedBatchTaken,
    ParkedDeparted,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.table_state import RoutingTableState

WireMessage = dict[str, Any]  # what `Link` carries

TIMED = (BanChanged, ConnectionPassed, DispatcherState, ParkedBatch)  # messages that hold times


def encode(message: Message, now: float, ahead: float) -> WireMessage:
    """The message as it is sent, with its times `ahead` ms of this process's clock, which shows `now`."""
    kind, encoder = _ENCODERS[type(message)]
    fields: WireMessage = {"is": kind, **encoder(message, ahead)}
    if isinstance(message, TIMED):
        fields["now"] = now + ahead
    return fields


def _request(message: TakeoverRequest, ahead: float) -> WireMessage:
    return {"form": message.form, "peers": message.with_peers}


def _delayed(message: TakeoverDelayed, ahead: float) -> WireMessage:
    return {}


def _accepted(message: TakeoverAccepted, ahead: float) -> WireMessage:
    return {"doors": list(message.listeners), "parks": message.takes_parked}


def _released(message: ListenersReleased, ahead: float) -> WireMessage:
    return {"open": dict(message.connections)}


def _load(message: LoadChanged, ahead: float) -> WireMessage:
    attempts = [[each.worker, each.out, each.work] for each in message.attempts]
    return {"ids": dict(message.request_ids), "legs": attempts}


def _ban(message: BanChanged, ahead: float) -> WireMessage:
    since = None if message.since is None else message.since + ahead
    return {"worker": message.worker, "since": since}


def _passed(message: ConnectionPassed, ahead: float) -> WireMessage:
    return {
        "door": message.listener,
        "proven": message.proven,
        "since": message.since + ahead,
        "begun": message.begun.decode("latin-1"),
        "open": dict(message.connections),
    }


def _parked(message: ParkedBatch, ahead: float) -> WireMessage:
    return {
        "door": message.listener,
        "since": [since + ahead for since in message.since],
        "open": dict(message.connections),
        "keys": list(message.keys),
    }


def _batch_taken(message: ParkedBatchTaken, ahead: float) -> WireMessage:
    return {"door": message.listener, "refused": list(message.refused)}


def _departed(message: ParkedDeparted, ahead: float) -> WireMessage:
    return {"door": message.listener, "keys": list(message.keys)}


def _state(state: DispatcherState, ahead: float) -> WireMessage:
    fields: WireMessage = {
        "doors": list(state.listeners),
        "table": _table(state.table, ahead),
        "bans": {"banned": {name: since + ahead for name, since in state.bans.items()}},
        "ids": list(state.request_ids),
        "memory": None if state.learnt is None else encode_learnt(state.learnt, ahead),
        "legs": [[each.worker, each.out] for each in state.attempts],
    }
    if state.with_peers:
        fields["peers"] = True
    return fields


def _table(table: RoutingTableState, ahead: float) -> WireMessage:
    endpoints = [
        {**each.listed(), "started": None if each.started is None else each.started + ahead}
        for each in table.endpoints
    ]
    unbanned = [[each.name, each.banned + ahead, each.unbanned + ahead] for each in table.unbanned]
    fields: WireMessage = {
        "index": table.index,
        "snapshot": True,
        "endpoints": endpoints,
        "cold": unbanned,
    }
    if table.source_heard is not None:
        fields["heard"] = table.source_heard + ahead
    return fields


_ENCODERS: dict[type, tuple[str, Callable[[Any, float], WireMessage]]] = {
    TakeoverRequest: ("ask", _request),
    TakeoverDelayed: ("wait", _delayed),
    DispatcherState: ("state", _state),
    TakeoverAccepted: ("taken", _accepted),
    ListenersReleased: ("yours", _released),
    LoadChanged: ("news", _load),
    BanChanged: ("ban", _ban),
    ConnectionPassed: ("client", _passed),
    ParkedBatch: ("parked", _parked),
    ParkedBatchTaken: ("got", _batch_taken),
    ParkedDeparted: ("departed", _departed),
}
