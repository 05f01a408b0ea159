"""Opens connections on the event loop's real sockets, and tries again what only this host has held up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eiderfield.config.address import Address
from eiderfield.net.faults import RETRY_MS, Cause, cause_of_dial

_RETRY_S = RETRY_MS / 1000.0


class Dialer:
    """The dials of one event loop (`dialing.Dial`)."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nothing is dialled yet."""
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()  # the loop itself holds a task only weakly

    def dial(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        failed: Callable[[], None],
        delayed: Callable[[Cause], None] = lambda cause: None,
    ) -> asyncio.Task[None]:
        """Connects a protocol to an address, or calls `failed`. For a fault of this host `delayed` is called
        instead, and the dial is tried again until the caller's time limit cancels it."""
        task = self._loop.create_task(self._connect(protocol, address, failed, delayed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _connect(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        failed: Callable[[], None],
        delayed: Callable[[Cause], None],
    ) -> None:
        while True:
            try:
                await self._loop.create_connection(lambda: protocol, *address)
                return
            except (OSError, ValueError) as error:
                cause = cause_of_dial(error)
            if cause is Cause.CONNECTION:
                failed()
                return
            delayed(cause)
            await asyncio.sleep(_RETRY_S)
