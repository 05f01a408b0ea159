"""End requests: each asks the owner of a request to cancel it. The owner finds them at its next tick.

wishes/HASH    the id of the request to cancel
"""

from __future__ import annotations

import json
from contextlib import suppress

from eiderfield.durable_requests.files import FolderFiles, hashed_name

END_REQUESTS = "wishes"  # the subfolder, whose stored name is older than this module's


class EndRequests:
    """All end requests in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Use the folder of `files`."""
        self._files = files

    def add(self, id_: str) -> None:
        """Request the end of a request."""
        with suppress(FileExistsError):
            self._files.create(json.dumps({"id": id_}), END_REQUESTS, hashed_name(id_))

    def exists(self, id_: str) -> bool:
        """Return whether the end of a request has been requested."""
        return self._files.exists(END_REQUESTS, hashed_name(id_))

    def all(self) -> list[str]:
        """Return the ids of all requests whose end has been requested."""
        ids = []
        for name in self._files.names(END_REQUESTS):
            with suppress(OSError, ValueError, LookupError, TypeError):
                ids.append(str(json.loads(self._files.read(END_REQUESTS, name))["id"]))
        return ids

    def remove(self, id_: str) -> None:
        """Remove an end request that has been handled."""
        self._files.remove(END_REQUESTS, hashed_name(id_))
