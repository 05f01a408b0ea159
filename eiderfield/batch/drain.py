"""How long a process that ends as planned stays for its batch jobs. Performs no I/O and reads no clock.

    serving ──(begin)──> finishing ──(answer_by: what is unfinished ends)──> fetching ──(fetch_by)──> over
                             └──(nothing is owed)──> over

The ends of jobs that are not durable exist in this process alone, so it stays until clients have fetched
them. A client that never comes must not hold it: without a message of a batch client for `FETCH_TIME_MS` no
finished job does, and after `fetch_by` none does at all. Durable jobs are found by the processes that follow.
"""

from __future__ import annotations

from math import inf

from eiderfield.batch.registry import JobRegistry

FETCH_TIME_MS = 1500.0  # for the next message of a client; its connections stay open so long as well
FETCH_MARGIN_MS = 250.0  # between the end of all jobs and `fetch_by`, in which clients fetch these ends
FETCH_MARGIN_SHARE = 0.1  # of the time from the beginning until `fetch_by`, at most


class JobDrain:
    """The drain of one registry. All times are in ms."""

    def __init__(self, registry: JobRegistry) -> None:
        """Drain the jobs of `registry`."""
        self._registry = registry
        self._begun_at = inf
        self._fetch_by = inf
        self._last_message_at = -inf

    def begin(self, now: float, fetch_by: float) -> float:
        """Begin the drain. Return when `end_unfinished` is to be called."""
        self._begun_at, self._fetch_by = now, fetch_by
        return fetch_by - min(FETCH_MARGIN_MS, FETCH_MARGIN_SHARE * (fetch_by - now))

    def message_received(self, now: float) -> None:
        """Note that a batch client has sent a message."""
        self._last_message_at = now

    def end_unfinished(self) -> None:
        """End all unfinished jobs that no other process knows, so that clients can fetch these ends."""
        self._registry.end_unfinished()

    def is_owed(self, now: float) -> bool:
        """Return whether clients have yet to fetch ends that only this process knows."""
        if now >= self._fetch_by:
            return False
        table = self._registry.table
        last_event_at = max(self._begun_at, table.last_finished_at, self._last_message_at)
        if not table.has_unfetched:
            return False
        return now < last_event_at + FETCH_TIME_MS or bool(table.unfinished_local)
