"""Fixtures that every test file may use."""

from __future__ import annotations

import importlib
import pkgutil
import signal
import tempfile
from pathlib import Path

import pytest
from support.policy import Node

import eiderfield

pytest_plugins = ["support.durable_members", "support.known_red", "support.schedule"]


def pytest_configure() -> None:
    """Imports the whole package before the first test.

    hypothesis draws from the constants of all modules of the project that are loaded when it first needs
    some: with a package loaded in part, the examples of one test would depend on which others ran before it.
    """
    for module in pkgutil.walk_packages(eiderfield.__path__, "eiderfield."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


@pytest.fixture(scope="session", autouse=True)
def signals_as_a_shell_leaves_them() -> None:
    """Hang-ups end a process, also where the tests run under `nohup`: what they start inherits that."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


@pytest.fixture(autouse=True)
def own_temporary_folder(tmp_path_factory: pytest.TempPathFactory, monkeypatch: pytest.MonkeyPatch) -> Path:
    """An empty folder as `$TMPDIR` of each test and its processes.

    Dispatchers keep their bans and the socket of a handover there, named by the address that they listen on:
    in a folder in common, a test could find what another has left.
    """
    folder = tmp_path_factory.mktemp("tmpdir")
    monkeypatch.setenv("TMPDIR", str(folder))
    monkeypatch.setattr(tempfile, "tempdir", None)
    return folder


@pytest.fixture
def node() -> Node:
    """A dispatcher's decisions with three workers."""
    return Node()
