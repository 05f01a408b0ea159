"""Incremental reader of the responses on one connection to a worker. It performs no I/O.

`start` prepares the reader for the next response, `feed` appends received bytes, and `events` yields the
events that these bytes complete:

    Head ──> Update, Update, ... ──> End

Interim responses (status below 200) are skipped. After `ignore_updates` only the end of the response is
yielded. Input that cannot be parsed raises `ValueError` or `RecursionError`.
"""

from __future__ import annotations

from collections.abc import Iterator

from eiderfield.net.http import End, Head, MalformedMessageError, Parser
from eiderfield.net.http.status import FIRST_FINAL
from eiderfield.net.worker_messages import MAX_LINE_BYTES, Update, parse_update

ResponseEvent = Head | Update | End


class ResponseReader:
    """Parses the bytes of responses into events."""

    def __init__(self) -> None:
        """Create a reader. `start` must be called before the first response."""
        self.head: Head | None = None  # of the current response, once it is complete
        self.body = bytearray()  # of the response to a health check, as received so far
        self._parser = Parser(responses=True, max_body=0)
        self._line = bytearray()  # the incomplete last line of a response to an attempt
        self._request_id: str | None = None
        self._keeps_body = False

    @property
    def received_nothing(self) -> bool:
        """Whether no byte of the current response has been received, apart from interim responses."""
        return self.head is None and not self._parser.buffered

    @property
    def held_bytes(self) -> int:
        """The number of bytes of the current response that are held."""
        return self._parser.buffered + len(self._line) + len(self.body)

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the response is complete, no byte follows it, and the worker keeps the connection open."""
        keeps_open = self.head is not None and self.head.keep_alive
        return keeps_open and not self._parser.buffered and self._parser.at_boundary

    def start(self, request_id: str | None) -> None:
        """Prepare for the next response.

        Its body is parsed as a stream of updates of the request `request_id`. If that is None, the body is
        stored in `body`.
        """
        self.head = None
        self.body.clear()
        self._line.clear()
        self._request_id = request_id
        self._keeps_body = request_id is None

    def ignore_updates(self) -> None:
        """Do not yield further updates of the current response, whose outcome is known."""
        self._request_id = None

    def feed(self, data: memoryview) -> None:
        """Append received bytes."""
        self._parser.feed(data)

    def events(self) -> Iterator[ResponseEvent]:
        """Yield the events that the received bytes complete."""
        while (part := self._parser.poll()) is not None:
            if isinstance(part, Head):
                if part.status >= FIRST_FINAL:
                    self.head = part
                    yield part
            elif isinstance(part, bytes):
                if self._request_id is not None:
                    yield from self._complete_updates(part)
                elif self._keeps_body:
                    self._append_body(part)
            elif self.head is not None:
                yield from self._end_events(part)

    def feed_eof(self) -> Iterator[ResponseEvent]:
        """Yield the events that the end of the connection completes; it may be the end of the response."""
        end = self._parser.finish()
        if end is not None:
            yield from self._end_events(end)

    def _complete_updates(self, data: bytes) -> Iterator[Update]:
        self._line += data
        while (length := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[:length])
            del self._line[: length + 1]
            update = self._parse_line(line)
            if update is not None:
                yield update
        if len(self._line) > MAX_LINE_BYTES:
            raise MalformedMessageError("a line is too long")

    def _parse_line(self, line: bytes) -> Update | None:
        if self._request_id is None or not line.strip():
            return None
        return parse_update(line, self._request_id)

    def _append_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_LINE_BYTES:
            raise MalformedMessageError("a load report is too long")

    def _end_events(self, end: End) -> Iterator[ResponseEvent]:
        update = self._parse_line(bytes(self._line))  # the last line may lack its line feed
        self._line.clear()
        if update is not None:
            yield update
        yield end
