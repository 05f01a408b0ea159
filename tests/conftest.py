"""Fixtures that every test file may use."""

from __future__ import annotations

import pytest
from support.policy import Node


@pytest.fixture
def node() -> Node:
    """A dispatcher's decisions with three workers."""
    return Node()
