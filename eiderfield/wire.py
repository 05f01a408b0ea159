"""Codec of the simulator's wire format. A frame is a header followed by one record per event or action.

All fields are little-endian and unpadded. A record starts with its code (u8) and its node (u16), which is
the number of the dispatcher that receives the event or returned the action. `Decoder` decodes events, and
`encode` encodes actions.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from eiderfield.errors import EiderfieldError
from eiderfield.interface import (
    Action,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PeerReportReceived,
    ProbeCompleted,
    ProbeWorker,
    ProgressKind,
    RejectRequest,
    RequestReceived,
    SendPeerReport,
    SetTimer,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)

HEADER = struct.Struct("<IId")  # of a received frame: number of records, size of the frame in bytes, clock
REPLY_HEADER = struct.Struct("<II")  # of a sent frame: number of records, size of the frame in bytes


class EventCode:
    """Codes of received records. They are plain integers, which `struct` packs faster than enum members."""

    CREATE = 0
    ENDPOINTS_UPDATED = 1
    REQUEST_RECEIVED = 2
    STREAM_STARTED = 3
    ATTEMPT_ENDED = 4
    CLIENT_DISCONNECTED = 5
    TIMER_FIRED = 6
    PROBE_COMPLETED = 7
    PEER_REPORT_RECEIVED = 8
    RETIRE = 9
    ENDPOINT_TABLE = 10
    ATTEMPT_PROGRESSED = 11


class ActionCode:
    """Codes of sent records. They are plain integers, as those of `EventCode`."""

    CLOSE_IDLE_CONNECTIONS = 0
    CANCEL_ATTEMPT = 1
    LOG_MESSAGE = 2
    FETCH_ENDPOINTS = 3
    WATCH_ENDPOINTS = 4
    PROBE_WORKER = 5
    START_ATTEMPT = 6
    SET_TIMER = 7
    REJECT_REQUEST = 8
    FATAL = 9
    SEND_PEER_REPORT = 10
    FAIL_REQUEST = 11


# Layouts of received records without the code, and of an entry of an endpoint table.
_CREATE = struct.Struct("<HQI")
_ENDPOINTS_UPDATED = struct.Struct("<HBQI")
_REQUEST_RECEIVED = struct.Struct("<HQBHQddffB")
_STREAM_STARTED = struct.Struct("<HQHId")
_ATTEMPT_ENDED = struct.Struct("<HQIHBdHBB")
_CLIENT_DISCONNECTED = struct.Struct("<HQ")
_TIMER_FIRED = struct.Struct("<HQ")
_PROBE_COMPLETED = struct.Struct("<HIHdB")
_PEER_REPORT_RECEIVED = struct.Struct("<HHH")
_RETIRE = struct.Struct("<H")
_ENDPOINT_TABLE = struct.Struct("<II")
_ENDPOINT = struct.Struct("<IHHHBfd")
_ATTEMPT_PROGRESSED = struct.Struct("<HQHIBf")
_LOAD_REPORTS = [struct.Struct(f"<{size}f") for size in range(17)]  # by the number of values

# Flags of a received request.
_WORK_IS_KNOWN = 1  # the expected work is valid
_IS_CLIENT_RETRY = 2

# Layouts of sent records with the code.
_NODE = struct.Struct("<BH")
_REQUEST = struct.Struct("<BHQ")
_WORKER = struct.Struct("<BHI")
_TEXT = struct.Struct("<BHH")
_CANCEL_ATTEMPT = struct.Struct("<BHQH")
_START_ATTEMPT = struct.Struct("<BHQId")
_SET_TIMER = struct.Struct("<BHdQ")
_REJECT_REQUEST = struct.Struct("<BHQd")
_SEND_PEER_REPORT = struct.Struct("<BHHH")
_WATCH_ENDPOINTS = struct.Struct("<BHB")

_MAX_TEXT_BYTES = 0xFFFF
_ALL_PEERS = 0xFFFF

_STATES = {state.value: state for state in EndpointState}
_LIST_KINDS = {kind.value: kind for kind in EndpointListKind}
_PROGRESS_KINDS = {kind.value: kind for kind in ProgressKind}


class WireError(EiderfieldError, ValueError):
    """A frame cannot be decoded. The message names the problem and the offset in the frame."""


@dataclass(slots=True)
class Create:
    """Starts a node with a seed for its random numbers and the text of its settings."""

    seed: int
    text: str


@dataclass(slots=True)
class Retire:
    """Removes a node that the simulator has killed."""


Record = Event | Create | Retire


class Decoder:
    """Decodes the records of frames. Stores the endpoint tables, to which later records refer by number."""

    def __init__(self) -> None:
        """Create a decoder without endpoint tables."""
        self._tables: dict[int, tuple[Endpoint, ...]] = {}
        self._decoders: dict[int, Callable[[bytes, int], tuple[int, Record, int]]] = {
            EventCode.CREATE: self._create,
            EventCode.ENDPOINTS_UPDATED: self._endpoints_updated,
            EventCode.REQUEST_RECEIVED: self._request_received,
            EventCode.STREAM_STARTED: self._stream_started,
            EventCode.ATTEMPT_ENDED: self._attempt_ended,
            EventCode.CLIENT_DISCONNECTED: self._client_disconnected,
            EventCode.TIMER_FIRED: self._timer_fired,
            EventCode.PROBE_COMPLETED: self._probe_completed,
            EventCode.PEER_REPORT_RECEIVED: self._peer_report_received,
            EventCode.RETIRE: self._retire,
            EventCode.ATTEMPT_PROGRESSED: self._attempt_progressed,
        }

    def decode(self, body: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield each record with its node, in order.

        Args:
            body: The frame without its header.
            count: The number of records according to the header.

        Raises:
            WireError: The frame is malformed.
        """
        offset, end = 0, len(body)
        for index in range(count):
            try:
                code = body[offset]
                offset += 1
                if code == EventCode.ENDPOINT_TABLE:
                    offset = self._store_table(body, offset)
                    continue
                node, record, offset = self._decode_record(code, body, offset)
            except (struct.error, IndexError):
                raise _error(f"record {index} is cut short", offset) from None
            if offset > end:
                raise _error(f"record {index} is cut short", end)
            yield node, record
        if offset != end:
            raise _error(f"{end - offset} bytes left over after the records", offset)

    def _store_table(self, body: bytes, offset: int) -> int:
        """Store an endpoint table; return the offset of the next record."""
        number, size = _ENDPOINT_TABLE.unpack_from(body, offset)
        offset += _ENDPOINT_TABLE.size
        end: int = offset + size * _ENDPOINT.size
        if end > len(body):
            raise _error(f"table of {size} entries is cut short", offset)
        endpoints = []
        for worker, zone, kind, cell, state, weight, ready_at in _ENDPOINT.iter_unpack(body[offset:end]):
            if state not in _STATES:
                raise _error(f"unknown worker state {state}", offset)
            endpoints.append(Endpoint(worker, zone, kind, cell, _STATES[state], weight, ready_at))
        self._tables[number] = tuple(endpoints)
        return end

    def _decode_record(self, code: int, body: bytes, offset: int) -> tuple[int, Record, int]:
        """Return the node of a record, its decoded content, and the offset of the next record.

        The methods in `_decoders` return the same.
        """
        decode = self._decoders.get(code)
        if decode is None:
            raise _error(f"unknown event code {code}", offset - 1)
        return decode(body, offset)

    def _create(self, body: bytes, offset: int) -> tuple[int, Create, int]:
        node, seed, size = _CREATE.unpack_from(body, offset)
        offset += _CREATE.size
        text = self._read_bytes(body, offset, size).decode("utf-8", "replace")
        return node, Create(seed, text), offset + size

    def _retire(self, body: bytes, offset: int) -> tuple[int, Retire, int]:
        (node,) = _RETIRE.unpack_from(body, offset)
        return node, Retire(), offset + _RETIRE.size

    def _endpoints_updated(self, body: bytes, offset: int) -> tuple[int, EndpointsUpdated, int]:
        node, kind, version, table = _ENDPOINTS_UPDATED.unpack_from(body, offset)
        if kind not in _LIST_KINDS:
            raise _error(f"unknown list kind {kind}", offset)
        endpoints: tuple[Endpoint, ...] = ()
        if kind != EndpointListKind.FAILED:
            if table not in self._tables:
                raise _error(f"table {table} was never sent", offset)
            endpoints = self._tables[table]
        event = EndpointsUpdated(_LIST_KINDS[kind], version, endpoints)
        return node, event, offset + _ENDPOINTS_UPDATED.size

    def _request_received(self, body: bytes, offset: int) -> tuple[int, RequestReceived, int]:
        fields = _REQUEST_RECEIVED.unpack_from(body, offset)
        node, request_id, class_index, tenant_index, key, deadline, work, slots, memory, flags = fields
        event = RequestReceived(
            request_id,
            class_index,
            deadline,
            tenant_index,
            key,
            work if flags & _WORK_IS_KNOWN else 0.0,
            slots,
            memory,
            bool(flags & _IS_CLIENT_RETRY),
        )
        return node, event, offset + _REQUEST_RECEIVED.size

    def _stream_started(self, body: bytes, offset: int) -> tuple[int, StreamStarted, int]:
        node, request_id, attempt_number, worker, elapsed_ms = _STREAM_STARTED.unpack_from(body, offset)
        event = StreamStarted(request_id, attempt_number, worker, elapsed_ms)
        return node, event, offset + _STREAM_STARTED.size

    def _attempt_ended(self, body: bytes, offset: int) -> tuple[int, AttemptEnded, int]:
        fields = _ATTEMPT_ENDED.unpack_from(body, offset)
        node, request_id, worker, outcome, info, elapsed_ms, attempt_number, is_final, size = fields
        load_report, offset = self._read_load_report(body, offset + _ATTEMPT_ENDED.size, size)
        event = AttemptEnded(
            request_id, attempt_number, worker, outcome, elapsed_ms, bool(is_final), info, load_report
        )
        return node, event, offset

    def _client_disconnected(self, body: bytes, offset: int) -> tuple[int, ClientDisconnected, int]:
        node, request_id = _CLIENT_DISCONNECTED.unpack_from(body, offset)
        return node, ClientDisconnected(request_id), offset + _CLIENT_DISCONNECTED.size

    def _timer_fired(self, body: bytes, offset: int) -> tuple[int, TimerFired, int]:
        node, token = _TIMER_FIRED.unpack_from(body, offset)
        return node, TimerFired(token), offset + _TIMER_FIRED.size

    def _probe_completed(self, body: bytes, offset: int) -> tuple[int, ProbeCompleted, int]:
        node, worker, outcome, elapsed_ms, size = _PROBE_COMPLETED.unpack_from(body, offset)
        load_report, offset = self._read_load_report(body, offset + _PROBE_COMPLETED.size, size)
        return node, ProbeCompleted(worker, outcome, elapsed_ms, load_report), offset

    def _peer_report_received(self, body: bytes, offset: int) -> tuple[int, PeerReportReceived, int]:
        node, peer, size = _PEER_REPORT_RECEIVED.unpack_from(body, offset)
        offset += _PEER_REPORT_RECEIVED.size
        return node, PeerReportReceived(peer, self._read_bytes(body, offset, size)), offset + size

    def _attempt_progressed(self, body: bytes, offset: int) -> tuple[int, AttemptProgressed, int]:
        node, request_id, attempt_number, worker, code, share = _ATTEMPT_PROGRESSED.unpack_from(body, offset)
        kind = _PROGRESS_KINDS.get(code, ProgressKind.UNKNOWN)
        event = AttemptProgressed(request_id, attempt_number, worker, kind, share)
        return node, event, offset + _ATTEMPT_PROGRESSED.size

    @staticmethod
    def _read_bytes(body: bytes, offset: int, size: int) -> bytes:
        if offset + size > len(body):
            raise IndexError
        return body[offset : offset + size]

    @staticmethod
    def _read_load_report(body: bytes, offset: int, size: int) -> tuple[tuple[float, ...], int]:
        if size == 0:
            return (), offset
        layout = _LOAD_REPORTS[size] if size < len(_LOAD_REPORTS) else struct.Struct(f"<{size}f")
        return layout.unpack_from(body, offset), offset + layout.size


