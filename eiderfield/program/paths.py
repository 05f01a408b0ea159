"""Where a dispatcher keeps what a later process of it is to find."""

from __future__ import annotations

import tempfile
from pathlib import Path

from eiderfield.config.address import Address


def state_path(listen: Address, suffix: str) -> Path:
    """The file of the dispatcher that serves clients at an address."""
    return Path(tempfile.gettempdir()) / f"eiderfield-{listen[0]}-{listen[1]}.{suffix}"
