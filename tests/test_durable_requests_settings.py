"""Folders and settings that are refused, each by its key."""

from __future__ import annotations

import pytest

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.durable_requests.errors import FolderError
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.settings import read as read_settings
from eiderfield.interface import Effect, RequestClass, Settings


def test_a_folder_of_another_form_or_none_is_refused_by_name(tmp_path):
    with pytest.raises(FolderError, match="not a folder of durable requests"):
        SharedFolder(tmp_path, create=False)
    SharedFolder(tmp_path / "x")
    (tmp_path / "x" / "form").write_text("9")
    with pytest.raises(FolderError, match=r"custody\.folder: .* is of form '9'"):
        SharedFolder(tmp_path / "x")
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder"):
        SharedFolder(tmp_path / "file")


SITE = Settings(
    (
        RequestClass("report", 3.0, 300.0, 6000.0, Effect.KEYED),
        RequestClass("look", 1.0, 9.0, 900.0, Effect.SAFE),
    )
)


@pytest.mark.parametrize(
    ("told", "key"),
    [
        ({}, "custody.folder"),
        ({"folder": "run/x", "classes": ["report"]}, "custody.folder"),
        ({"folder": "/x"}, "custody.classes"),
        ({"folder": "/x", "classes": []}, "custody.classes"),
        ({"folder": "/x", "classes": ["reports"]}, "custody.classes"),
        ({"folder": "/x", "classes": ["look"], "lease_ms": 900}, "custody.lease_ms"),
        ({"folder": "/x", "classes": ["report"], "lease_ms": 1}, "custody.lease_ms"),
        ({"folder": "/x", "classes": ["report"], "leese_ms": 900}, "custody.leese_ms"),
        ({"folder": "/x", "classes": ["report"], "flush": 1}, "custody.flush"),
    ],
)
def test_a_faulty_table_is_refused_by_its_key(told, key):
    with pytest.raises(ConfigError) as error:
        read_settings(TableReader(told, "custody"), SITE)
    assert str(error.value).startswith(key)
