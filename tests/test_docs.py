"""The README, the contributing guide and the architecture page name only what there is."""

import re

import pytest
from support.processes import ROOT

PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", ROOT / "docs" / "architecture.md"]
PACKAGE = ROOT / "eiderfield"


def names_of_parts(text):
    """What stands in backticks in the cells of tables and looks like a package or a module."""
    cells = "\n".join(line for line in text.splitlines() if line.startswith("|"))
    return re.findall(r"`((?:\w+/)*\w+(?:/|\.py))`", cells)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_part_that_a_table_names_exists(page):
    names = names_of_parts(page.read_text())
    assert len(names) > 5
    assert [name for name in names if not (PACKAGE / name).exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_link_leads_to_a_file(page):
    links = re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text())
    assert links
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_the_architecture_page_names_each_package():
    text = (ROOT / "docs" / "architecture.md").read_text()
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")} - {
        "cli"
    }  # it is `eiderfield` there
    assert [name for name in sorted(packages) if name not in text] == []
