"""Outcomes of attempts and probes, and the progress of attempts before their outcome."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt or a probe ended, by its code on the wire."""

    OK = 200  # the whole result arrived
    TIMEOUT = 408  # no result in time
    NOT_SENT = 409  # dropped before its first byte was written
    FULL = 429  # rejected by a worker without capacity
    CANCELLED = 444  # `CancelAttempt` ended it
    ERROR = 502  # the worker reported a failure
    RESET = 520  # the connection was lost
    CONNECT_FAILED = 521  # no connection could be established


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that no worker ran the attempt."""


class ProgressKind(IntEnum):
    """The progress of an attempt that has not ended.

    `UNKNOWN` is reported after this process itself was stopped: silence of the worker then proves nothing.
    """

    UNKNOWN = 0
    STARTED = 1
    SHARE_DONE = 2
