"""Allocates addresses for a run that neither another run nor an outgoing connection can take."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import count

BASE_PORT = 10_000  # below the range of ephemeral ports
POOLS_PER_PROCESS = 8  # distance between the first hosts tried by processes with successive ids
MIN_SECOND_OCTET = 64  # all hosts are in 127.64.0.0/10
SECOND_OCTETS = 64
OCTET_VALUES = 250  # each of the last two octets of a host is from 1 to 250
HOSTS = SECOND_OCTETS * OCTET_VALUES * OCTET_VALUES

_pool_numbers = count()


class AddressPool:
    """Allocates the addresses of one run: a loopback host that no other run uses, with increasing ports.

    An ephemeral port chosen by the kernel could be taken by an outgoing connection of the run before the
    process it is meant for listens on it. Connections to these hosts have 127.0.0.1 as their source address,
    so they take no port of them.
    """

    def __init__(self) -> None:
        self._last_port = BASE_PORT
        self._claim = socket.socket()  # while bound, it reserves the host against other pools
        self.host = self._claim_host()

    def take(self) -> str:
        """Return an address that this pool has not returned before."""
        self._last_port += 1
        return f"{self.host}:{self._last_port}"

    def close(self) -> None:
        """Release the host."""
        self._claim.close()

    def _claim_host(self) -> str:
        for number in count(os.getpid() * POOLS_PER_PROCESS + next(_pool_numbers)):
            host = loopback_host(number % HOSTS)
            with suppress(OSError):
                self._claim.bind((host, BASE_PORT))
                break
        return host


def loopback_host(number: int) -> str:
    """Return the loopback host with a number from 0 to `HOSTS` - 1."""
    first, rest = divmod(number, OCTET_VALUES * OCTET_VALUES)
    second, third = divmod(rest, OCTET_VALUES)
    return f"127.{MIN_SECOND_OCTET + first}.{1 + second}.{1 + third}"
