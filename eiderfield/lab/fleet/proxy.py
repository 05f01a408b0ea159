"""The links between the processes, each through a listener of its own, so that each can fail by itself.

    python -m eiderfield.lab.fleet.proxy        links and commands come as JSON lines

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
from typing import Any

from eiderfield.config import address_of
from eiderfield.lab.fleet.stage import obey, say

CHUNK = 65536
TICK = 0.02  # s between two drops of a dripping link


class Link:
    """One link, and the connections that go over it."""

    def __init__(self, name: str, target: tuple[str, int]) -> None:
        self.name = name
        self.target = target
        self.cut = {"there": False, "back": False}
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

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(1024)
        sender = asyncio.create_task(self._send(queue, writer, way))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK):
                await queue.put((loop.time() + self.delay, data))
            await queue.put((loop.time() + self.delay, b""))
        except OSError:
            sender.cancel()
            _reset(writer)
        with suppress(asyncio.CancelledError, OSError, RuntimeError):  # RuntimeError: it was half closed
            await sender

    async def _send(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter, way: str
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at, data = await queue.get()
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
            if self.cut[way]:
                if not data:
                    while self.cut[way]:  # an end is told once the link is back
                        await asyncio.sleep(TICK)
                else:
                    continue
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            while self.drip and len(data) > (step := max(1, int(self.drip * TICK))):
                writer.write(data[:step])
                data = data[step:]
                await asyncio.sleep(TICK)
            writer.write(data)
            await writer.drain()

    def reset(self) -> None:
        """Breaks every connection on both sides."""
        for writer in list(self.writers):
            _reset(writer)

    def half(self) -> None:
        """Ends one direction of every connection: whoever is behind the target hears an end."""
        for writer in list(self.writers):
            with suppress(OSError, RuntimeError):
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve() -> None:
    """Opens links as they are told, and does to them what it is told."""
    links: dict[str, Link] = {}
    tasks: set[asyncio.Task[Any]] = set()

    async def listen(told: dict[str, Any]) -> None:
        for name, (listen_at, target) in told["links"].items():
            link = links[name] = Link(name, address_of(target, name))
            host, port = address_of(listen_at, name)
            await asyncio.start_server(link.accept, host, port, backlog=512)
        say("listening")

    def take(told: dict[str, Any]) -> None:
        if told["do"] == "listen":
            task = asyncio.get_running_loop().create_task(listen(told))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            return
        for name in told["links"]:
            link = links[name]
            match told["do"]:
                case "cut":
                    for way in ("there", "back"):
                        link.cut[way] = told["on"] and told["way"] in (way, "both")
                case "delay":
                    link.delay = told["value"] / 1000.0 if told["on"] else 0.0
                case "drip":
                    link.drip = told["value"] if told["on"] else 0.0
                case "reset":
                    link.reset()
                case "half":
                    link.half()

    say("ready")
    await obey(take)


if __name__ == "__main__":
    asyncio.run(serve())
