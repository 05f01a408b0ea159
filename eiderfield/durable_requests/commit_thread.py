"""The thread that performs the I/O of durable requests for the event loop.

The loop queues operations and never waits for the disk. The callbacks with their outcomes run in the loop, in
the order in which the operations were queued. Claims and answers are always queued; callers queue new
requests only while the queue is not full. One group of operations is written in one commit, and the
operations that are queued meanwhile form the next group: under load one commit serves many operations.

Between groups the thread ticks its member, takes over requests of lost incarnations, and polls for the
answers of requests that other processes own.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Protocol

from eiderfield.durable_requests.folder_polls import FolderPolls
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import NotOwned, Operation, Outcome
from eiderfield.durable_requests.record import Record

MAX_GROUP_SIZE = 256  # operations in one commit
TAKEOVER_INTERVAL_MS = 20.0  # between two commits of requests that are taken over
POLL_INTERVAL_MS = 25.0  # between two polls for answers
MIN_WAIT_MS = 1.0  # shortest wait for an operation before the next step that is due

CallInLoop = Callable[[Callable[[], None]], object]  # called from any thread
OutcomeCallback = Callable[[Outcome], None]
LeaveCallback = Callable[[bool], None]
Group = list[tuple[Operation, OutcomeCallback]]


class ThreadListener(Protocol):
    """Handles the reports of the thread in the event loop."""

    def on_taken_over(self, records: list[Record]) -> None:
        """Handle requests of lost incarnations that this incarnation owns from now on."""

    def on_answer(self, id_: str, record: Record | None) -> None:
        """Handle the answer of a watched request; `record` is None if there is no record to wait for."""

    def on_incarnation_ended(self) -> None:
        """Handle the end of the incarnation, whose successors own its requests."""

    def on_clients_found(self, ids: list[str]) -> None:
        """Handle requests of this incarnation for which clients wait at other processes."""

    def on_end_requested(self, ids: list[str]) -> None:
        """Handle requests of this incarnation whose end has been requested."""


class CommitThread:
    """The thread of one member. `attach_listener` is called once, before `start`."""

    _listener: ThreadListener

    def __init__(self, member: Member, call_in_loop: CallInLoop, max_waiting_operations: int) -> None:
        """Create the thread of `member`; the queue is full with `max_waiting_operations` operations."""
        self.member = member
        self._call_in_loop = call_in_loop
        self._max_waiting_operations = max_waiting_operations
        self._queue: deque[tuple[Operation, OutcomeCallback]] = deque()
        self._wakeup = threading.Condition()
        self.polls = FolderPolls(member, self._wakeup)
        self._is_closing = False
        self._on_left: LeaveCallback | None = None  # set by `leave`
        self._attended_ids: list[str] = []  # set by `leave`
        self._next_tick = self._next_poll = 0.0
        self._report_errors = _ErrorReporter(member)
        self._thread = threading.Thread(target=self._run, name="durable-requests", daemon=True)

    def attach_listener(self, listener: ThreadListener) -> None:
        """Report to `listener` from now on."""
        self._listener = listener

    def start(self) -> None:
        """Tick the member once and start the thread."""
        self.member.tick()
        self._thread.start()

    def close(self) -> None:
        """Write all queued operations, then end the thread."""
        with self._wakeup:
            self._is_closing = True
            self._wakeup.notify()
        if self._thread.is_alive():
            self._thread.join()

    @property
    def waiting_count(self) -> int:
        """The number of operations that are not written yet."""
        return len(self._queue)

    @property
    def max_waiting(self) -> int:
        """The number of operations that may wait while new requests are accepted."""
        return self._max_waiting_operations

    def has_capacity(self, count: int) -> bool:
        """Return whether so many new requests may be queued."""
        return len(self._queue) + count <= self._max_waiting_operations

    def write(self, operation: Operation, on_outcome: OutcomeCallback) -> None:
        """Queue an operation; `on_outcome` is called in the loop with its outcome."""
        with self._wakeup:
            self._queue.append((operation, on_outcome))
            self._wakeup.notify()

    def leave(self, attended_ids: list[str], on_left: LeaveCallback) -> None:
        """Leave the members once all operations are written; `on_left` is called in the loop.

        `attended_ids` are the requests of this incarnation for which clients of this process wait.
        """
        with self._wakeup:
            self._attended_ids = attended_ids
            self._on_left = on_left
            self._wakeup.notify()

    # The following methods run in the thread.

    def _run(self) -> None:
        while True:
            with self._wakeup:
                if not (self._queue or self._is_closing or self._on_left):
                    self._wakeup.wait(self._time_to_next_step() / 1000.0)
                group = self.next_group()
                is_finished = self._is_closing and not group
                on_left = self.due_leave(group)
            if is_finished:
                with self._report_errors:
                    self.member.close()
                return
            self.run_turn(group, on_left)

    def next_group(self) -> Group:
        """Remove and return the operations of the next commit."""
        return [self._queue.popleft() for _ in range(min(MAX_GROUP_SIZE, len(self._queue)))]

    def due_leave(self, group: Group) -> LeaveCallback | None:
        """Return the callback of `leave` if nothing is left to be written besides `group`, else None."""
        return None if self._queue or group else self._on_left

    def _time_to_next_step(self) -> float:
        due = min(self._next_tick, self._next_poll) if self.polls.is_needed else self._next_tick
        delay = due - self.member.now()
        if self.member.pending_takeovers:
            delay = min(delay, TAKEOVER_INTERVAL_MS)
        return max(MIN_WAIT_MS, delay)

    def run_turn(self, group: Group, on_left: LeaveCallback | None = None) -> None:
        """Write a group of operations, then run the steps that are due.

        An error in one step does not stop the others.
        """
        incarnation_before = self.member.incarnation_name
        self._write(group)
        if on_left is not None:
            self._on_left = None
            with self._report_errors:
                self._leave(on_left)
        with self._report_errors:
            self._tick_if_due()
        if incarnation_before and self.member.incarnation_name != incarnation_before:
            self._post(self._listener.on_incarnation_ended)
            if not self.member.incarnation_name and not self.member.has_left:
                self._next_tick = 0.0  # the next tick begins a new incarnation
        with self._report_errors:
            self._take_over()
        with self._report_errors:
            self._poll_if_due()

    def _write(self, group: Group) -> None:
        """Write a group. Each callback is called once, also after an error."""
        if not group:
            return
        outcomes: list[Outcome] = [NotOwned()] * len(group)
        with self._report_errors:
            outcomes = self.member.apply([operation for operation, _ in group])
        callbacks = [callback for _, callback in group]
        self._post(lambda: _call_each(callbacks, outcomes))

    def _leave(self, on_left: LeaveCallback) -> None:
        """Leave the members. The successors find the marks of requests whose clients wait here."""
        attended_ids = self._attended_ids
        for id_ in attended_ids:
            self.polls.watch(id_, has_clients=True)
        self.polls.update_marks()
        has_left = self.member.leave()
        if not has_left:
            for id_ in attended_ids:
                self.polls.unwatch(id_)
        self._post(lambda: on_left(has_left))

    def _tick_if_due(self) -> None:
        now, member = self.member.now(), self.member
        if now < self._next_tick:
            return
        self._next_tick = now + member.settings.tick_interval_ms
        member.tick()
        if ids := member.requested_ends():
            self._post(lambda: self._listener.on_end_requested(ids))

    def _take_over(self) -> None:
        if self.member.pending_takeovers and (records := self.member.take_over()):
            self._post(lambda: self._listener.on_taken_over(records))

    def _poll_if_due(self) -> None:
        now = self.member.now()
        if not self.polls.is_needed or now < self._next_poll:
            return
        self._next_poll = now + POLL_INTERVAL_MS
        result = self.polls.poll()
        for id_, record in result.answers:
            self._post(self._answer_callback(id_, record))
        if result.attended_ids:
            self._post(lambda: self._listener.on_clients_found(result.attended_ids))

    def _answer_callback(self, id_: str, record: Record | None) -> Callable[[], None]:
        return lambda: self._listener.on_answer(id_, record)

    def _post(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._call_in_loop(call)


class _ErrorReporter:
    """A context manager that logs and suppresses an error of the step within it: the thread must not end."""

    def __init__(self, member: Member) -> None:
        self._member = member

    def __enter__(self) -> None:
        """Enter the context."""

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        """Report an `Exception` and suppress it."""
        if not isinstance(error, Exception):
            return False
        self._member.report(f"durable requests: step failed (error={error!r})")
        return True


def _call_each(callbacks: list[OutcomeCallback], outcomes: list[Outcome]) -> None:
    for callback, outcome in zip(callbacks, outcomes, strict=True):
        callback(outcome)
