"""The marks of one process, by which owners know that its clients wait for their requests.

The marks follow the set of requests that the event loop asks for. After the end of an incarnation they are
written again under the name of the next one; a process that has left keeps its last name.
"""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.durable_requests.context import Context


class WaitingMarks:
    """The marks of one process (`remote_clients.py`)."""

    def __init__(self, context: Context) -> None:
        """Write into the folder of `context`."""
        self._context = context
        self._incarnation = ""  # under whose name the marks are
        self._marked: set[str] = set()  # request ids

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self._marked)

    def update(self, ids: Iterable[str]) -> None:
        """Mark these requests, and no others, and renew the lease of the marks.

        After an `OSError` a later call writes what is missing.
        """
        incarnation = self._context.last_own_name
        if not incarnation:
            return
        if incarnation != self._incarnation:
            self.remove_all()
            self._incarnation = incarnation
        wanted = set(ids)
        for id_ in wanted - self._marked:
            self._context.folder.remote_clients.add(id_, incarnation)
            self._marked.add(id_)
        for id_ in self._marked - wanted:
            self._context.folder.remote_clients.remove(id_, incarnation)
            self._marked.discard(id_)
        if self._marked:
            self._context.folder.remote_clients.renew(incarnation, self._context.now())

    def remove_all(self) -> None:
        """Remove all marks. Raises `OSError`."""
        if self._incarnation:
            self._context.folder.remote_clients.remove_all(self._incarnation)
            self._marked.clear()
