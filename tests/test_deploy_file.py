"""`deploy/balancer.toml` names the files that the program is made of."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "eiderfield"
SHARED = {PACKAGE / "interface.py", PACKAGE / "wire.py"}  # what `policy` and `node` both speak
LIST_IMPORTS = """
import importlib, json, sys
importlib.import_module(sys.argv[1])
modules = [module for name, module in sys.modules.items() if name.startswith("eiderfield")]
files = [getattr(module, "__file__", None) for module in modules]
print(json.dumps([file for file in files if file]))
"""


def imported_by(module):
    """The package's files that a fresh interpreter reads for a module, package markers left out."""
    done = subprocess.run(
        [sys.executable, "-c", LIST_IMPORTS, module], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return {Path(file) for file in json.loads(done.stdout) if Path(file).name != "__init__.py"}


@pytest.fixture(scope="module")
def deploy():
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def covered(file, paths):
    return any(file == ROOT / path or (ROOT / path) in file.parents for path in paths)


@pytest.mark.parametrize("module", ["eiderfield.__main__", "eiderfield.durable_requests.coordinator"])
def test_each_file_of_the_dispatcher_is_named(deploy, module):
    files = imported_by(module) - SHARED
    assert [file for file in files if not covered(file, deploy["policy"] + deploy["node"])] == []


def test_each_name_is_there(deploy):
    assert [path for path in deploy["policy"] + deploy["node"] if not (ROOT / path).exists()] == []
