"""Outcomes of attempts and probes, and what is known of an attempt before its outcome."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 200
    TIMEOUT = 408
    MOOT = 409
    FULL = 429
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""Outcomes that prove that no worker ran the attempt."""


class ProgressKind(IntEnum):
    """What is known of an attempt that has not ended.

    `UNKNOWN` is posted after this process itself was stopped: silence of the worker then proves nothing.
    """

    UNKNOWN = 0
    STARTED = 1
    SHARE_DONE = 2
