"""Reads the handover's messages, in the form that `encoder` documents."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderfield.connections.settings import KEEP, WHOLE
from eiderfield.net.clock import WallClock
from eiderfield.net.handover.fields import (
    counts,
    field,
    integer,
    integers,
    mapping,
    number,
    optional_number,
    row,
    sequence,
    text,
    texts,
)
from eiderfield.net.handover.learnt import decode_learnt, times_of_learnt
from eiderfield.net.handover.messages import (
    AttemptsOut,
    BanChanged,
    ConnectionPassed,
    DispatcherState,
    LearntState,
    ListenersReleased,
    LoadChanged,
    MalformedMessageError,
    Message,
    ParkedBatch,
    ParkedBatchTaken,
    ParkedDeparted,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.handover.sender_clock import SenderClock, estimated_clock, exact_clock
from eiderfield.net.table_state import EndpointRecord, RoutingTableState, UnbannedWorker

Fields = Mapping[str, object]


class Decoder:
    """Reads the messages that come over one link."""

    def __init__(self, clock: Callable[[], float], wall: WallClock, log: Callable[[str], None]) -> None:
        """`clock` is the clock that the messages' times are converted to."""
        self._clock = clock
        self._wall = wall
        self._log = log
        self._estimated: SenderClock | None = None  # of a sender that does not say what its clock shows

    def decode(self, fields: Fields) -> Message:
        """Reads a message; raises `MalformedMessageError`."""
        kind = text(field(fields, "is"), "is")
        if kind not in self._DECODERS:
            raise MalformedMessageError(f"{kind[:20]!r} is no message")
        return self._DECODERS[kind](self, fields)

    def _sender_clock(self, fields: Fields, past: Callable[[], list[float]] = list) -> SenderClock:
        """The sender's clock; `past` gives times in the message at which something has happened."""
        now = self._clock()
        if "now" in fields:
            return exact_clock(now, number(fields["now"], "now"))
        if self._estimated is None:
            self._estimated = estimated_clock(now, self._wall.offset(), past())
        known = self._estimated
        return SenderClock(now, known.ahead, known.ahead_at_least, known.exact)

    def _request(self, fields: Fields) -> TakeoverRequest:
        return TakeoverRequest(integer(field(fields, "form"), "form"), fields.get("peers") is True)

    def _delayed(self, fields: Fields) -> TakeoverDelayed:
        return TakeoverDelayed()

    def _state(self, fields: Fields) -> DispatcherState:
        table = mapping(field(fields, "table"), "table")
        bans = mapping(mapping(field(fields, "bans"), "bans").get("banned"), "banned")
        banned = {name: number(since, "banned") for name, since in bans.items()}
        learnt = field(fields, "memory")

        def past() -> list[float]:
            unbanned = [at for each in _unbanned(table) for at in (each.banned, each.unbanned)]
            return [*banned.values(), *unbanned, *_times_of_learnt(learnt)]

        sender = self._sender_clock(fields, past)
        return DispatcherState(
            listeners=texts(field(fields, "doors"), "doors"),
            table=_decode_table(table, sender),
            bans={name: sender.past(since) for name, since in banned.items()},
            request_ids=texts(field(fields, "ids"), "ids"),
            attempts=tuple(_attempts(each, 2) for each in sequence(field(fields, "legs"), "legs")),
            learnt=self._learnt(learnt, sender),
            with_peers=fields.get("peers") is True,
        )

    def _learnt(self, value: object, sender: SenderClock) -> LearntState | None:
        try:
            return decode_learnt(value, sender)
        except MalformedMessageError as error:  # it helps, and nothing depends on it
            self._log(f"what the process before had learnt is not taken: {error}")
            return None

    def _accepted(self, fields: Fields) -> TakeoverAccepted:
        return TakeoverAccepted(texts(field(fields, "doors"), "doors"), fields.get("parks") is True)

    def _released(self, fields: Fields) -> ListenersReleased:
        return ListenersReleased(counts(field(fields, "open"), "open"))

    def _load(self, fields: Fields) -> LoadChanged:
        request_ids = {id_: bool(taken) for id_, taken in mapping(field(fields, "ids"), "ids").items()}
        attempts = tuple(_attempts(each, 3) for each in sequence(field(fields, "legs"), "legs"))
        return LoadChanged(request_ids, attempts)

    def _ban(self, fields: Fields) -> BanChanged:
        since = optional_number(field(fields, "since"), "since")
        if since is not None:
            since = self._sender_clock(fields).past(since)
        return BanChanged(text(field(fields, "worker"), "worker"), since)

    def _passed(self, fields: Fields) -> ConnectionPassed:
        begun = text(field(fields, "begun"), "begun")
        if not begun.isascii() and max(map(ord, begun)) > 255:
            raise MalformedMessageError("begun holds more than bytes")
        since = number(field(fields, "since"), "since")
        return ConnectionPassed(
            listener=text(field(fields, "door"), "door"),
            proven=bool(field(fields, "proven")),
            since=self._sender_clock(fields).within(since, WHOLE if begun else KEEP),
            begun=begun.encode("latin-1"),
            connections=counts(field(fields, "open"), "open"),
        )

    def _parked(self, fields: Fields) -> ParkedBatch:
        sender = self._sender_clock(fields)
        since = [number(each, "since") for each in sequence(field(fields, "since"), "since")]
        keys = integers(field(fields, "keys"), "keys")
        if keys and len(keys) != len(since):
            raise MalformedMessageError("keys are not as many as connections")
        return ParkedBatch(
            listener=text(field(fields, "door"), "door"),
            since=tuple(sender.within(each, KEEP) for each in since),
            keys=keys,
            connections=counts(field(fields, "open"), "open"),
        )

    def _batch_taken(self, fields: Fields) -> ParkedBatchTaken:
        listener = text(field(fields, "door"), "door")
        return ParkedBatchTaken(listener, integers(field(fields, "refused"), "refused"))

    def _departed(self, fields: Fields) -> ParkedDeparted:
        return ParkedDeparted(text(field(fields, "door"), "door"), integers(field(fields, "keys"), "keys"))

    _DECODERS: Mapping[str, Callable[[Decoder, Fields], Message]] = {
        "ask": _request,
        "wait": _delayed,
        "state": _state,
        "taken": _accepted,
        "yours": _released,
        "news": _load,
        "ban": _ban,
        "client": _passed,
        "parked": _parked,
        "got": _batch_taken,
        "departed": _departed,
    }


