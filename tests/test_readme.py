"""The README's example runs as printed."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith(
        "request 1 goes to worker 41\nSnapshot(queued_requests=0, open_attempts=0"
    )
