"""The simulator's wire: frames of binary records, and settings as text.

Everything on the wire is little-endian without padding. A fault in a frame raises `WireError` with its place.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from typing import Any

from eiderfield.errors import EiderfieldError
from eiderfield.interface import (
    Action,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Effect,
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
    RequestClass,
    RequestReceived,
    Scope,
    SendPeerReport,
    SetTimer,
    Settings,
    StartAttempt,
    StreamStarted,
    Tenant,
    TimerFired,
    WatchEndpoints,
)

HEADER = struct.Struct("<IId")
REPLY = struct.Struct("<II")
ENTRY = struct.Struct("<IHHHBfd")

# Codes of what the simulator sends, and of what is sent to it.
CREATE, UPDATE, QUERY, FLOWING, ENDED, GONE, DUE, PROBED, PEER, RETIRE, TABLE, NOTE = range(12)
CLOSE_IDLE, CANCEL, LOG, FETCH, WATCH, PROBE, SEND, TIMER, REFUSE, FATAL, TELL, FAIL = range(12)

_MOST_TEXT = 0xFFFF  # bytes of a line of text
_ALL_PEERS = 0xFFFF

_CREATE = struct.Struct("<HQI")
_UPDATE = struct.Struct("<HBQI")
_QUERY = struct.Struct("<HQBHQddffB")
_FLOWING = struct.Struct("<HQHId")
_ENDED = struct.Struct("<HQIHBdHBB")
_GONE = struct.Struct("<HQ")
_DUE = struct.Struct("<HQ")
_PROBED = struct.Struct("<HIHdB")
_PEER = struct.Struct("<HHH")
_RETIRE = struct.Struct("<H")
_TABLE = struct.Struct("<II")
_NOTE = struct.Struct("<HQHIBf")
_LOADS = [struct.Struct(f"<{n}f") for n in range(17)]

# Flags of a query.
_WORK_IS_KNOWN = 1  # the expected work may be relied on
_IS_CLIENT_RETRY = 2

_NODE_ID = struct.Struct("<BHQ")
_CANCEL = struct.Struct("<BHQH")
_SEND = struct.Struct("<BHQId")
_TIMER = struct.Struct("<BHdQ")
_REFUSE = struct.Struct("<BHQd")
_WORKER = struct.Struct("<BHI")
_TELL = struct.Struct("<BHHH")
_TEXT = struct.Struct("<BHH")
_WATCH = struct.Struct("<BHB")
_FETCH = struct.Struct("<BH")

_STATES = {s.value: s for s in EndpointState}
_KINDS = {k.value: k for k in EndpointListKind}
_PROGRESS_KINDS = {k.value: k for k in ProgressKind}


class WireError(EiderfieldError, ValueError):
    """A frame that cannot be understood: what is wrong, and at which byte of it."""


class Create:
    """A node comes up with its seed and its settings text."""

    __slots__ = ("seed", "text")

    def __init__(self, seed: int, text: str) -> None:
        self.seed = seed
        self.text = text


class Retire:
    """A node has been killed."""

    __slots__ = ()


class Decoder:
    """Decodes batches; holds the tables, which the wire sends once for each process."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[Endpoint, ...]] = {}
        self._decoders: dict[int, Callable[[bytes, int], tuple[int, Event | Create | Retire, int]]] = {
            CREATE: self._create,
            UPDATE: self._update,
            QUERY: self._query,
            FLOWING: self._flowing,
            ENDED: self._ended,
            GONE: self._gone,
            DUE: self._due,
            PROBED: self._probed,
            PEER: self._peer_said,
            RETIRE: self._retire,
            NOTE: self._noted,
        }

    def records(self, body: bytes, count: int) -> Iterator[tuple[int, Event | Create | Retire]]:
        """Yields each record with its node, in order. `body` is the frame without its header."""
        at, end = 0, len(body)
        for index in range(count):
            try:
                code = body[at]
                at += 1
                if code == TABLE:
                    number, size = _TABLE.unpack_from(body, at)
                    at += _TABLE.size
                    self._tables[number], at = self._entries(body, at, size)
                    continue
                node, event, at = self._event(code, body, at)
            except (struct.error, IndexError):
                raise WireError(f"record {index} is cut short (frame byte {at + HEADER.size})") from None
            if at > end:
                raise WireError(f"record {index} is cut short (frame byte {end + HEADER.size})")
            yield node, event
        if at != end:
            raise WireError(f"{end - at} bytes left over after the records (frame byte {at + HEADER.size})")

    @staticmethod
    def _entries(body: bytes, at: int, size: int) -> tuple[tuple[Endpoint, ...], int]:
        end = at + size * ENTRY.size
        if end > len(body):
            raise WireError(f"table of {size} entries is cut short (frame byte {at + HEADER.size})")
        entries = []
        for worker, zone, kind, cell, state, weight, ready in ENTRY.iter_unpack(body[at:end]):
            if state not in _STATES:
                raise WireError(f"unknown worker state {state} (frame byte {at + HEADER.size})")
            entries.append(Endpoint(worker, zone, kind, cell, _STATES[state], weight, ready))
        return tuple(entries), end

    def _event(self, code: int, body: bytes, at: int) -> tuple[int, Event | Create | Retire, int]:
        """Decodes the record of a code: its node, what it says, and where the next one begins."""
        decode = self._decoders.get(code)
        if decode is None:
            raise WireError(f"unknown event code {code} (frame byte {at - 1 + HEADER.size})")
        return decode(body, at)

    def _create(self, body: bytes, at: int) -> tuple[int, Create, int]:
        node, seed, size = _CREATE.unpack_from(body, at)
        at += _CREATE.size
        return node, Create(seed, self._bytes(body, at, size).decode("utf-8", "replace")), at + size

    def _retire(self, body: bytes, at: int) -> tuple[int, Retire, int]:
        (node,) = _RETIRE.unpack_from(body, at)
        return node, Retire(), at + _RETIRE.size

    def _update(self, body: bytes, at: int) -> tuple[int, EndpointsUpdated, int]:
        node, how, version, table = _UPDATE.unpack_from(body, at)
        if how not in _KINDS:
            raise WireError(f"unknown list kind {how} (frame byte {at + HEADER.size})")
        entries: tuple[Endpoint, ...] = ()
        if how != EndpointListKind.FAILED:
            if table not in self._tables:
                raise WireError(f"table {table} was never sent (frame byte {at + HEADER.size})")
            entries = self._tables[table]
        return node, EndpointsUpdated(_KINDS[how], version, entries), at + _UPDATE.size

    def _query(self, body: bytes, at: int) -> tuple[int, RequestReceived, int]:
        node, id_, cls, tenant, key, due, work, slots, memory, flags = _QUERY.unpack_from(body, at)
        work = work if flags & _WORK_IS_KNOWN else 0.0
        return (
            node,
            RequestReceived(id_, cls, due, tenant, key, work, slots, memory, bool(flags & _IS_CLIENT_RETRY)),
            at + _QUERY.size,
        )

    def _flowing(self, body: bytes, at: int) -> tuple[int, StreamStarted, int]:
        node, id_, attempt, worker, elapsed = _FLOWING.unpack_from(body, at)
        return node, StreamStarted(id_, attempt, worker, elapsed), at + _FLOWING.size

    def _ended(self, body: bytes, at: int) -> tuple[int, AttemptEnded, int]:
        node, id_, worker, outcome, info, elapsed, attempt, final, figures = _ENDED.unpack_from(body, at)
        load, at = self._load(body, at + _ENDED.size, figures)
        return node, AttemptEnded(id_, attempt, worker, outcome, elapsed, bool(final), info, load), at

    def _gone(self, body: bytes, at: int) -> tuple[int, ClientDisconnected, int]:
        node, id_ = _GONE.unpack_from(body, at)
        return node, ClientDisconnected(id_), at + _GONE.size

    def _due(self, body: bytes, at: int) -> tuple[int, TimerFired, int]:
        node, token = _DUE.unpack_from(body, at)
        return node, TimerFired(token), at + _DUE.size

    def _probed(self, body: bytes, at: int) -> tuple[int, ProbeCompleted, int]:
        node, worker, outcome, elapsed, figures = _PROBED.unpack_from(body, at)
        load, at = self._load(body, at + _PROBED.size, figures)
        return node, ProbeCompleted(worker, outcome, elapsed, load), at

    def _peer_said(self, body: bytes, at: int) -> tuple[int, PeerReportReceived, int]:
        node, origin, size = _PEER.unpack_from(body, at)
        at += _PEER.size
        return node, PeerReportReceived(origin, self._bytes(body, at, size)), at + size

    def _noted(self, body: bytes, at: int) -> tuple[int, AttemptProgressed, int]:
        node, id_, attempt, worker, code, share = _NOTE.unpack_from(body, at)
        kind = _PROGRESS_KINDS.get(code, ProgressKind.UNKNOWN)
        return node, AttemptProgressed(id_, attempt, worker, kind, share), at + _NOTE.size

    @staticmethod
    def _bytes(body: bytes, at: int, size: int) -> bytes:
        if at + size > len(body):
            raise IndexError
        return body[at : at + size]

    @staticmethod
    def _load(body: bytes, at: int, n: int) -> tuple[tuple[float, ...], int]:
        if n == 0:
            return (), at
        shape = _LOADS[n] if n < len(_LOADS) else struct.Struct(f"<{n}f")
        return shape.unpack_from(body, at), at + shape.size


