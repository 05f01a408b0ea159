"""The thread that writes for the loop: groups of changes, ticks, answers that are waited for.

The loop hands operations in and never waits for the disk; what came of them is called back in the loop, in
the order in which they were handed in. Claims and answers are always taken in, new requests not while too
many operations wait. One group is written at a time, with all that came in meanwhile in the next: under load
a commit serves many.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import NotOwned, Operation, Outcome
from eiderfield.durable_requests.record import Record
from eiderfield.machine import steady_ms

GROUP = 256  # operations of one commit
TAKEOVER_INTERVAL = 20.0  # ms between two groups of requests that are taken over
POLL_INTERVAL = 25.0  # ms between two looks for answers that are waited for
MOST_POLLED = 200  # ids looked for in one of them

CallInLoop = Callable[[Callable[[], None]], object]  # from any thread
Callback = Callable[[Outcome], None]
Group = list[tuple[Operation, Callback]]


class Listener(Protocol):
    """Who is told in the loop of what the thread found."""

    def on_taken_over(self, records: list[Record]) -> None:
        """Requests of lost incarnations are this one's from now on."""

    def on_answer(self, id_: str, record: Record | None) -> None:
        """A watched request has its answer, or nothing is known of it any more."""

    def on_incarnation_over(self) -> None:
        """The incarnation is over: what it had is its successors'."""

    def on_end_requested(self, ids: list[str]) -> None:
        """Somebody requests the end of some requests of this incarnation."""


class CommitThread:
    """The thread of one member."""

    def __init__(self, member: Member, listener: Listener, call_in_loop: CallInLoop, most: int) -> None:
        """`most` operations may wait before new requests are not taken in."""
        self.member = member
        self._listener = listener
        self._call_in_loop = call_in_loop
        self._most = most
        self._queue: deque[tuple[Operation, Callback]] = deque()
        self._wakeup = threading.Condition()
        self._watched: dict[str, None] = {}
        self._ending = False
        self._leaving: Callable[[bool], None] | None = None
        self._next_tick = self._next_poll = 0.0
        self._thread = threading.Thread(target=self._run, name="durable-requests", daemon=True)

    def start(self) -> None:
        """Begins to write."""
        self.member.tick()
        self._thread.start()

    def close(self) -> None:
        """Ends the thread once all that was handed in is written."""
        with self._wakeup:
            self._ending = True
            self._wakeup.notify()
        if self._thread.is_alive():
            self._thread.join()

    @property
    def waiting(self) -> int:
        """Operations that are not written yet."""
        return len(self._queue)

    @property
    def full(self) -> bool:
        """Whether no new request is to be handed in."""
        return len(self._queue) >= self._most

    def write(self, operation: Operation, then: Callback) -> None:
        """Hands an operation in."""
        with self._wakeup:
            self._queue.append((operation, then))
            self._wakeup.notify()

    def watch(self, id_: str) -> None:
        """Looks for a request's answer, wherever it is."""
        with self._wakeup:
            self._watched[id_] = None
            self._wakeup.notify()

    def unwatch(self, id_: str) -> None:
        """Looks for it no longer."""
        with self._wakeup:
            self._watched.pop(id_, None)

    def leave(self, then: Callable[[bool], None]) -> None:
        """Gives what is left to the others, after all that was handed in."""
        with self._wakeup:
            self._leaving = then
            self._wakeup.notify()

    # In the thread.

    def _run(self) -> None:
        while True:
            with self._wakeup:
                if not (self._queue or self._ending or self._leaving):
                    self._wakeup.wait(self._patience() / 1000.0)
                group = self.next_group()
                over = self._ending and not group
                leaving = self._leaving if not self._queue and not group else None
            if over:
                self._guarded(self.member.close)
                return
            self.run_turn(group, leaving)

    def next_group(self) -> Group:
        """What is to be written next, taken from the queue."""
        return [self._queue.popleft() for _ in range(min(GROUP, len(self._queue)))]

    def _patience(self) -> float:
        at = min(self._next_tick, self._next_poll) if self._watched else self._next_tick
        return max(1.0, min(at - steady_ms(), TAKEOVER_INTERVAL if self.member.pending_takeovers else at))

    def run_turn(self, group: Group, leaving: Callable[[bool], None] | None = None) -> None:
        """Writes a group of operations, and does what is due. What fails in one step hinders no other."""
        before = self.member.incarnation
        self._write(group)
        if leaving is not None:
            self._leaving = None
            self._guarded(lambda: self._leave(leaving))
        self._guarded(self._tick_if_due)
        if before and self.member.incarnation != before:
            self._call(self._listener.on_incarnation_over)
            if not self.member.incarnation and not self.member.has_left:
                self._next_tick = 0.0  # a new incarnation is begun as soon as may be
        self._guarded(self._take_over)
        self._guarded(self._poll_if_due)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:  # nothing would be written any more
            self.member.report(f"durable requests: {error!r}")

    def _write(self, group: Group) -> None:
        """Each of a group hears once what came of it."""
        if not group:
            return
        outcomes: list[Outcome] = [NotOwned()] * len(group)
        try:
            outcomes = self.member.apply([operation for operation, _ in group])
        except Exception as error:
            self.member.report(f"durable requests: {error!r}")
        callbacks = [then for _, then in group]
        self._call(lambda: _call_each(callbacks, outcomes))

    def _leave(self, leaving: Callable[[bool], None]) -> None:
        left = self.member.leave()
        self._call(lambda: leaving(left))

    def _tick_if_due(self) -> None:
        now, member = steady_ms(), self.member
        if now < self._next_tick or member.has_left:
            return
        self._next_tick = now + member.settings.tick
        member.tick()
        if ids := member.requested_ends():
            self._call(lambda: self._listener.on_end_requested(ids))

    def _take_over(self) -> None:
        if self.member.pending_takeovers and (records := self.member.take_over()):
            self._call(lambda: self._listener.on_taken_over(records))

    def _poll_if_due(self) -> None:
        now = steady_ms()
        if self._watched and now >= self._next_poll:
            self._next_poll = now + POLL_INTERVAL
            self._poll()

    def _poll(self) -> None:
        with self._wakeup:
            ids = list(self._watched)[:MOST_POLLED]
            for id_ in ids:  # the others' turn next time
                del self._watched[id_]
                self._watched[id_] = None
        for id_, record in self.member.poll_answers(ids):
            self.unwatch(id_)
            self._call(self._answer_call(id_, record))

    def _answer_call(self, id_: str, record: Record | None) -> Callable[[], None]:
        return lambda: self._listener.on_answer(id_, record)

    def _call(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._call_in_loop(call)


def _call_each(callbacks: list[Callback], outcomes: list[Outcome]) -> None:
    for then, outcome in zip(callbacks, outcomes, strict=True):
        then(outcome)
