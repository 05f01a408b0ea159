"""Tests that every error class of the package derives from `EiderfieldError`."""

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
    """Return the bases of each class of the package whose name, or the name of a base, ends with `Error`."""
    bases_by_name = {}
    for path in (ROOT / "eiderfield").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                bases = [
                    base.id if isinstance(base, ast.Name) else base.attr
                    for base in node.bases
                    if isinstance(base, ast.Name | ast.Attribute)
                ]
                if node.name.endswith("Error") or any(base.endswith("Error") for base in bases):
                    bases_by_name.setdefault(node.name, []).append(bases)
    return bases_by_name


ERROR_CLASSES = error_classes()


def derives_from_base(name):
    """Return whether each class with this name derives from `EiderfieldError`."""
    if name == "EiderfieldError":
        return True
    return name in ERROR_CLASSES and all(
        any(derives_from_base(base) for base in bases) for bases in ERROR_CLASSES[name]
    )


def test_package_defines_error_classes():
    assert len(ERROR_CLASSES) > 20


@pytest.mark.parametrize("name", sorted(ERROR_CLASSES))
def test_error_class_derives_from_eiderfield_error(name):
    assert derives_from_base(name)


@pytest.mark.parametrize("name", sorted(ERROR_CLASSES))
def test_name_of_an_error_class_ends_with_error(name):
    assert name.endswith("Error")


def test_only_eiderfield_error_derives_from_built_in_errors_alone():
    underived = [
        name
        for name, definitions in ERROR_CLASSES.items()
        if any(set(bases) <= BUILT_IN for bases in definitions)
    ]
    assert underived == ["EiderfieldError"]


@pytest.mark.parametrize("error_class", [ConfigError, FolderError, HandoverError, RequestIdInUseError])
def test_errors_of_each_subpackage_are_eiderfield_errors(error_class):
    assert issubclass(error_class, EiderfieldError)


def test_error_has_the_id_or_key_as_attribute():
    assert RequestIdInUseError("r1").id == "r1"
    assert FixedSettingError("settings.zones", "is fixed").key == "settings.zones"