def _times_of_learnt(value: object) -> list[float]:
    try:
        return times_of_learnt(value)
    except MalformedMessageError:  # which is named when it is read
        return []


def _decode_table(fields: Fields, sender: SenderClock) -> RoutingTableState:
    heard = optional_number(fields.get("heard"), "heard")
    unbanned = [
        UnbannedWorker(each.name, sender.past(each.banned), sender.past(each.unbanned))
        for each in _unbanned(fields)
    ]
    return RoutingTableState(
        index=integer(field(fields, "index"), "index"),
        endpoints=tuple(
            _decode_endpoint(mapping(each, "endpoint"), sender)
            for each in sequence(field(fields, "endpoints"), "endpoints")
        ),
        unbanned=tuple(unbanned),
        source_heard=None if heard is None else sender.past(heard),
        announced_offset=None if sender.exact else sender.ahead_at_least,
    )


def _decode_endpoint(fields: Fields, sender: SenderClock) -> EndpointRecord:
    started = optional_number(fields.get("started"), "started")
    group = field(fields, "group")
    return EndpointRecord(
        name=text(field(fields, "name"), "name"),
        address=text(field(fields, "address"), "address"),
        status=text(field(fields, "status"), "status"),
        zone=text(field(fields, "zone"), "zone"),
        kind=text(field(fields, "type"), "type"),
        group=integer(group, "group") if isinstance(group, int) else text(group, "group"),
        weight=number(field(fields, "weight"), "weight"),
        since_ms=number(field(fields, "since_ms"), "since_ms"),
        started=None if started is None else sender.past(started),
    )


def _unbanned(table: Fields) -> list[UnbannedWorker]:
    """The workers given back, with times as the sender wrote them."""
    found = []
    for each in sequence(field(table, "cold"), "cold"):
        name, banned, unbanned = row(each, 3, "cold")
        worker = UnbannedWorker(text(name, "cold"), number(banned, "cold"), number(unbanned, "cold"))
        found.append(worker)
    return found


def _attempts(value: object, length: int) -> AttemptsOut:
    values = row(value, length, "legs")
    work = number(values[2], "legs") if length > 2 else 0.0
    return AttemptsOut(text(values[0], "legs"), integer(values[1], "legs"), work)
