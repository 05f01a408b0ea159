"""The thread that writes for the loop: groups of changes, looks at the others, answers that are waited for.

The loop hands changes in and never waits for the disk; what came of them is called back in the loop, in the
order in which they were handed in. Claims and final answers are always taken; new jobs are not while too many
changes wait. One group is written at a time, with all that came in meanwhile in the next: under load a commit
serves many.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from eiderfield.durable_requests.member import POLLED, Member, Op, Outcome
from eiderfield.durable_requests.record import Record
from eiderfield.machine import steady_ms

GROUP = 256  # changes of one commit
ADOPT = 20.0  # ms between two groups of jobs that are taken over
POLL = 25.0  # ms between two looks for answers that are waited for

Group = list[tuple[Op, Callable[[Outcome], None]]]
Call = Callable[[Callable[[], None]], object]  # runs something in the loop, from any thread


class Writer:
    """The thread of one member. `adopted`, `answered`, `lost` and `wished` are called in the loop."""

    def __init__(self, member: Member, call: Call, most: int) -> None:
        self.member = member
        self.adopted: Callable[[list[Record]], None] = lambda records: None
        self.answered: Callable[[str, Record | None], None] = lambda id_, record: None
        self.lost: Callable[[], None] = lambda: None
        self.wished: Callable[[list[str]], None] = lambda ids: None
        self._call = call
        self._most = most
        self._queue: deque[tuple[Op, Callable[[Outcome], None]]] = deque()
        self._news = threading.Condition()
        self._watched: dict[str, None] = {}
        self._ending = False
        self._leaving: Callable[[bool], None] | None = None
        self._next_look = self._next_poll = 0.0
        self._thread = threading.Thread(target=self._run, name="custody", daemon=True)

    def start(self) -> None:
        """Begins to write. The member has begun its first life."""
        self.member.look()
        self._thread.start()

    def close(self) -> None:
        """Ends the thread once all that was handed in is written."""
        with self._news:
            self._ending = True
            self._news.notify()
        if self._thread.is_alive():
            self._thread.join()

    @property
    def waiting(self) -> int:
        """Changes that are not written yet."""
        return len(self._queue)

    @property
    def full(self) -> bool:
        """Whether no new job is to be handed in."""
        return len(self._queue) >= self._most

    def write(self, op: Op, then: Callable[[Outcome], None]) -> None:
        """Hands a change in."""
        with self._news:
            self._queue.append((op, then))
            self._news.notify()

    def watch(self, id_: str, on: bool = True) -> None:
        """Looks for a job's answer, wherever it is, or no longer."""
        with self._news:
            if on:
                self._watched[id_] = None
                self._news.notify()
            else:
                self._watched.pop(id_, None)

    def leave(self, then: Callable[[bool], None]) -> None:
        """Gives what is left to the others, after all that was handed in."""
        with self._news:
            self._leaving = then
            self._news.notify()

    # In the thread.

    def _run(self) -> None:
        while True:
            with self._news:
                if not (self._queue or self._ending or self._leaving):
                    self._news.wait(self._patience() / 1000.0)
                group = [self._queue.popleft() for _ in range(min(GROUP, len(self._queue)))]
                over = self._ending and not group
                leaving = self._leaving if not self._queue and not group else None
            if over:
                self._guarded(self.member.close)
                return
            self.turn(group, leaving)

    def _patience(self) -> float:
        at = min(self._next_look, self._next_poll) if self._watched else self._next_look
        return max(1.0, min(at - steady_ms(), ADOPT if self.member.awaiting else at))

    def turn(self, group: Group, leaving: Callable[[bool], None] | None = None) -> None:
        """Writes a group of changes, and does what is due. What fails in one step hinders none of the others:
        nothing would be kept any more."""
        life = self.member.life
        self._write(group)
        if leaving is not None:
            self._leaving = None
            self._guarded(lambda: self._leave(leaving))
        self._guarded(self._look)
        if life and self.member.life != life:
            self._loop(self.lost)
            if not self.member.life and not self.member.left:
                self._next_look = 0.0  # a new life is begun as soon as may be
        self._guarded(self._adopt)
        self._guarded(self._poll_if_due)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            self.member.report(f"custody: {error!r}")

    def _write(self, group: Group) -> None:
        """Each of a group hears once what came of it."""
        if not group:
            return
        found: list[Outcome] = [False] * len(group)
        try:
            found = self.member.apply([op for op, _ in group])
        except Exception as error:
            self.member.report(f"custody: {error!r}")
        calls = [(then, outcome) for (_, then), outcome in zip(group, found, strict=True)]
        self._loop(lambda: _tell(calls))

    def _leave(self, leaving: Callable[[bool], None]) -> None:
        left = self.member.leave()
        self._loop(lambda: leaving(left))

    def _look(self) -> None:
        now, member = steady_ms(), self.member
        if now < self._next_look or member.left:
            return
        self._next_look = now + member.settings.look
        member.look()
        if wishes := member.wished():
            self._loop(lambda: self.wished(wishes))

    def _adopt(self) -> None:
        if self.member.life and self.member.awaiting and (records := self.member.adopt()):
            self._loop(lambda: self.adopted(records))

    def _poll_if_due(self) -> None:
        now = steady_ms()
        if self._watched and now >= self._next_poll:
            self._next_poll = now + POLL
            self._poll()

    def _poll(self) -> None:
        with self._news:
            ids = list(self._watched)[:POLLED]
            for id_ in ids:  # the others' turn next time
                del self._watched[id_]
                self._watched[id_] = None
        for id_, record in self.member.polled(ids):
            with self._news:
                self._watched.pop(id_, None)
            self._loop(lambda id_=id_, record=record: self.answered(id_, record))  # type: ignore[misc]

    def _loop(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._call(call)


def _tell(calls: list[tuple[Callable[[Outcome], None], Outcome]]) -> None:
    for then, outcome in calls:
        then(outcome)
