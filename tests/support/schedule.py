"""A pytest plugin that says which tests run at the same time when pytest-xdist spreads them over processes.

Tests marked `real_time` start several processes and judge them by the wall clock. They run in a few
sequences, so that the processors which they need stay free; `--dist loadgroup` keeps a group's tests on one
process. Tests marked `long` start first, so that none of them is left for the end.
"""

from __future__ import annotations

import pytest

REAL_TIME_SEQUENCES = 3


@pytest.hookimpl(tryfirst=True)  # xdist reads the groups in the same hook
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Groups the real-time tests and orders the others."""
    real_time = [item for item in items if item.get_closest_marker("real_time") is not None]
    for number, item in enumerate(real_time):
        item.add_marker(pytest.mark.xdist_group(f"real-time-{number % REAL_TIME_SEQUENCES}"))
    items.sort(key=lambda item: item.get_closest_marker("long") is None)
