"""Taking over from the process before, and letting the next one take over from this one."""

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
        """Waits until the process before has handed over, or does not answer."""
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
        """Lets the next process find this one."""
        self.listen()

    def listen(self) -> None:
        """Listens for the next process, also after one that had taken over is gone."""
        if self._peers is not None:
            self._peers.resume()
        self._link_listener.close(unlink=False)
        try:
            self._link_listener.open()
        except OSError as error:  # it serves without; only an upgrade would be rough
            log(f"no process can take over from this one: {self._socket_path}: {error}")

    def drain(self, _times: DrainTimes) -> None:
        """Passes clients on to a process that has taken over."""
        if self._handover.handed_over:
            names = self._handover.listeners
            self._handover.pass_clients([name for name in names if name.startswith(CLIENTS)])

    @property
    def busy(self) -> bool:
        """Whether the next process has not been sent all that it is owed."""
        return not self._handover.flushed

    def stop(self) -> None:
        """Ends the links; the socket goes unless the next process has put its own there."""
        self._link_listener.close(unlink=not self._handover.handed_over)
        self._handover.close()
