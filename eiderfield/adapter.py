"""Hosts many dispatchers on the simulator's wire: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from eiderfield.interface import Event
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.wire import (
    HEADER,
    Create,
    Decoder,
    Retire,
    WireError,
    encode,
    encode_fatal,
    parse_settings,
    reply,
)


class Host:
    """The instances of one process. They share the decoder and nothing else."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._nodes: dict[int, Dispatcher] = {}

    def batch(self, now: float, body: bytes, count: int) -> bytes:
        """Plays one batch and returns the reply frame."""
        out: list[bytes] = []
        waiting: dict[int, list[Event]] = {}
        for node, event in self._decoder.records(body, count):
            if isinstance(event, Create | Retire):
                waiting.pop(node, None)  # a killed node answers nothing any more
                self._nodes.pop(node, None)
                if isinstance(event, Create):
                    try:
                        self._nodes[node] = Dispatcher(parse_settings(event.text), event.seed)
                    except Exception as error:
                        out.append(encode_fatal(node, f"{error}"))
                continue
            waiting.setdefault(node, []).append(event)
        for node, events in waiting.items():
            dispatcher = self._nodes.get(node)
            if dispatcher is None:
                continue
            try:
                out.extend([encode(node, action) for action in dispatcher.handle(now, events)])
            except Exception as error:
                del self._nodes[node]
                out.append(encode_fatal(node, f"{type(error).__name__}: {error}"))
        return reply(out)


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Reads `size` bytes, fewer only at the end of the input."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers every batch until the input ends."""
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
        sink.write(host.batch(now, body, count))
        sink.flush()


def main() -> int:
    """Runs the adapter; 0 at the end of input, 1 with one plain line on a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"eiderfield: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
