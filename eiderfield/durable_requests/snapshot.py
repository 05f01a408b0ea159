"""Copies a folder while its members use it, and restores a folder from such a copy."""

from __future__ import annotations

import shutil
from contextlib import closing
from pathlib import Path

from eiderfield.durable import DRAFT_PREFIX
from eiderfield.durable_requests.errors import FolderError
from eiderfield.durable_requests.fences import FENCES
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.ids import FIRST_GENERATION
from eiderfield.durable_requests.incarnations import MEMBERS
from eiderfield.durable_requests.inspection import Inspection, StoredRequest


def copy_folder(source: Path, target: Path) -> int:
    """Copy a folder, or a copy of one, into a new folder. Return the number of requests.

    Dispatchers that start on the copy take over all requests without an answer at the time of the copy.
    Raises `FolderError` if `target` is not empty.
    """
    if target.exists() and any(target.iterdir()):
        raise FolderError(target, "is not empty")
    inspection, copy = Inspection(source), SharedFolder(target)
    for part in (MEMBERS, FENCES):
        _copy_files(source / part, target / part)
    for name in inspection.folder.stored_incarnations():
        with closing(inspection.open_store(name)) as store:
            store.copy_to(copy.store_path(name))
    return sum(_copy_ids(request, inspection.folder, copy) for request in Inspection(source).requests())


def _copy_files(source: Path, target: Path) -> None:
    for file in source.iterdir():
        if not file.name.startswith(DRAFT_PREFIX):
            shutil.copy2(file, target / file.name)


def _copy_ids(request: StoredRequest, folder: SharedFolder, copy: SharedFolder) -> bool:
    """Acquire a request's id and key in the copy as in the folder. Return whether the id has a holder."""
    record = request.record
    holder = folder.ids.holder(record.id)
    if holder is None:
        return False
    for generation in range(FIRST_GENERATION, holder.generation + 1):
        copy.ids.acquire(record.id, holder.incarnation, generation)
    if record.key:
        copy.ids.acquire_key(record.class_name, record.key, record.id)
    return True
