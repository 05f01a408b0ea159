"""The requests that have no final answer yet, their deadlines, and attempts that outlive their request.

Invariant: a request is in the table from its arrival until its final answer or its client's disconnection.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import inf

from eiderfield.policy.request import AttemptRecord, QueuedRequest

AttemptId = tuple[int, int]  # request id, number of the attempt


class RequestTable:
    """Unanswered requests by id, and the open attempts of answered ones."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[int, QueuedRequest] = {}
        self.late_attempts: dict[AttemptId, AttemptRecord] = {}  # open attempts of answered requests
        self.open_attempts = 0  # number of open attempts of all requests
        self._deadlines: list[tuple[float, int]] = []  # heap of times and request ids

    def add(self, request: QueuedRequest, answer_by: float) -> None:
        """Add a request that has to be answered at the time `answer_by`."""
        self.by_id[request.id] = request
        heapq.heappush(self._deadlines, (answer_by, request.id))

    def find_attempt(self, request_id: int, number: int) -> tuple[QueuedRequest | None, AttemptRecord | None]:
        """Return a request and its attempt; None for an answered request, and for what is unknown."""
        request = self.by_id.get(request_id)
        attempts = request.attempts if request is not None else []
        if number < len(attempts):
            return request, attempts[number]
        return request, self.late_attempts.get((request_id, number))

    def expired(self, now: float) -> Iterator[QueuedRequest]:
        """Yield each request that has to be answered now; requests with a started stream have no deadline."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            request = self.by_id.get(request_id)
            if request is not None and not request.streaming:
                yield request

    def next_deadline(self) -> float:
        """Return the earliest time at which a request has to be answered, infinity if there is none."""
        return self._deadlines[0][0] if self._deadlines else inf