def _error(problem: str, offset: int) -> WireError:
    """Return an error at an offset in the frame's body. Its message gives the offset in the whole frame."""
    return WireError(f"{problem} (frame byte {offset + HEADER.size})")


def encode(node: int, action: Action) -> bytes:
    """Return an action as a record."""
    return _ENCODERS[type(action)](node, action)


def encode_fatal(node: int, text: str) -> bytes:
    """Return the record that reports that the dispatcher of a node could not be created or has failed."""
    return _encode_text(ActionCode.FATAL, node, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply frame of the records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), REPLY_HEADER.size + len(body)) + body


def _encode_text(code: int, node: int, text: str) -> bytes:
    data = text.encode("utf-8")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, node, len(data)) + data


def _encode_close_idle_connections(node: int, action: CloseIdleConnections) -> bytes:
    return _WORKER.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, node, action.worker)


def _encode_cancel_attempt(node: int, action: CancelAttempt) -> bytes:
    return _CANCEL_ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, node, action.request_id, action.attempt_number)


def _encode_log_message(node: int, action: LogMessage) -> bytes:
    return _encode_text(ActionCode.LOG_MESSAGE, node, action.text)


def _encode_fetch_endpoints(node: int, _action: FetchEndpoints) -> bytes:
    return _NODE.pack(ActionCode.FETCH_ENDPOINTS, node)


