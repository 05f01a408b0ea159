"""Hosts many dispatchers on the simulator's wire: batches on standard input, replies on standard output."""

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
    """Dispatchers of one process, by node. They share the decoder and nothing else."""

    def __init__(self) -> None:
        """Start without any dispatcher."""
        self._decoder = Decoder()
        self._dispatchers: dict[int, Dispatcher] = {}

    def handle_batch(self, now: float, body: bytes, count: int) -> bytes:
        """Pass the events of a batch to their dispatchers; return the reply frame.

        A failure of one dispatcher is reported in the reply and ends this dispatcher alone.

        Args:
            now: The clock of the batch, in ms.
            body: The frame without its header.
            count: The number of its records.

        Raises:
            WireError: The frame is malformed.
        """
        replies: list[bytes] = []
        events_by_node: dict[int, list[Event]] = {}
        for node, record in self._decoder.decode(body, count):
            if isinstance(record, Create | Retire):
                events_by_node.pop(node, None)  # a node that was killed no longer replies
                self._dispatchers.pop(node, None)
                if isinstance(record, Create):
                    replies += self._create(node, record)
            else:
                events_by_node.setdefault(node, []).append(record)
        for node, events in events_by_node.items():
            replies += self._handle_events(node, now, events)
        return encode_reply(replies)

    def _create(self, node: int, record: Create) -> list[bytes]:
        """Create a dispatcher; return what this adds to the reply."""
        try:
            self._dispatchers[node] = Dispatcher(parse_settings(record.text), record.seed)
        except SettingsError as error:
            return [encode_fatal(node, f"{error}")]
        except Exception as error:
            logger.exception("adapter: dispatcher not created (node=%d)", node)
            return [encode_fatal(node, f"{error}")]
        return []

    def _handle_events(self, node: int, now: float, events: list[Event]) -> list[bytes]:
        """Return the actions of a dispatcher as records, none if there is no such dispatcher."""
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
    """Read `size` bytes, fewer only at the end of the input."""
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
    """Run the adapter; return 0 at the end of input, 1 after one line on a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"eiderfield: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
