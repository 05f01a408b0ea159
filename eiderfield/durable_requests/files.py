"""Files and links in the shared folder.

A file that cannot be read raises `OSError`; it never counts as absent.
"""

from __future__ import annotations

import os
from hashlib import blake2b
from pathlib import Path

from eiderfield.durable import (
    DRAFT_PREFIX,
    FOLDER_MODE,
    create_file,
    create_symlink,
    replace_file,
    sync_folder,
)

NAME_BYTES = 16  # size of the hash of an id or a key that is used as a file name


class FolderFiles:
    """The files of a folder and its subfolders. Methods raise `OSError` if the system refuses a call."""

    def __init__(self, path: Path, flush: bool = False) -> None:
        """Use the folder at `path`. With `flush`, methods that write return once the data is on the disk."""
        self.path = path
        self._flush = flush

    def create_folders(self, parts: tuple[str, ...]) -> None:
        """Create the folder and the subfolders `parts`, unless they exist."""
        for part in parts:
            (self.path / part).mkdir(parents=True, exist_ok=True, mode=FOLDER_MODE)
        if self._flush:
            sync_folder(self.path)

    def names(self, part: str, prefix: str = "") -> list[str]:
        """Return the sorted names in a subfolder that start with a prefix, without drafts."""
        try:
            names = [path.name for path in (self.path / part).iterdir()]
        except FileNotFoundError:
            return []
        return sorted(name for name in names if name.startswith(prefix) and not name.startswith(DRAFT_PREFIX))

    def read(self, *components: str) -> str:
        """Return the text of a file."""
        descriptor = os.open(self.path.joinpath(*components), os.O_RDONLY | os.O_CLOEXEC)
        with os.fdopen(descriptor, encoding="utf-8") as file:
            return file.read()

    def create(self, text: str, *components: str) -> None:
        """Create a file with its whole content. Raises `FileExistsError` if it exists."""
        create_file(self.path.joinpath(*components), text, self._flush)

    def replace(self, text: str, *components: str) -> None:
        """Replace the content of a file."""
        replace_file(self.path.joinpath(*components), text)

    def remove(self, *components: str) -> None:
        """Remove a file, if it exists."""
        self.path.joinpath(*components).unlink(missing_ok=True)

    def exists(self, *components: str) -> bool:
        """Return whether a file or a link exists."""
        try:
            os.lstat(self.path.joinpath(*components))
        except FileNotFoundError:
            return False
        return True

    def link(self, target: str, *components: str) -> bool:
        """Create a link. Returns False if it exists already."""
        return create_symlink(target, self.path.joinpath(*components), self._flush)

    def target(self, *components: str) -> str | None:
        """Return the target of a link, None if there is no link."""
        try:
            # `Path.readlink` would normalise the target, which may be any request id.
            return os.readlink(self.path.joinpath(*components))
        except FileNotFoundError:
            return None


def hashed_name(*words: str) -> str:
    """Return the file name of an id, or of a class and its idempotency key."""
    return blake2b("\0".join(words).encode(), digest_size=NAME_BYTES).hexdigest()
