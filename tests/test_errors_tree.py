"""Every error that the package defines belongs to the tree below `EiderfieldError`."""

import ast

import pytest
from support.processes import ROOT

from eiderfield.config.errors import ConfigError
from eiderfield.durable_requests.errors import FolderError
from eiderfield.errors import EiderfieldError
from eiderfield.exchange.errors import FixedSettingError, RequestIdInUseError
from eiderfield.net.handover.errors import HandoverError

BUILT_IN = {"Exception", "ValueError", "RuntimeError", "OSError", "LookupError", "KeyError", "TypeError"}


def error_classes():
    """Return the bases of each class of the package whose name, or whose base, is that of an error."""
    found = {}
    for path in (ROOT / "eiderfield").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                bases = [
                    base.id if isinstance(base, ast.Name) else base.attr
                    for base in node.bases
                    if isinstance(base, ast.Name | ast.Attribute)
                ]
                if node.name.endswith("Error") or any(base.endswith("Error") for base in bases):
                    found.setdefault(node.name, []).append(bases)
    return found


CLASSES = error_classes()


def derives(name):
    """Whether each class of this name derives from `EiderfieldError`."""
    if name == "EiderfieldError":
        return True
    return name in CLASSES and all(any(derives(base) for base in bases) for bases in CLASSES[name])


def test_the_package_defines_errors():
    assert len(CLASSES) > 20


@pytest.mark.parametrize("name", sorted(CLASSES))
def test_an_error_derives_from_the_base_of_the_package(name):
    assert derives(name)


@pytest.mark.parametrize("name", sorted(CLASSES))
def test_the_name_of_an_error_ends_with_error(name):
    assert name.endswith("Error")


def test_no_class_derives_from_a_built_in_error_alone():
    alone = [name for name, kinds in CLASSES.items() if any(set(bases) <= BUILT_IN for bases in kinds)]
    assert alone == ["EiderfieldError"]


@pytest.mark.parametrize("kind", [ConfigError, FolderError, HandoverError, RequestIdInUseError])
def test_one_handler_catches_the_errors_of_each_package(kind):
    assert issubclass(kind, EiderfieldError)


def test_an_error_names_its_id_or_key():
    assert RequestIdInUseError("r1").id == "r1"
    assert FixedSettingError("settings.zones", "is fixed").key == "settings.zones"
