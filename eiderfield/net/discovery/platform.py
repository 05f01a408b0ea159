"""The platform's discovery as a source of workers: a response without end that streams lists of changes."""

from __future__ import annotations

import json

from eiderfield.net.discovery.endpoint_list import parse_received_list
from eiderfield.net.discovery.json_stream import JsonStream
from eiderfield.net.discovery.watch import Watch
from eiderfield.net.http import MalformedMessageError, request_bytes

MAX_LIST_BYTES = 4 * 1024 * 1024  # size of a list of thousands of workers


class PlatformWatch(Watch):
    """A watch of the platform's discovery.

    Attributes:
        needs_snapshot: Whether to request a whole list first. This is required after a change of the source,
            which may number its versions differently; the table is unchanged until that list is received.
    """

    needs_snapshot = False
    _stream: JsonStream  # the response body on the present connection

    def next_request(self) -> bytes:
        """Return a request for the changes after the table's version, or for a whole list."""
        everything = self.needs_snapshot or self.table.index is None
        after = "" if everything else f"&after={self.table.index}"
        host, port = self.address
        return request_bytes("GET", f"/v1/endpoints?watch=1{after}", f"{host}:{port}")

    def connect(self) -> None:
        """Open a connection with a new stream."""
        self._stream = JsonStream(MAX_LIST_BYTES)
        super().connect()

    def on_body(self, data: bytes) -> None:
        """Apply each complete list. Complete lists and empty lines count as heartbeats."""
        for text in self._stream.feed(data):
            if text:
                self.apply_list(parse_received_list(json.loads(text)))
                self.needs_snapshot = False
            self.table.start_times.record_source_contact()
            self.record_heartbeat()
            if text:
                self.report_first_list()

    def on_end(self) -> None:
        """Raise `MalformedMessageError`, since the response has no regular end."""
        raise MalformedMessageError("the watch has ended")
