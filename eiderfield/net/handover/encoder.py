"""Encoder for the messages of a handover.

The wire form is that of revision 731b84e, recorded in `tests/golden/handover`, with five fields added since:
`now` in every message that holds times, `started` in an endpoint, `heard` and `source` in the routing table,
and `names` in the state. Processes of that revision ignore these fields and do not send them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eiderfield.net.handover.learned_state import encode_learned_state
from eiderfield.net.handover.message_kinds import MessageKind
from eiderfield.net.handover.messages import (
    BanChanged,
    ConnectionPassed,
    ConnectionsUnparked,
    DispatcherState,
    ListenersReleased,
    LoadChanged,
    Message,
    ParkedBatch,
    ParkedBatchResult,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.table_state import EndpointRecord, RoutingTableState, SourceState

WireMessage = dict[str, Any]  # the JSON object that `Link` sends


def encode(message: Message, now: float, unix_offset: float) -> WireMessage:
    """Return the wire form of a message.

    Args:
        message: The message, with times on this process's clock.
        now: The current time on this process's clock, in ms.
        unix_offset: Unix time minus this process's clock, in ms; added to all times of the message.
    """
    if type(message) in _TIMED_ENCODERS:
        kind, encode_timed = _TIMED_ENCODERS[type(message)]
        return {"is": kind, **encode_timed(message, unix_offset), "now": now + unix_offset}
    kind, encode_untimed = _ENCODERS[type(message)]
    return {"is": kind, **encode_untimed(message)}


def _encode_takeover_request(message: TakeoverRequest) -> WireMessage:
    return {"form": message.version, "peers": message.with_peers}


def _encode_takeover_delayed(_message: TakeoverDelayed) -> WireMessage:
    return {}


def _encode_takeover_accepted(message: TakeoverAccepted) -> WireMessage:
    return {"doors": list(message.listeners), "parks": message.accepts_parked_batches}


def _encode_listeners_released(message: ListenersReleased) -> WireMessage:
    return {"open": dict(message.connection_counts)}


def _encode_load_changed(message: LoadChanged) -> WireMessage:
    attempts = [[attempts.worker, attempts.count, attempts.work] for attempts in message.attempts]
    return {"ids": dict(message.request_ids), "legs": attempts}


def _encode_parked_batch_result(message: ParkedBatchResult) -> WireMessage:
    return {"door": message.listener, "refused": list(message.refused)}


def _encode_connections_unparked(message: ConnectionsUnparked) -> WireMessage:
    return {"door": message.listener, "keys": list(message.keys)}


def _encode_ban_changed(message: BanChanged, offset: float) -> WireMessage:
    since = None if message.since is None else message.since + offset
    return {"worker": message.worker, "since": since}


def _encode_connection_passed(message: ConnectionPassed, offset: float) -> WireMessage:
    return {
        "door": message.listener,
        "proven": message.proven,
        "since": message.since + offset,
        "begun": message.buffered.decode("latin-1"),
        "open": dict(message.connection_counts),
    }


def _encode_parked_batch(message: ParkedBatch, offset: float) -> WireMessage:
    return {
        "door": message.listener,
        "since": [since + offset for since in message.since],
        "open": dict(message.connection_counts),
        "keys": list(message.keys),
    }


def _encode_dispatcher_state(state: DispatcherState, offset: float) -> WireMessage:
    learned = None if state.learned is None else encode_learned_state(state.learned, offset)
    fields: WireMessage = {
        "doors": list(state.listeners),
        "table": _encode_table(state.table, offset),
        "bans": {"banned": {worker: since + offset for worker, since in state.bans.items()}},
        "ids": list(state.request_ids),
        "memory": learned,
        "legs": [[attempts.worker, attempts.count] for attempts in state.attempts],
    }
    if state.with_peers:
        fields["peers"] = True
    if state.names is not None:
        fields["names"] = {
            "classes": list(state.names.classes),
            "kinds": [[kind, name] for kind, name in state.names.kinds.items()],
        }
    return fields


def _encode_table(table: RoutingTableState, offset: float) -> WireMessage:
    fields: WireMessage = {
        "index": table.index,
        "snapshot": True,
        "endpoints": [_encode_endpoint(endpoint, offset) for endpoint in table.endpoints],
        "cold": [
            [worker.name, worker.banned_at + offset, worker.unbanned_at + offset]
            for worker in table.unbanned_workers
        ],
    }
    if table.source_contact_at is not None:
        fields["heard"] = table.source_contact_at + offset
    if table.source is not None:
        fields["source"] = _encode_source(table.source, offset)
    return fields


def _encode_source(source: SourceState, offset: float) -> WireMessage:
    return {
        "id": source.source,
        "index": source.accepted_index,
        "kept_since": None if source.kept_since is None else source.kept_since + offset,
    }


def _encode_endpoint(endpoint: EndpointRecord, offset: float) -> WireMessage:
    started = None if endpoint.started_at is None else endpoint.started_at + offset
    return {**endpoint.to_platform_form(), "started": started}


_ENCODERS: dict[type, tuple[MessageKind, Callable[[Any], WireMessage]]] = {
    TakeoverRequest: (MessageKind.TAKEOVER_REQUEST, _encode_takeover_request),
    TakeoverDelayed: (MessageKind.TAKEOVER_DELAYED, _encode_takeover_delayed),
    TakeoverAccepted: (MessageKind.TAKEOVER_ACCEPTED, _encode_takeover_accepted),
    ListenersReleased: (MessageKind.LISTENERS_RELEASED, _encode_listeners_released),
    LoadChanged: (MessageKind.LOAD_CHANGED, _encode_load_changed),
    ParkedBatchResult: (MessageKind.PARKED_BATCH_RESULT, _encode_parked_batch_result),
    ConnectionsUnparked: (MessageKind.CONNECTIONS_UNPARKED, _encode_connections_unparked),
}
_TIMED_ENCODERS: dict[type, tuple[MessageKind, Callable[[Any, float], WireMessage]]] = {
    DispatcherState: (MessageKind.DISPATCHER_STATE, _encode_dispatcher_state),
    BanChanged: (MessageKind.BAN_CHANGED, _encode_ban_changed),
    ConnectionPassed: (MessageKind.CONNECTION_PASSED, _encode_connection_passed),
    ParkedBatch: (MessageKind.PARKED_BATCH, _encode_parked_batch),
}
