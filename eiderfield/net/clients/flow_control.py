"""Pauses and resumes reading on a client's connection.

A transport does not report a disconnection while its reading is paused. A paused connection is therefore
watched for that (`net/departures.py`) until reading resumes or the connection is closed.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from eiderfield.net.departures import DepartureWatch


class FlowControl:
    """Controls whether one connection is read."""

    def __init__(
        self,
        sock: socket.socket | None,
        departures: DepartureWatch | None,
        on_disconnect: Callable[[], None],
    ) -> None:
        """Call `on_disconnect` if the client disconnects while reading is paused; needs `departures`."""
        self._sock = sock
        self._departures = departures
        self._on_disconnect = on_disconnect
        self.paused = False
        self._transport: asyncio.Transport | None = None
        self._closed = False

    def open(self, transport: asyncio.Transport) -> None:
        """Set the transport, which is being read."""
        self._transport = transport

    def pause(self) -> None:
        """Stop reading."""
        if self._transport is None:
            return
        self._transport.pause_reading()
        self.paused = True
        if self._closed or self._departures is None or self._sock is None:
            return
        if (fd := self._sock.fileno()) >= 0:
            self._departures.watch(fd, self._on_disconnect)

    def resume(self) -> bool:
        """Read again; return whether reading was paused."""
        if self._transport is None:
            return False
        was_paused, self.paused = self.paused, False
        if was_paused:
            self._stop_watching()
        self._transport.resume_reading()
        return was_paused

    def close(self) -> None:
        """Stop watching: the connection is closed."""
        self._closed = True
        self._stop_watching()
        self._on_disconnect = _ignore  # so that no reference to the connection remains

    def _stop_watching(self) -> None:
        if self._departures is None or self._sock is None:
            return
        if (fd := self._sock.fileno()) >= 0:
            self._departures.forget(fd)


def _ignore() -> None:
    """Do nothing."""
