"""The log lines and console words that docs/oncall.md quotes stand in the code."""

import ast
import re

import pytest
from support.processes import ROOT

VALUE = "\0"  # stands for what an f-string inserts
PLACEHOLDER = r"\.\.\.|\b[NM]\b|\bn\d+\.\d+|\d+"  # what a quote writes for such a value
FOREIGN = {"database or disk is full"}  # SQLite's own message


def quotes():
    """Return the quoted texts of the page, without those that stand in code."""
    text = re.sub(r"`[^`\n]*`", "", (ROOT / "docs" / "oncall.md").read_text())
    found = set(re.findall(r'"([^"]{6,}?)"', text.replace("\n  ", " ")))
    return sorted(found - FOREIGN)


def literals():
    """Return every string of the package but docstrings, with `VALUE` for what an f-string inserts."""
    found = []
    for path in (ROOT / "eiderfield").rglob("*.py"):
        nodes = list(ast.walk(ast.parse(path.read_text())))
        docstrings = {id(node.value) for node in nodes if isinstance(node, ast.Expr)}
        for node in nodes:
            if id(node) in docstrings:
                continue
            if isinstance(node, ast.JoinedStr):
                parts = [part.value if isinstance(part, ast.Constant) else VALUE for part in node.values]
                found.append("".join(parts))
            elif isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.append(node.value)
    return "\n".join(found)


LITERALS = literals()


def stands_in_code(quote):
    """Whether strings of the package hold each part of the quote, with any value for a placeholder.

    The parts of a line are separated by a colon or a semicolon: its reason may come from another string.
    """
    for part in re.split(r"[:;] ", quote):
        fragments = [re.escape(fragment.strip()) for fragment in re.split(PLACEHOLDER, part)]
        if re.search(r"[^\n]*?".join(fragments), LITERALS) is None:
            return False
    return True


def test_quotes_are_found():
    assert len(quotes()) > 15


@pytest.mark.parametrize("quote", quotes())
def test_a_quoted_line_stands_in_the_code(quote):
    assert stands_in_code(quote)


@pytest.mark.parametrize("quote", ["exchange: event loop stopped (ms=N)", "listens off"])
def test_a_line_that_is_not_in_the_code_is_found(quote):
    assert not stands_in_code(quote)