def encode(node: int, action: Action) -> bytes:
    """One action as a record."""
    return _ENCODERS[type(action)](node, action)


def encode_fatal(node: int, text: str) -> bytes:
    """The record by which a node declares that its decisions have failed."""
    return _encode_text(FATAL, node, text)


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body)) + body


def _encode_text(code: int, node: int, text: str) -> bytes:
    data = text.encode("utf-8")[:_MOST_TEXT]
    return _TEXT.pack(code, node, len(data)) + data


def _encode_close_idle(node: int, action: CloseIdleConnections) -> bytes:
    return _WORKER.pack(CLOSE_IDLE, node, action.worker)


def _encode_cancel(node: int, action: CancelAttempt) -> bytes:
    return _CANCEL.pack(CANCEL, node, action.request_id, action.attempt_number)


def _encode_log(node: int, action: LogMessage) -> bytes:
    return _encode_text(LOG, node, action.text)


def _encode_fetch(node: int, action: FetchEndpoints) -> bytes:
    return _FETCH.pack(FETCH, node)


def _encode_watch(node: int, action: WatchEndpoints) -> bytes:
    return _WATCH.pack(WATCH, node, action.enabled)


def _encode_probe(node: int, action: ProbeWorker) -> bytes:
    return _WORKER.pack(PROBE, node, action.worker)


