"""The platform's discovery as a source of workers: one answer that stays open, a line for each change."""

from __future__ import annotations

import json

from eiderfield.net.discovery.json_stream import JsonStream
from eiderfield.net.discovery.watch import MAX_LIST, Watch
from eiderfield.net.http import MalformedMessageError, request_bytes


class PlatformWatch(Watch):
    """A watch of the platform's discovery.

    Another source may count its versions on its own, so that `needs_snapshot` asks for a whole list first;
    the table stands until that has come.
    """

    needs_snapshot = False

    def next_request(self) -> bytes:
        """The request for what has changed since the last version, or for everything."""
        everything = self.needs_snapshot or self.table.index is None
        after = "" if everything else f"&after={self.table.index}"
        host, port = self.address
        return request_bytes("GET", f"/v1/endpoints?watch=1{after}", f"{host}:{port}")

    def connect(self) -> None:
        """Opens a connection, whose stream begins with a new value."""
        self._stream = JsonStream(MAX_LIST)
        super().connect()

    def on_body(self, data: bytes) -> None:
        """Applies each list as it is complete; an empty line is only a sign of life. Bytes alone are none: a
        source that dribbles tells nobody anything."""
        for text in self._stream.feed(data):
            if text:
                self.table.load(json.loads(text))
                self.needs_snapshot = False
            self.table.start_times.record_source_contact()
            self.source_alive()
            if text:
                self.list_applied()

    def on_end(self) -> None:
        """A watch has no end of its own."""
        raise MalformedMessageError("the watch has ended")
