"""The links between the processes, each through a listener of its own, so that each can fail by itself.

    python -m eiderfield.lab.fleet.proxy        commands come as JSON lines

Theory of operation. A link has a listener and a target; a connection to the one becomes a connection to the
other, and two pumps carry bytes. A pump looks at its link's state before it passes anything on: a cut one
reads and keeps nothing (bytes in flight when a machine vanishes are lost, and so is what TCP would have
sent again only after the run), a delayed one passes on later and in order, a dripping one a few bytes at a
time. What is not covered: a connection attempt over a cut link comes up, for the kernel answers it, and
then falls silent; loss of single packets, which TCP hides.
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
TICK_S = 0.02  # between two drops of a dripping link
BACKLOG = 512  # connections that wait at a link's listener
QUEUE_LENGTH = 1024  # pieces that a delayed link holds


class Link:
    """One link, and the connections that go over it."""

    def __init__(self, name: str, target: tuple[str, int]) -> None:
        self.name = name
        self.target = target
        self.is_cut = {"there": False, "back": False}
        self.delay = 0.0  # s
        self.drip = 0.0  # bytes a second, 0 for all at once
        self.writers: set[asyncio.StreamWriter] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A connection over the link, until it ends on both sides."""
        self.writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            try:
                far_reader, far = await asyncio.open_connection(*self.target)
            except OSError:
                _reset(writer)  # as the far side's kernel would
                return
            self.writers.add(far)
            await asyncio.gather(self._pump(reader, far, "there"), self._pump(far_reader, writer, "back"))
        finally:
            for end in (writer, far):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

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
        with suppress(asyncio.CancelledError, OSError, RuntimeError):  # RuntimeError: it was half closed
            await sender

    async def _send(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter, direction: str
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at, data = await queue.get()
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
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
        while self.is_cut[direction]:  # an end is forwarded once the link is back
            await asyncio.sleep(TICK_S)
        if writer.can_write_eof():
            writer.write_eof()

    def set_fault(self, command: SetLinkFault) -> None:
        """Begins or ends a fault of the link."""
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
        """Breaks every connection on both sides."""
        for writer in list(self.writers):
            _reset(writer)

    def close_half(self) -> None:
        """Shut down one direction of every connection: the process behind the target reads an end of file."""
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
    """All links of a run."""

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
    """Open links and carry out commands on them until the input ends."""
    proxy = Proxy()
    announce(READY)
    await serve_commands(proxy.execute)


if __name__ == "__main__":
    asyncio.run(serve())
