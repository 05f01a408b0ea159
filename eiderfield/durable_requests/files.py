"""Files and links under the shared folder. What cannot be read is not taken for absent."""

from __future__ import annotations

import os
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path

from eiderfield.durable import DRAFT, create_file, create_symlink, replace_file, sync_folder


class FolderFiles:
    """The files of a folder with parts. `OSError` for what the system refuses. With `flush`, what is written
    is on the disk before a call returns."""

    def __init__(self, path: Path, flush: bool = False) -> None:
        """Touches nothing yet."""
        self.path = path
        self._flush = flush

    def make(self, parts: tuple[str, ...]) -> None:
        """Makes the folder and its parts, where they are not there."""
        for part in parts:
            (self.path / part).mkdir(parents=True, exist_ok=True, mode=0o700)
        if self._flush:
            sync_folder(self.path)

    def names(self, part: str, prefix: str = "") -> list[str]:
        """The names in a part, but for drafts."""
        try:
            names = os.listdir(self.path / part)
        except FileNotFoundError:
            return []
        return sorted(name for name in names if name.startswith(prefix) and not name.startswith(DRAFT))

    def read(self, *place: str) -> str:
        """A file's text."""
        descriptor = os.open(self.path.joinpath(*place), os.O_RDONLY | os.O_CLOEXEC)
        with os.fdopen(descriptor, encoding="utf-8") as file:
            return file.read()

    def create(self, text: str, *place: str) -> None:
        """Makes a file whole or not at all; `FileExistsError` if it is there."""
        create_file(self.path.joinpath(*place), text, self._flush)

    def replace(self, text: str, *place: str) -> None:
        """Gives a file a new content."""
        replace_file(self.path.joinpath(*place), text)

    def remove(self, *place: str) -> None:
        """Removes a file, if it is there."""
        with suppress(FileNotFoundError):
            os.unlink(self.path.joinpath(*place))

    def exists(self, *place: str) -> bool:
        """Whether a file or a link is there."""
        try:
            os.lstat(self.path.joinpath(*place))
        except FileNotFoundError:
            return False
        return True

    def link(self, target: str, *place: str) -> bool:
        """Makes a link that must not be there. False if it is."""
        return create_symlink(target, self.path.joinpath(*place), self._flush)

    def target(self, *place: str) -> str | None:
        """What a link names, None if it is not there."""
        try:
            return os.readlink(self.path.joinpath(*place))
        except FileNotFoundError:
            return None


def hashed(*words: str) -> str:
    """The name under which an id, or a class's key, is found."""
    return blake2b("\0".join(words).encode(), digest_size=16).hexdigest()