def _encode_send(node: int, action: StartAttempt) -> bytes:
    return _SEND.pack(SEND, node, action.request_id, action.worker, action.timeout_ms)


def _encode_timer(node: int, action: SetTimer) -> bytes:
    return _TIMER.pack(TIMER, node, action.fires_at, action.token)


def _encode_refuse(node: int, action: RejectRequest) -> bytes:
    return _REFUSE.pack(REFUSE, node, action.request_id, action.retry_after_ms)


def _encode_tell(node: int, action: SendPeerReport) -> bytes:
    peer = _ALL_PEERS if action.peer < 0 else action.peer
    return _TELL.pack(TELL, node, peer, len(action.data)) + action.data


def _encode_fail(node: int, action: FailRequest) -> bytes:
    return _NODE_ID.pack(FAIL, node, action.request_id)


_ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    CloseIdleConnections: _encode_close_idle,
    CancelAttempt: _encode_cancel,
    LogMessage: _encode_log,
    FetchEndpoints: _encode_fetch,
    WatchEndpoints: _encode_watch,
    ProbeWorker: _encode_probe,
    StartAttempt: _encode_send,
    SetTimer: _encode_timer,
    RejectRequest: _encode_refuse,
    SendPeerReport: _encode_tell,
    FailRequest: _encode_fail,
}


class _Pairs:
    """Settings text as typed look-ups whose errors name the key."""

    def __init__(self, text: str) -> None:
        self._pairs: dict[str, str] = {}
        for line in text.splitlines():
            path, eq, value = line.partition("=")
            if eq:
                self._pairs[path.strip()] = value.strip()

    def text(self, path: str, default: str | None = None) -> str:
        value = self._pairs.get(path)
        if value is None:
            if default is None:
                raise ValueError(f"setting {path} is missing")
            return default
        return value

    def number(self, path: str, default: float | None = None, low: float = 0.0) -> float:
        raw = self._pairs.get(path)
        if raw is None:
            if default is None:
                raise ValueError(f"setting {path} is missing")
            return default
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"setting {path} is not a number: {raw}") from None
        if not math.isfinite(value) or value < low:
            raise ValueError(f"setting {path} must be at least {low:g}: {raw}")
        return value

    def whole(self, path: str, default: int | None = None, low: int = 0) -> int:
        value = self.number(path, default, low)
        if value != int(value):
            raise ValueError(f"setting {path} is not a whole number: {value}")
        return int(value)

    def flag(self, path: str, default: bool = False) -> bool:
        raw = self._pairs.get(path)
        if raw is None:
            return default
        if raw not in ("true", "false"):
            raise ValueError(f"setting {path} must be true or false: {raw}")
        return raw == "true"

    def words(self, path: str) -> list[str]:
        raw = self._pairs.get(path, "")
        return [word for word in raw.split(",") if word]

    def choice(self, path: str, choices: dict[str, int], default: str | None = None) -> int:
        raw = self.text(path, default)
        if raw not in choices:
            raise ValueError(f"setting {path} must be one of {', '.join(choices)}: {raw}")
        return choices[raw]


