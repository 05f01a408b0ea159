"""The regression of both deployments: what it reads from a journal, and what it calls a fall."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from eiderfield.cli import main
from eiderfield.lab.regression import (
    BenchError,
    Comparison,
    Panel,
    Score,
    bench_commands,
    latest_score,
    read_journal,
    run_benches,
    score_of,
)

PANEL = Panel("real-score", "here", "real:here:quick")


def snapshot(id_, figure, *, ok=True, gate=None, days=(), cmd="real-score"):
    figures = {"real_score": figure} if gate is None else {"real_score": figure, "gate": gate}
    return {
        "id": id_,
        "cmd": cmd,
        "site": "here",
        "panel": PANEL.days,
        "ok": ok,
        "figures": figures,
        "policy": [{"path": "decide.py"}],
        "days": list(days),
    }


def test_only_scores_are_read_and_the_last_whole_one_counts(tmp_path):
    snapshots = [
        snapshot("a", 0.5),
        snapshot("b", 0.6),
        {**snapshot("c", 0.1), "cmd": "real"},
        snapshot("d", None),
    ]
    snapshots.append({**snapshot("e", 0.9), "policy": None})
    for number, written in enumerate(snapshots):
        (tmp_path / f"{number}.json").write_text(json.dumps(written))
    (tmp_path / "9.json").write_text("{")
    journal = read_journal(tmp_path)
    assert [score.id for score in journal.values()] == ["a", "b", "d"]
    assert latest_score(journal.values(), PANEL).id == "b"
    assert latest_score(journal.values(), Panel("score", "here", "other")) is None


@pytest.mark.parametrize(
    ("now", "before", "expected"),
    [
        (snapshot("n", 0.70), 0.72, "kept"),
        (snapshot("n", 0.70), 0.74, "fell"),
        (snapshot("n", 0.70), None, "kept"),
        (snapshot("n", 0.9, gate=0.0), 0.5, "failed"),
        (snapshot("n", 0.9, ok=False), 0.5, "failed"),
        (snapshot("n", None), 0.5, "failed"),
        (snapshot("n", 0.9, days=[{"fault": "a crash"}]), 0.5, "failed"),
        (snapshot("n", 0.9, days=[{"rules": {"drain": 2}}]), 0.5, "failed"),
    ],
)
def test_a_failed_gate_a_broken_rule_and_a_fall_are_told_apart(now, before, expected):
    earlier = None if before is None else Score("b", PANEL, before, True, None)
    assert Comparison(score_of(now), earlier).verdict == expected


def kit(tmp_path, figures):
    """A kit whose benches leave one score each."""
    (tmp_path / "journal").mkdir()
    left = iter(figures)

    def run(_command, cwd, **_more):
        number = len(list((cwd / "journal").iterdir()))
        if (figure := next(left)) is not None:
            (cwd / "journal" / f"{number}.json").write_text(json.dumps(snapshot(f"s{number}", figure)))
        return SimpleNamespace(stdout="bench said so", stderr="")

    return run


def test_sites_are_played_in_turn_each_beside_the_last_of_its_panel(tmp_path):
    said = []
    sites = [Path("kit/users/one.toml"), Path("kit/users/two.toml")]
    bench = kit(tmp_path, [0.5, 0.6, 0.4, 0.7])
    rows = run_benches(tmp_path, Path("kit"), sites, "Why.", said.append, bench)
    assert [(row.now.figure, row.before and row.before.figure) for row in rows] == [
        (0.5, None),
        (0.6, 0.5),
        (0.4, 0.6),
        (0.7, 0.4),
    ]
    assert [line.split()[0] for line in said] == ["kit/bin/lbsim", "kit/real/bin/lbreal"] * 2
    assert [row.verdict for row in rows] == ["kept", "kept", "fell", "kept"]


def test_a_bench_that_leaves_no_score_is_named_with_what_it_said(tmp_path):
    with pytest.raises(BenchError, match="lbsim left no score: bench said so"):
        run_benches(tmp_path, Path("kit"), [Path("kit/users/one.toml")], "Why.", print, kit(tmp_path, [None]))


def test_a_site_outside_the_kits_folders_is_refused_by_name(tmp_path):
    with pytest.raises(ValueError, match=r"SITES: .*elsewhere"):
        bench_commands(Path("kit"), tmp_path / "elsewhere.toml", "Why.")


def test_the_command_ends_with_1_on_a_fall(tmp_path, monkeypatch):
    site = tmp_path / "users" / "here.toml"
    site.parent.mkdir()
    site.write_text("")
    low, high = score_of(snapshot("low", 0.2)), score_of(snapshot("high", 0.9))
    words = ["lab", "regression", "--kit", str(tmp_path), "--why", "Why.", str(site)]
    for rows, code in ([Comparison(low, high)], 1), ([Comparison(high, low)], 0):
        monkeypatch.setattr("eiderfield.lab.regression.run_benches", lambda *_args, rows=rows: rows)
        result = CliRunner().invoke(main, words)
        assert result.exit_code == code, result.output
        assert "0.200" in result.output
        assert "0.900" in result.output
