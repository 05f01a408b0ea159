"""The table `limits`: what a process may use of descriptors and memory."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.reader import TableReader

BASE_DESCRIPTORS = 40  # for the loop, the listeners, discovery, the log and connections about to close
CONSOLE_DESCRIPTORS = 16  # for the connections of operators, which no client can take
DURABLE_REQUEST_DESCRIPTORS = 32  # for the stores of durable requests, of this process and of others
MIN_CONNECTIONS = 24  # of clients and workers together

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 24  # a process uses 13 MB at rest, and 16 MB with thousands of connections
DEFAULT_WORKER_SHARE = 0.4  # of the descriptors that are not reserved, for connections to workers


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """How much memory and how many connections a process may have at once."""

    memory_mb: int
    client_connections: int
    worker_connections: int


def reserved_descriptors(has_console: bool, has_durable_requests: bool) -> int:
    """Return how many descriptors are kept from clients and workers."""
    reserved = BASE_DESCRIPTORS
    reserved += CONSOLE_DESCRIPTORS if has_console else 0
    reserved += DURABLE_REQUEST_DESCRIPTORS if has_durable_requests else 0
    return reserved


def read_limits(table: TableReader, reserved: int, strict: bool) -> ProcessLimits:
    """Read the table; of its descriptors, `reserved` are not available for connections."""
    descriptors = table.integer("sockets", DEFAULT_DESCRIPTORS, reserved + MIN_CONNECTIONS)
    memory_mb = table.integer("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
    table.number("cores", 1.0, 0.01)  # checked, and of no effect: a process uses one core
    worker_share = table.number("worker_share", DEFAULT_WORKER_SHARE, 0.01, 0.9)
    if strict:
        table.reject_unknown_keys()
    available = descriptors - reserved
    worker_connections = int(available * worker_share)
    return ProcessLimits(memory_mb, available - worker_connections, worker_connections)
