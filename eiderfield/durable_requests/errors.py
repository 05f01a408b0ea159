"""What can go wrong with durable requests. Each error's text names the file or the settings key."""

from __future__ import annotations


class DurableRequestsError(RuntimeError):
    """The base of all. `transient` says that the same call may succeed in a while."""

    def __init__(self, text: str, transient: bool = False) -> None:
        """With what operators are told."""
        super().__init__(text)
        self.transient = transient


class FolderError(DurableRequestsError):
    """The shared folder cannot be used."""


class StoreError(DurableRequestsError):
    """A store cannot be opened, read or written."""


class EmptyStoreError(StoreError):
    """A store in which nothing was ever written: its writer was lost, or refused, before the first record."""
