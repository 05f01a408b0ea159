"""Waiters for the answers of requests that other processes own."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.waiters import Waiter


class RemoteWaiters:
    """The waiters, by request id. The commit thread polls for the answers of their requests."""

    def __init__(self, context: LoopContext) -> None:
        """Start without waiters."""
        self._context = context
        self._waiters: dict[str, list[Waiter]] = {}

    def __len__(self) -> int:
        """Return the number of waiters."""
        return sum(map(len, self._waiters.values()))

    def __contains__(self, waiter: Waiter) -> bool:
        """Return whether a waiter is one of these."""
        return waiter in self._waiters.get(waiter.awaited_id, ())

    def add(self, id_: str, waiter: Waiter) -> None:
        """Let a waiter wait until the answer of the request is found. Ignores a waiter that is done."""
        if not waiter.is_done:
            waiter.awaited_id = id_
            self._waiters.setdefault(id_, []).append(waiter)
            self._context.commit_thread.polls.watch(id_, has_clients=not waiter.is_observer)

    def add_all(self, id_: str, waiters: Iterable[Waiter]) -> None:
        """Let several waiters wait for one request."""
        for waiter in waiters:
            self.add(id_, waiter)
        if id_ not in self._waiters:
            self._context.commit_thread.polls.unwatch(id_)

    def has_clients(self, id_: str) -> bool:
        """Return whether a client waits for the answer of a request; observers do not count."""
        return any(not waiter.is_done and not waiter.is_observer for waiter in self._waiters.get(id_, ()))

    def discard(self, waiter: Waiter) -> bool:
        """Remove a waiter whose client has left. Return whether it was one of these."""
        if waiter not in self:
            return False
        id_ = waiter.awaited_id
        waiters = self._waiters[id_]
        waiters.remove(waiter)
        if not self.has_clients(id_):
            self._context.commit_thread.polls.detach_clients(id_)
        if not waiters:
            self.take_back(id_)
        return True

    def remove(self, id_: str) -> list[Waiter]:
        """Remove and return the waiters of a request that the commit thread no longer polls for."""
        return self._waiters.pop(id_, [])

    def take_back(self, id_: str) -> list[Waiter]:
        """Remove and return the waiters of a request that this process owns from now on."""
        self._context.commit_thread.polls.unwatch(id_)
        return self.remove(id_)
