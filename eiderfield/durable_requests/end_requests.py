"""Requests for the end of a job, which its owner finds at its next tick.

wishes/HASH    the id of the job
"""

from __future__ import annotations

import json
from contextlib import suppress

from eiderfield.durable_requests.files import FolderFiles, hashed

END_REQUESTS = "wishes"


class EndRequests:
    """All requests of that kind in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Reads nothing yet."""
        self._files = files

    def add(self, id_: str) -> None:
        """Requests the end of a job."""
        with suppress(FileExistsError):
            self._files.create(json.dumps({"id": id_}), END_REQUESTS, hashed(id_))

    def exists(self, id_: str) -> bool:
        """Whether the end of a job is requested."""
        return self._files.exists(END_REQUESTS, hashed(id_))

    def all(self) -> list[str]:
        """The ids of the jobs whose end is requested."""
        found = []
        for name in self._files.names(END_REQUESTS):
            with suppress(OSError, ValueError, LookupError, TypeError):
                found.append(str(json.loads(self._files.read(END_REQUESTS, name))["id"]))
        return found

    def remove(self, id_: str) -> None:
        """A request is over, granted or not."""
        self._files.remove(END_REQUESTS, hashed(id_))
