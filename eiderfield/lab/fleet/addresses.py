"""Addresses for the processes of a run, which no other run and no outgoing connection takes."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import count

FIRST_PORT = 10_000  # below the range that the kernel chooses from
POOLS_PER_PROCESS = 8
FIRST_HOST_BYTE = 64  # hosts are of 127.64.0.0/10
HOST_BYTES = 64
BYTE_VALUES = 250  # 1 to 250 of a host's last two bytes
HOSTS = HOST_BYTES * BYTE_VALUES * BYTE_VALUES

_pool_numbers = count()


class AddressPool:
    """Addresses that nobody else has: a host of the loopback range for each run, counted up from one port.

    Ports that the kernel gives out could be taken again, by a connection of the run itself, before they are
    listened on; what connects to another host of the range does so from 127.0.0.1.
    """

    def __init__(self) -> None:
        self._last_port = FIRST_PORT
        self._guard = socket.socket()  # runs of other processes begin elsewhere while it is bound
        self.host = self._claim_host()

    def take(self) -> str:
        """An address that was not given out before."""
        self._last_port += 1
        return f"{self.host}:{self._last_port}"

    def close(self) -> None:
        """Lets another run have the host."""
        self._guard.close()

    def _claim_host(self) -> str:
        for number in count(os.getpid() * POOLS_PER_PROCESS + next(_pool_numbers)):
            host = host_of(number % HOSTS)
            with suppress(OSError):
                self._guard.bind((host, FIRST_PORT))
                break
        return host


def host_of(number: int) -> str:
    """The loopback host of a number below `HOSTS`."""
    first, rest = divmod(number, BYTE_VALUES * BYTE_VALUES)
    second, third = divmod(rest, BYTE_VALUES)
    return f"127.{FIRST_HOST_BYTE + first}.{1 + second}.{1 + third}"
