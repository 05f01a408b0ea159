"""Takes over from the previous process, and lets the next one take over from this one."""

from __future__ import annotations

import asyncio
from pathlib import Path

from eiderfield.net.handover import Handover
from eiderfield.net.link_socket import LinkListener, connect_link
from eiderfield.net.peers import PeerPort
from eiderfield.program.listeners import CLIENTS
from eiderfield.program.log import log
from eiderfield.program.part import DrainTimes, Part


class TakeoverPart(Part):
    """Takes over from a process that serves already, if there is one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handover: Handover, socket_path: Path) -> None:
        """`socket_path` is where that process listens for this one."""
        self.took_over = False  # whether there was one
        self._loop = loop
        self._handover = handover
        self._socket_path = socket_path

    async def start(self) -> None:
        """Wait until the previous process has handed over, or does not answer."""
        link = connect_link(self._loop, self._socket_path)
        if link is None:
            return
        self.took_over = True
        finished = asyncio.Event()
        self._handover.take_over(link, finished.set)
        await finished.wait()


class SuccessorPart(Part):
    """Hands over to the next process of this dispatcher."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handover: Handover, socket_path: Path, peers: PeerPort | None
    ) -> None:
        """`socket_path` is where this process listens for the next."""
        self._handover = handover
        self._socket_path = socket_path
        self._peers = peers
        self._link_listener = LinkListener(loop, socket_path, handover.accept)
        handover.on_successor_lost = self.listen

    async def start(self) -> None:
        """Listen for the next process."""
        self.listen()

    def listen(self) -> None:
        """Listen for the next process, also after one that had taken over is gone."""
        if self._peers is not None:
            self._peers.resume()
        self._link_listener.close(unlink=False)
        try:
            self._link_listener.open()
        except OSError as error:  # the process serves without it; only a later upgrade loses connections
            log(f"handover: cannot listen for the next process (path={self._socket_path} error={error})")

    def drain(self, _times: DrainTimes) -> None:
        """Pass clients on to a process that has taken over."""
        if self._handover.handed_over:
            names = self._handover.listeners
            self._handover.pass_clients([name for name in names if name.startswith(CLIENTS)])

    @property
    def busy(self) -> bool:
        """Whether messages to the next process are still unsent."""
        return not self._handover.flushed

    def stop(self) -> None:
        """Close the links, and remove the socket unless the next process has replaced it."""
        self._link_listener.close(unlink=not self._handover.handed_over)
        self._handover.close()
