"""A stand-in worker: it takes jobs at several addresses and answers each after a known time.

python -m eiderfield.lab.worker HOST:PORT... [--delay MS]
"""

from __future__ import annotations

import asyncio

import click

from eiderfield.config.address import parse_address
from eiderfield.lab.wire import Reader, result_bytes

BACKLOG = 1024  # connections that wait at a listener


class WorkerConnection(asyncio.Protocol):
    """A connection to the worker."""

    def __init__(self, delay: float) -> None:
        self._delay = delay / 1000.0
        self._reader = Reader(answers=False)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, to answer on it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers each whole job after the delay."""
        for head in self._reader.feed(data):
            answer = result_bytes(head.get("x-request-id"))
            if self._delay:
                asyncio.get_running_loop().call_later(self._delay, self._answer, answer)
            else:
                self._answer(answer)

    def _answer(self, answer: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer)


async def serve(addresses: list[tuple[str, int]], delay: float) -> None:
    """Serves until it is ended."""
    loop = asyncio.get_running_loop()
    for host, port in addresses:
        await loop.create_server(lambda: WorkerConnection(delay), host, port, backlog=BACKLOG)
    click.echo("ready")
    await asyncio.Event().wait()


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--delay", default=0.0, help="ms from a job's last byte to its answer")
def main(addresses: tuple[str, ...], delay: float) -> None:
    """Runs a stand-in worker."""
    asyncio.run(serve([parse_address(text, "address") for text in addresses], delay))


if __name__ == "__main__":
    main()
