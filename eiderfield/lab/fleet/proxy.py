"""A TCP proxy with a listener for each link between two processes, so that each link can fail by itself.

    python -m eiderfield.lab.fleet.proxy        reads commands as JSON lines

A link has a listener and a target. For each connection that the listener accepts, the proxy opens one to the
target, and a pump for each direction copies the bytes. A pump checks the faults of its link before it
forwards data:

    cut     data is read and discarded: data in flight is lost when a machine vanishes, and TCP would
            retransmit the rest only after the end of the run
    delay   data is forwarded later and in order
    drip    data is forwarded a few bytes at a time

Limits of the simulation: a connection attempt over a cut link succeeds, because the kernel accepts it, and
then stalls; the loss of single packets is not simulated, as TCP hides it.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

from eiderfield.config.address import parse_address
from eiderfield.lab.fleet.commands import (
    LISTENING,
    READY,
    Command,
    OpenLinks,
    SetLinkFault,
    announce,
    serve_commands,
)

READ_SIZE = 65536
TICK_S = 0.02  # between two writes of a dripping link
BACKLOG = 512  # connections that wait to be accepted by a link
QUEUE_LENGTH = 1024  # reads that a pump buffers for each direction of a connection


class Link:
    """A link, its faults and its open connections."""

    def __init__(self, name: str, target: tuple[str, int]) -> None:
        self.name = name
        self.target = target
        self.is_cut = {"there": False, "back": False}
        self.delay = 0.0  # s
        self.drip = 0.0  # bytes per second; 0 is unlimited
        self.writers: set[asyncio.StreamWriter] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward a connection until both directions have ended."""
        self.writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            try:
                target_reader, target_writer = await asyncio.open_connection(*self.target)
            except OSError:
                _reset(writer)  # as the kernel of the target would refuse the connection
                return
            self.writers.add(target_writer)
            await asyncio.gather(
                self._pump(reader, target_writer, "there"), self._pump(target_reader, writer, "back")
            )
        finally:
            for end_writer in (writer, target_writer):
                if end_writer is not None:
                    self.writers.discard(end_writer)
                    end_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_LENGTH)
        sender = asyncio.create_task(self._send(queue, writer, direction))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(READ_SIZE):
                await queue.put((loop.time() + self.delay, data))
            await queue.put((loop.time() + self.delay, b""))
        except OSError:
            sender.cancel()
            _reset(writer)
        with suppress(asyncio.CancelledError, OSError, RuntimeError):  # RuntimeError: write after write_eof()
            await sender

    async def _send(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter, direction: str
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            send_at, data = await queue.get()
            if send_at > loop.time():
                await asyncio.sleep(send_at - loop.time())
            if not data:
                await self._send_end(writer, direction)
                return
            if not self.is_cut[direction]:
                await self._send_data(writer, data)

    async def _send_data(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        while self.drip and len(data) > (step := max(1, int(self.drip * TICK_S))):
            writer.write(data[:step])
            data = data[step:]
            await asyncio.sleep(TICK_S)
        writer.write(data)
        await writer.drain()

    async def _send_end(self, writer: asyncio.StreamWriter, direction: str) -> None:
        while self.is_cut[direction]:  # the end of file is forwarded once the link is no longer cut
            await asyncio.sleep(TICK_S)
        if writer.can_write_eof():
            writer.write_eof()

    def set_fault(self, command: SetLinkFault) -> None:
        """Start or end a fault of the link."""
        match command.fault:
            case "cut":
                for direction in self.is_cut:
                    self.is_cut[direction] = command.active and command.direction in (direction, "both")
            case "delay":
                self.delay = command.value / 1000.0 if command.active else 0.0
            case "drip":
                self.drip = command.value if command.active else 0.0
            case "reset":
                self.reset()
            case "half":
                self.close_half()

    def reset(self) -> None:
        """Reset every connection on both sides."""
        for writer in list(self.writers):
            _reset(writer)

    def close_half(self) -> None:
        """Send an end of file to both sides of every connection, which remain open for reading."""
        for writer in list(self.writers):
            with suppress(OSError, RuntimeError):
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Proxy:
    """The links of a run."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def execute(self, command: Command) -> None:
        """Execute a command."""
        if isinstance(command, OpenLinks):
            task = asyncio.get_running_loop().create_task(self._open(command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(command, SetLinkFault):
            for name in command.links:
                self._links[name].set_fault(command)

    async def _open(self, command: OpenLinks) -> None:
        for name, (listen_address, target) in command.links.items():
            link = self._links[name] = Link(name, parse_address(target, name))
            host, port = parse_address(listen_address, name)
            await asyncio.start_server(link.accept, host, port, backlog=BACKLOG)
        announce(LISTENING)


async def serve() -> None:
    """Run the proxy until the end of the input."""
    proxy = Proxy()
    announce(READY)
    await serve_commands(proxy.execute)


if __name__ == "__main__":
    asyncio.run(serve())
