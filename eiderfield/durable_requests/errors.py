"""Errors of durable requests.

DurableRequestsError
    FolderError             the shared folder
    DispatcherNameError     the dispatcher's name
    StoreError              a store in the folder
        EmptyStoreError
"""

from __future__ import annotations

from pathlib import Path

FOLDER_KEY = "custody.folder"  # the key of the settings that names the shared folder


class DurableRequestsError(RuntimeError):
    """Base of all errors of durable requests.

    `transient` says that the same call may succeed later, without an operator.
    """

    def __init__(self, message: str, transient: bool = False) -> None:
        """Create an error with a message for operators."""
        super().__init__(message)
        self.transient = transient


class FolderError(DurableRequestsError):
    """The shared folder cannot be used.

    `path` is the folder; `key` is the key of the settings that names it, '' if it is from the command line.
    """

    def __init__(self, path: Path, reason: str, key: str = "", transient: bool = False) -> None:
        """Create an error with a message of key, path and reason."""
        super().__init__(f"{key}: {path}: {reason}" if key else f"{path}: {reason}", transient)
        self.path = path
        self.key = key
        self.reason = reason


class DispatcherNameError(DurableRequestsError):
    """The dispatcher's `name` cannot be used as the name of a file."""

    def __init__(self, name: str) -> None:
        """Create an error for a dispatcher's name."""
        super().__init__(f"name is not a plain word, as [custody] needs it: {name[:40]!r}")
        self.name = name


class StoreError(DurableRequestsError):
    """A store cannot be opened, read or written. `path` is its file."""

    def __init__(self, path: Path, reason: str, transient: bool = False) -> None:
        """Create an error with a message of path and reason."""
        super().__init__(f"{path}: {reason}", transient)
        self.path = path
        self.reason = reason


class EmptyStoreError(StoreError):
    """Nothing was ever written to a store: its writer was lost, or refused, before the first record."""

    def __init__(self, path: Path) -> None:
        """Create an error for the file of a store."""
        super().__init__(path, "empty")
