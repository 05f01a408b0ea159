"""Runs many dispatchers for the simulator.

Reads batches of events from standard input and writes one reply to each to standard output, in the format of
`eiderfield.wire`.
"""

from __future__ import annotations

import logging
import sys
from typing import BinaryIO

from eiderfield.interface import Event
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.settings_text import SettingsError, parse_settings
from eiderfield.wire import HEADER, Create, Decoder, Retire, WireError, encode, encode_fatal, encode_reply

logger = logging.getLogger(__name__)


class Host:
    """The dispatchers of one process, by node number. They share only the decoder."""

    def __init__(self) -> None:
        """Create a host without dispatchers."""
        self._decoder = Decoder()
        self._dispatchers: dict[int, Dispatcher] = {}

    def handle_batch(self, now: float, body: bytes, count: int) -> bytes:
        """Pass the events of a batch to their dispatchers; return the reply frame.

        A dispatcher that fails is removed and reported in the reply; the others continue.

        Args:
            now: The clock of the batch, in ms.
            body: The frame without its header.
            count: The number of records in the frame.

        Raises:
            WireError: The frame is malformed.
        """
        replies: list[bytes] = []
        events_by_node: dict[int, list[Event]] = {}
        for node, record in self._decoder.decode(body, count):
            if isinstance(record, Create | Retire):
                events_by_node.pop(node, None)  # a removed dispatcher does not reply to earlier events
                self._dispatchers.pop(node, None)
                if isinstance(record, Create):
                    replies += self._create(node, record)
            else:
                events_by_node.setdefault(node, []).append(record)
        for node, events in events_by_node.items():
            replies += self._handle_events(node, now, events)
        return encode_reply(replies)

    def _create(self, node: int, record: Create) -> list[bytes]:
        """Create a dispatcher; return the records for the reply: one for a failure, else none."""
        try:
            self._dispatchers[node] = Dispatcher(parse_settings(record.text), record.seed)
        except SettingsError as error:
            return [encode_fatal(node, f"{error}")]
        except Exception as error:
            logger.exception("adapter: dispatcher not created (node=%d)", node)
            return [encode_fatal(node, f"{error}")]
        return []

    def _handle_events(self, node: int, now: float, events: list[Event]) -> list[bytes]:
        """Pass events to a dispatcher; return its actions as records, none if there is no such dispatcher."""
        dispatcher = self._dispatchers.get(node)
        if dispatcher is None:
            return []
        try:
            return [encode(node, action) for action in dispatcher.handle(now, events)]
        except Exception as error:
            logger.exception("adapter: dispatcher failed (node=%d)", node)
            del self._dispatchers[node]
            return [encode_fatal(node, f"{type(error).__name__}: {error}")]


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of the input."""
    data = stream.read(size)
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch of `source` on `sink` until the input ends.

    Raises:
        WireError: A frame is malformed.
    """
    host = Host()
    while header := read_exactly(source, HEADER.size):
        if len(header) < HEADER.size:
            raise WireError(f"frame header is cut short after {len(header)} bytes")
        count, size, now = HEADER.unpack(header)
        if size < HEADER.size:
            raise WireError(f"frame length {size} is less than its header (frame byte 4)")
        body = read_exactly(source, size - HEADER.size)
        if len(body) < size - HEADER.size:
            raise WireError(f"frame of {size} bytes is cut short after {len(body) + HEADER.size}")
        sink.write(host.handle_batch(now, body, count))
        sink.flush()


def main() -> int:
    """Run the adapter; return 0 at the end of input, 1 after reporting a malformed frame in one line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"eiderfield: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
