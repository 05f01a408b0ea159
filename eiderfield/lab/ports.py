"""Loopback ports for the processes of an experiment, which no other process is given meanwhile.

A port that the kernel chose (bind to 0, then close) may be given to somebody else before the process that was
told of it listens there. These ports lie below the range that Linux chooses from, and each process that hands
them out has a block of its own: the block's first port stays bound while the process lives.
"""

from __future__ import annotations

import errno
import socket
from functools import cache

from eiderfield.errors import EiderfieldError

FIRST_PORT = 10_000
END_PORT = 32_768  # where Linux's own range begins (net.ipv4.ip_local_port_range)
BLOCK_SIZE = 256  # ports; some eighty processes may hand out ports at one time
LOOPBACK = "127.0.0.1"


class NoPortLeftError(EiderfieldError, RuntimeError):
    """All blocks, or all ports of the block, are in use."""


class PortBlock:
    """A block of ports of one process."""

    def __init__(self) -> None:
        self._guard = socket.socket()
        self._first = self._claim_block()
        self._last_given = self._first

    def _claim_block(self) -> int:
        for first in range(FIRST_PORT, END_PORT - BLOCK_SIZE + 1, BLOCK_SIZE):
            if _is_bound(self._guard, first):
                return first
        raise NoPortLeftError(f"all blocks of ports from {FIRST_PORT} to {END_PORT} are in use")

    def take(self) -> int:
        """A port on which nobody listens; it comes again only after all others of the block."""
        for _ in range(BLOCK_SIZE - 1):
            self._last_given += 1
            if self._last_given == self._first + BLOCK_SIZE:
                self._last_given = self._first + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if _is_bound(probe, self._last_given):
                    return self._last_given
        raise NoPortLeftError(f"all ports of the block at {self._first} are in use")

    def close(self) -> None:
        """Lets another process have the block."""
        self._guard.close()


def _is_bound(sock: socket.socket, port: int) -> bool:
    """Binds a socket to a port of the loopback address, if nobody has it."""
    try:
        sock.bind((LOOPBACK, port))
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            return False
        raise
    return True


@cache
def _own_block() -> PortBlock:
    return PortBlock()


def free_port() -> int:
    """A port of this process's block on which nobody listens."""
    return _own_block().take()
