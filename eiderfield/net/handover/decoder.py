"""Decoder for the messages of a handover. `encoder` documents the wire form."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderfield.connections.settings import IDLE_TIMEOUT_MS, MESSAGE_TIMEOUT_MS
from eiderfield.model.learned_state import LearnedState
from eiderfield.net.clock import WallClock
from eiderfield.net.handover.errors import MalformedMessageError
from eiderfield.net.handover.fields import Fields, integer, number, text
from eiderfield.net.handover.learned_names import LearnedNames
from eiderfield.net.handover.learned_state import decode_learned_state, past_events
from eiderfield.net.handover.message_kinds import MessageKind
from eiderfield.net.handover.messages import (
    BanChanged,
    ConnectionPassed,
    ConnectionsUnparked,
    DispatcherState,
    ListenersReleased,
    LoadChanged,
    Message,
    OpenAttempts,
    ParkedBatch,
    ParkedBatchResult,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.handover.sender_clock import SenderClock, estimated_clock, exact_clock
from eiderfield.net.table_state import EndpointRecord, RoutingTableState, SourceState, UnbannedWorker

MAX_KIND_IN_ERROR = 20  # characters of an unknown message kind that are quoted in an error


class Decoder:
    """Decodes the messages received over one link."""

    def __init__(self, clock: Callable[[], float], wall: WallClock, log: Callable[[str], None]) -> None:
        """Create a decoder that converts the sender's times to times of `clock`."""
        self._clock = clock
        self._wall = wall
        self._log = log
        self._estimated_clock: SenderClock | None = (
            None  # used if the sender does not include its clock reading
        )

    def decode(self, values: Mapping[str, object]) -> Message:
        """Decode a message; raises `MalformedMessageError`."""
        fields = Fields(values)
        kind = fields.text("is")
        if kind not in self._DECODERS:
            raise MalformedMessageError("is", f"is not a known message kind: {kind[:MAX_KIND_IN_ERROR]!r}")
        return self._DECODERS[kind](self, fields)

    def _sender_clock(self, fields: Fields, past_times: Callable[[], list[float]] = list) -> SenderClock:
        """Return the sender's clock when it sent the message.

        Args:
            fields: The message.
            past_times: Returns the times of past events in the message, on the sender's clock. It is called
                only if the sender's clock has to be estimated.
        """
        now = self._clock()
        if "now" in fields:
            return exact_clock(now, fields.number("now"))
        if self._estimated_clock is None:
            self._estimated_clock = estimated_clock(now, self._wall.offset(), past_times())
        estimate = self._estimated_clock
        return SenderClock(now, estimate.offset, estimate.min_offset, estimate.exact)

    def _decode_takeover_request(self, fields: Fields) -> TakeoverRequest:
        return TakeoverRequest(fields.integer("form"), fields.flag("peers"))

    def _decode_takeover_delayed(self, _fields: Fields) -> TakeoverDelayed:
        return TakeoverDelayed()

    def _decode_dispatcher_state(self, fields: Fields) -> DispatcherState:
        table = fields.nested("table")
        bans = {
            worker: number(since, "banned") for worker, since in fields.nested("bans").items("banned").items()
        }
        learned = fields.required("memory")

        def past_times() -> list[float]:
            unbanned = [
                at for worker in _unbanned_workers(table) for at in (worker.banned_at, worker.unbanned_at)
            ]
            return [*bans.values(), *unbanned, *past_events(learned)]

        sender = self._sender_clock(fields, past_times)
        return DispatcherState(
            listeners=fields.texts("doors"),
            table=_decode_table(table, sender),
            bans={worker: sender.convert_past(since) for worker, since in bans.items()},
            request_ids=fields.texts("ids"),
            attempts=tuple(
                OpenAttempts(text(worker, "legs"), integer(count, "legs"))
                for worker, count in fields.rows("legs", 2)
            ),
            learned=self._decode_learned_state(learned, sender),
            with_peers=fields.flag("peers"),
            names=_decode_names(fields.nested("names")) if "names" in fields else None,
        )

    def _decode_learned_state(self, value: object, sender: SenderClock) -> LearnedState | None:
        """Decode the learned state.

        Return None if it is malformed, since the new process can start without learned state.
        """
        try:
            return decode_learned_state(value, sender)
        except MalformedMessageError as error:
            self._log(f"handover: learned state of the old process ignored (error={error})")
            return None

    def _decode_takeover_accepted(self, fields: Fields) -> TakeoverAccepted:
        return TakeoverAccepted(fields.texts("doors"), fields.flag("parks"))

    def _decode_listeners_released(self, fields: Fields) -> ListenersReleased:
        return ListenersReleased(fields.counts("open"))

    def _decode_load_changed(self, fields: Fields) -> LoadChanged:
        return LoadChanged(
            request_ids={id_: bool(taken) for id_, taken in fields.items("ids").items()},
            attempts=tuple(
                OpenAttempts(text(worker, "legs"), integer(count, "legs"), number(work, "legs"))
                for worker, count, work in fields.rows("legs", 3)
            ),
        )

    def _decode_ban_changed(self, fields: Fields) -> BanChanged:
        fields.required("since")
        since = fields.optional_number("since")
        if since is not None:
            since = self._sender_clock(fields).convert_past(since)
        return BanChanged(fields.text("worker"), since)

    def _decode_connection_passed(self, fields: Fields) -> ConnectionPassed:
        buffered = _decode_bytes(fields.text("begun"), "begun")
        max_age = MESSAGE_TIMEOUT_MS if buffered else IDLE_TIMEOUT_MS
        return ConnectionPassed(
            listener=fields.text("door"),
            proven=bool(fields.required("proven")),
            since=self._sender_clock(fields).convert_recent(fields.number("since"), max_age),
            buffered=buffered,
            connection_counts=fields.counts("open"),
        )

    def _decode_parked_batch(self, fields: Fields) -> ParkedBatch:
        sender = self._sender_clock(fields)
        since = fields.numbers("since")
        keys = fields.integers("keys")
        if keys and len(keys) != len(since):
            raise MalformedMessageError("keys", f"has {len(keys)} values for {len(since)} connections")
        return ParkedBatch(
            listener=fields.text("door"),
            since=tuple(sender.convert_recent(at, IDLE_TIMEOUT_MS) for at in since),
            keys=keys,
            connection_counts=fields.counts("open"),
        )

    def _decode_parked_batch_result(self, fields: Fields) -> ParkedBatchResult:
        return ParkedBatchResult(fields.text("door"), fields.integers("refused"))

    def _decode_connections_unparked(self, fields: Fields) -> ConnectionsUnparked:
        return ConnectionsUnparked(fields.text("door"), fields.integers("keys"))

    _DECODERS: Mapping[str, Callable[[Decoder, Fields], Message]] = {
        MessageKind.TAKEOVER_REQUEST: _decode_takeover_request,
        MessageKind.TAKEOVER_DELAYED: _decode_takeover_delayed,
        MessageKind.DISPATCHER_STATE: _decode_dispatcher_state,
        MessageKind.TAKEOVER_ACCEPTED: _decode_takeover_accepted,
        MessageKind.LISTENERS_RELEASED: _decode_listeners_released,
        MessageKind.LOAD_CHANGED: _decode_load_changed,
        MessageKind.BAN_CHANGED: _decode_ban_changed,
        MessageKind.CONNECTION_PASSED: _decode_connection_passed,
        MessageKind.PARKED_BATCH: _decode_parked_batch,
        MessageKind.PARKED_BATCH_RESULT: _decode_parked_batch_result,
        MessageKind.CONNECTIONS_UNPARKED: _decode_connections_unparked,
    }


