"""The handover messages that three earlier revisions wrote.

Those of 731b84e are in `tests/golden/handover`, those of 456c0d9 in `tests/golden/456c0d9/handover`, those of
3888fce in `tests/golden/3888fce/handover`.
"""

import json
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).parent.parent / "golden" / "handover"
FOLDERS = {
    "731b84e": GOLDEN,
    "456c0d9": GOLDEN.parent / "456c0d9" / "handover",
    "3888fce": GOLDEN.parent / "3888fce" / "handover",
}


def recorded(revision: str, name: str) -> tuple[dict[str, Any], int]:
    """Return a message as a revision wrote it, and how many descriptors came with it."""
    told = json.loads((FOLDERS[revision] / f"{name}.json").read_text())
    return told["message"], told["descriptors"]
