"""What the commit thread polls the folder for: answers and clients of requests at other processes.

The event loop says what to poll for. The thread polls, and keeps the marks up to date by which owners know
that clients of this process wait for their requests.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from dataclasses import dataclass

from eiderfield.durable_requests.lookup import FoundAnswer
from eiderfield.durable_requests.member import Member

MAX_POLLED_IDS = 200  # request ids in one poll for answers


@dataclass(frozen=True, slots=True)
class PollResult:
    """What a poll has found. `attended_ids` are requests for which clients wait at other processes."""

    answers: list[FoundAnswer]
    attended_ids: list[str]


class FolderPolls:
    """The polls of one process. `wakeup` is notified when there is more to poll for."""

    def __init__(self, member: Member, wakeup: threading.Condition) -> None:
        """Poll by `member`."""
        self._member = member
        self._wakeup = wakeup
        self._watched: dict[str, bool] = {}  # whether a request has clients; the last polled ones at the end
        self._clientless: set[str] = set()  # ids of requests for which a client is searched

    # Called by the event loop, and by the thread.

    def watch(self, id_: str, has_clients: bool = False) -> None:
        """Poll for the answer of a request that another process owns.

        With `has_clients` the owner finds that clients of this process wait for it.
        """
        with self._wakeup:
            self._watched[id_] = self._watched.get(id_, False) or has_clients
            self._wakeup.notify()

    def detach_clients(self, id_: str) -> None:
        """Note that no client of this process waits any more for a request that is still watched."""
        with self._wakeup:
            if id_ in self._watched:
                self._watched[id_] = False

    def unwatch(self, id_: str) -> None:
        """Stop polling for the answer of a request."""
        with self._wakeup:
            self._watched.pop(id_, None)

    def find_clients(self, id_: str) -> None:
        """Poll for clients of other processes that wait for a request, until one is found."""
        with self._wakeup:
            self._clientless.add(id_)
            self._wakeup.notify()

    def stop_finding_clients(self, id_: str) -> None:
        """Stop polling for clients of a request."""
        with self._wakeup:
            self._clientless.discard(id_)

    # Called by the thread.

    @property
    def is_needed(self) -> bool:
        """Whether there is anything to poll for, or a mark to remove."""
        return bool(self._watched or self._clientless or len(self._member.waiting_marks))

    def poll(self) -> PollResult:
        """Read the folder once, and update the marks of this process."""
        answers = self._member.poll_answers(self._next_watched())
        for answer in answers:
            self.unwatch(answer.id)
        self.update_marks()
        return PollResult(answers, self._poll_clients())

    def _next_watched(self) -> list[str]:
        """Return the ids to poll now, and move them to the end: the others are polled next."""
        with self._wakeup:
            ids = list(self._watched)[:MAX_POLLED_IDS]
            for id_ in ids:
                self._watched[id_] = self._watched.pop(id_)
        return ids

    def update_marks(self) -> None:
        """Let the owners of watched requests find whether clients of this process wait for them."""
        with self._wakeup:
            ids = [id_ for id_, has_clients in self._watched.items() if has_clients]
        with suppress(OSError):  # the next poll tries again
            self._member.waiting_marks.update(ids)

    def _poll_clients(self) -> list[str]:
        with self._wakeup:
            ids = list(self._clientless)
        found = self._member.waited_for(ids) if ids else []
        for id_ in found:
            self.stop_finding_clients(id_)
        return found