_EFFECTS = {"retryable": 0, "dedup": 1, "fragile": 2}
_SCOPES = {"all": 0, "zone": 1, "cell": 2}


def parse_settings(text: str) -> Settings:
    """Settings from `path=value` lines; unknown keys are ignored, wrong ones named in a `ValueError`."""
    pairs = _Pairs(text)
    count = pairs.whole("classes.count", low=1)
    kinds = pairs.words("family_info.class_kind")
    stretches = pairs.words("family_info.class_stretch")
    priorities = pairs.words("family_info.class_priority")
    classes = []
    for n in range(count):
        at = f"classes.{n}."
        stretch = pairs.number(at + "aim_stretch", _nth(stretches, n, "family_info.class_stretch"))
        cls = RequestClass(
            name=pairs.text(at + "name", str(n)),
            priority_weight=pairs.number(at + "value"),
            latency_objective_ms=pairs.number(at + "goal_time"),
            deadline_ms=pairs.number(at + "give_up"),
            effect=Effect(pairs.choice(at + "idempotency", _EFFECTS)),
            scope=Scope(pairs.choice(at + "key_scope", _SCOPES, "all")),
            repeat_window_ms=pairs.number(at + "repeat_window", 0.0),
            late_weight=pairs.number(at + "late_value", 0.0),
            objective_stretch=stretch,
            streamed=pairs.flag(at + "streamed"),
            kind=int(_nth(kinds, n, "family_info.class_kind", -1.0)),
            priority=int(_nth(priorities, n, "family_info.class_priority")),
        )
        if cls.latency_objective_ms > cls.deadline_ms:
            raise ValueError(f"setting {at}goal_time is longer than {at}give_up")
        classes.append(cls)
    tenants = tuple(
        Tenant(
            name=pairs.text(f"projects.{n}.name", str(n)),
            quota_per_s=pairs.number(f"projects.{n}.quota_per_s"),
            share=pairs.number(f"projects.{n}.fraction", 0.0),
        )
        for n in range(pairs.whole("projects.count", 0))
    )
    zones = max(1, len(pairs.words("zones")))
    balancers = pairs.whole("balancers", 1, low=1)
    me = pairs.whole("me", 0)
    if me >= balancers:
        raise ValueError(f"setting me is not below balancers: {me}")
    limits = "policy_limits."
    return Settings(
        classes=tuple(classes),
        tenants=tenants,
        dispatcher_count=balancers,
        dispatcher_index=me,
        zone_index=pairs.whole("locality", 0),
        zone_count=zones,
        clock_resolution_ms=pairs.number("tick", 1.0),
        weight_by_work=bool(pairs.choice("counted_by", {"request": 0, "work": 1}, "request")),
        over_quota_weight=pairs.number("over_share_worth", 1.0),
        subscribes_to_endpoints=bool(
            pairs.choice("discovery", {"automatic": 0, "subscribe": 1}, "automatic")
        ),
        load_report_fields=()
        if pairs.text("load_info.how", "none") == "none"
        else tuple(pairs.words("load_info.columns")),
        workers_report_start=pairs.flag("family_info.tells_start"),
        progress_interval_ms=pairs.number("family_info.progress", 0.0),
        cancellation_allowed=pairs.flag(limits + "cancel"),
        probing_allowed=pairs.flag(limits + "probes"),
        gossip_allowed=pairs.flag(limits + "may_tell"),
        hedging_allowed=pairs.flag(limits + "may_duplicate"),
        retry_advice_allowed=pairs.flag(limits + "retry_after"),
        max_attempts=pairs.whole(limits + "max_attempts", 1, low=1),
        max_open_attempts=pairs.whole(limits + "max_open", 1_000_000, low=1),
        max_retry_after_ms=pairs.number(limits + "max_retry_after", 0.0),
        answer_slack_ms=pairs.number("rules.answer_slack", 0.0),
        drain_grace_ms=pairs.number("rules.drain_grace", 0.0),
        recovery_ramp_multiple=pairs.number("rules.fall_multiple", 1.0),
        recovery_ramp_ms=pairs.number("rules.fall", 1000.0),
        slow_start_window_ms=pairs.number("rules.cold", 0.0),
        slow_start_share=pairs.number("rules.start_capacity", 1.0),
        poll_interval_ms=pairs.number("rules.ask_within", 0.0),
        cross_zone_cost=pairs.number("penalties.cross_zone", 0.0),
    )


def _nth(words: list[str], n: int, path: str, default: float = 0.0) -> float:
    if n >= len(words):
        return default
    try:
        return float(words[n])
    except ValueError:
        raise ValueError(f"setting {path} is not a list of numbers: {words[n]}") from None
