"""Errors of durable requests.

DurableRequestsError
    FolderError             the shared folder
    DispatcherNameError     the dispatcher's name
    StoreError              a store in the folder
        EmptyStoreError
"""

from __future__ import annotations

from pathlib import Path

from eiderfield.errors import EiderfieldError

FOLDER_KEY = "custody.folder"  # the settings key of the shared folder's path
MAX_SHOWN_NAME = 40  # characters of a name that a message shows


class DurableRequestsError(EiderfieldError, RuntimeError):
    """Base of all errors of durable requests.

    `transient` tells whether the same call may succeed later, without an operator. `key` is the settings key
    that an operator has to change, '' for none.
    """

    def __init__(self, message: str, transient: bool = False, key: str = "") -> None:
        """Create an error with a message for operators."""
        super().__init__(message)
        self.transient = transient
        self.key = key


class FolderError(DurableRequestsError):
    """The shared folder, `path`, cannot be used. `key` is '' if the command line gave the path."""

    def __init__(self, path: Path, reason: str, key: str = "", transient: bool = False) -> None:
        """Create an error with a message of key, path and reason."""
        super().__init__(f"{key}: {path}: {reason}" if key else f"{path}: {reason}", transient, key)
        self.path = path
        self.reason = reason


class DispatcherNameError(DurableRequestsError):
    """The dispatcher's `name` cannot be used as the name of a file."""

    def __init__(self, name: str) -> None:
        """Create an error for a dispatcher's name."""
        message = f"name is not a plain word, as [custody] needs it: {name[:MAX_SHOWN_NAME]!r}"
        super().__init__(message, key="name")
        self.name = name


class StoreError(DurableRequestsError):
    """A store cannot be opened, read or written. `path` is its file."""

    def __init__(self, path: Path, reason: str, transient: bool = False) -> None:
        """Create an error with a message of path and reason."""
        super().__init__(f"{path}: {reason}", transient)
        self.path = path
        self.reason = reason


class EmptyStoreError(StoreError):
    """Nothing was ever written to a store: its writer was lost or refused before the first record."""

    def __init__(self, path: Path) -> None:
        """Create an error for the file of a store."""
        super().__init__(path, "empty")
