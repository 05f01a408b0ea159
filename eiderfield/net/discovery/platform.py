"""The platform's discovery as a source of workers: one open response with a line for each change."""

from __future__ import annotations

import json

from eiderfield.net.discovery.json_stream import JsonStream
from eiderfield.net.discovery.watch import MAX_LIST_BYTES, Watch
from eiderfield.net.http import MalformedMessageError, request_bytes


class PlatformWatch(Watch):
    """A watch of the platform's discovery.

    Attributes:
        needs_snapshot: Whether to request a whole list first, since another source may number its versions
            differently. The table stays as it is until that list comes.
    """

    needs_snapshot = False
    _stream: JsonStream  # of the present connection

    def next_request(self) -> bytes:
        """Return the request for the changes after the last version, or for a whole list."""
        everything = self.needs_snapshot or self.table.index is None
        after = "" if everything else f"&after={self.table.index}"
        host, port = self.address
        return request_bytes("GET", f"/v1/endpoints?watch=1{after}", f"{host}:{port}")

    def connect(self) -> None:
        """Open a connection, whose stream begins with a new value."""
        self._stream = JsonStream(MAX_LIST_BYTES)
        super().connect()

    def on_body(self, data: bytes) -> None:
        """Apply each list once it is complete. An empty line is a heartbeat; an incomplete one is none."""
        for text in self._stream.feed(data):
            if text:
                self.table.load(json.loads(text))
                self.needs_snapshot = False
            self.table.start_times.record_source_contact()
            self.record_heartbeat()
            if text:
                self.report_first_list()

    def on_end(self) -> None:
        """Reject the end of the response, which never ends by itself."""
        raise MalformedMessageError("the watch has ended")