def _encode_watch_endpoints(node: int, action: WatchEndpoints) -> bytes:
    return _WATCH_ENDPOINTS.pack(ActionCode.WATCH_ENDPOINTS, node, action.enabled)


def _encode_probe_worker(node: int, action: ProbeWorker) -> bytes:
    return _WORKER.pack(ActionCode.PROBE_WORKER, node, action.worker)


def _encode_start_attempt(node: int, action: StartAttempt) -> bytes:
    return _START_ATTEMPT.pack(
        ActionCode.START_ATTEMPT, node, action.request_id, action.worker, action.timeout_ms
    )


def _encode_set_timer(node: int, action: SetTimer) -> bytes:
    return _SET_TIMER.pack(ActionCode.SET_TIMER, node, action.fires_at, action.token)


def _encode_reject_request(node: int, action: RejectRequest) -> bytes:
    return _REJECT_REQUEST.pack(ActionCode.REJECT_REQUEST, node, action.request_id, action.retry_after_ms)


def _encode_send_peer_report(node: int, action: SendPeerReport) -> bytes:
    peer = _ALL_PEERS if action.peer < 0 else action.peer
    header = _SEND_PEER_REPORT.pack(ActionCode.SEND_PEER_REPORT, node, peer, len(action.data))
    return header + action.data


def _encode_fail_request(node: int, action: FailRequest) -> bytes:
    return _REQUEST.pack(ActionCode.FAIL_REQUEST, node, action.request_id)


_ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    CloseIdleConnections: _encode_close_idle_connections,
    CancelAttempt: _encode_cancel_attempt,
    LogMessage: _encode_log_message,
    FetchEndpoints: _encode_fetch_endpoints,
    WatchEndpoints: _encode_watch_endpoints,
    ProbeWorker: _encode_probe_worker,
    StartAttempt: _encode_start_attempt,
    SetTimer: _encode_set_timer,
    RejectRequest: _encode_reject_request,
    SendPeerReport: _encode_send_peer_report,
    FailRequest: _encode_fail_request,
}