def _decode_bytes(value: str, name: str) -> bytes:
    """Return the bytes that a string encodes as one character (Latin-1) per byte."""
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        raise MalformedMessageError(name, "has characters outside Latin-1") from None


def _decode_names(fields: Fields) -> LearnedNames:
    kinds = fields.rows("kinds", 2)
    return LearnedNames(
        classes=fields.texts("classes"),
        kinds={integer(kind, "kinds"): text(name, "kinds") for kind, name in kinds},
    )


def _decode_table(fields: Fields, sender: SenderClock) -> RoutingTableState:
    contact_at = fields.optional_number("heard")
    unbanned = [
        UnbannedWorker(
            worker.name, sender.convert_past(worker.banned_at), sender.convert_past(worker.unbanned_at)
        )
        for worker in _unbanned_workers(fields)
    ]
    return RoutingTableState(
        index=fields.integer("index"),
        endpoints=tuple(_decode_endpoint(endpoint, sender) for endpoint in fields.objects("endpoints")),
        unbanned_workers=tuple(unbanned),
        source_contact_at=None if contact_at is None else sender.convert_past(contact_at),
        announced_offset=None if sender.exact else sender.min_offset,
        source=_decode_source(fields.nested("source"), sender) if "source" in fields else None,
    )


def _decode_source(fields: Fields, sender: SenderClock) -> SourceState:
    index, kept_since = fields.required("index"), fields.optional_number("kept_since")
    return SourceState(
        source=fields.text("id"),
        accepted_index=None if index is None else integer(index, "index"),
        kept_since=None if kept_since is None else sender.convert_past(kept_since),
    )


def _decode_endpoint(fields: Fields, sender: SenderClock) -> EndpointRecord:
    started = fields.optional_number("started")
    group = fields.required("group")
    return EndpointRecord(
        name=fields.text("name"),
        address=fields.text("address"),
        status=fields.text("status"),
        zone=fields.text("zone"),
        kind=fields.text("type"),
        group=integer(group, "group") if isinstance(group, int) else text(group, "group"),
        weight=fields.number("weight"),
        since_ms=fields.number("since_ms"),
        started_at=None if started is None else sender.convert_past(started),
    )


def _unbanned_workers(table: Fields) -> list[UnbannedWorker]:
    """Return the workers whose bans were lifted, with times on the sender's clock."""
    return [
        UnbannedWorker(text(name, "cold"), number(banned_at, "cold"), number(unbanned_at, "cold"))
        for name, banned_at, unbanned_at in table.rows("cold", 3)
    ]
