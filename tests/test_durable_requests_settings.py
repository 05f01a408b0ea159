"""Unusable folders and settings are refused with the key that an operator has to change."""

from __future__ import annotations

import pytest

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.durable_requests.errors import FolderError
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.settings import read as read_settings
from eiderfield.interface import Effect, RequestClass, Settings


def test_unusable_folder_is_refused_with_its_key(tmp_path):
    with pytest.raises(FolderError, match="not a folder of durable requests"):
        SharedFolder(tmp_path, create=False)
    SharedFolder(tmp_path / "x")
    (tmp_path / "x" / "form").write_text("9")
    with pytest.raises(FolderError, match=r"custody\.folder: .* is of form '9'"):
        SharedFolder(tmp_path / "x")
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder"):
        SharedFolder(tmp_path / "file")


SETTINGS = Settings(
    (
        RequestClass("report", 3.0, 300.0, 6000.0, Effect.KEYED),
        RequestClass("look", 1.0, 9.0, 900.0, Effect.SAFE),
    )
)


@pytest.mark.parametrize(
    ("table", "key"),
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
def test_faulty_table_is_refused_with_its_key(table, key):
    with pytest.raises(ConfigError) as error:
        read_settings(TableReader(table, "custody"), SETTINGS)
    assert str(error.value).startswith(key)
