"""Tests of the laboratory's supervisor of rollout controllers."""

from __future__ import annotations

import os
from types import SimpleNamespace

import pytest

from eiderfield.lab.fleet import rollout_supervisor
from eiderfield.lab.fleet.rollout_change import Change
from eiderfield.lab.fleet.rollout_supervisor import ControllerSupervisor
from eiderfield.rollout.operator_command import CommandFile, OperatorCommand
from eiderfield.rollout.state import Phase


@pytest.fixture
def phases(monkeypatch):
    """Return a list of the phases that successive reads of the journal return; the last one repeats."""
    phases = [Phase.WATCHING]

    def read_journal(_folder):
        phase = phases.pop(0) if len(phases) > 1 else phases[0]
        return SimpleNamespace(state=SimpleNamespace(phase=phase))

    controller = SimpleNamespace(pid=os.getpid(), poll=lambda: None)
    monkeypatch.setattr(rollout_supervisor, "read_journal", read_journal)
    monkeypatch.setattr(rollout_supervisor.subprocess, "Popen", lambda *_arguments, **_options: controller)
    monkeypatch.setattr(rollout_supervisor, "HELD_AFTER_S", -1.0)
    return phases


def test_decision_for_change_held_between_two_journal_reads_is_sent(phases, tmp_path):
    """The run must not end as held before the operator's decision is sent.

    One step reads the journal twice. The change may become held between the reads: the first read finds
    `watching` and sends no decision, the second one finds `held`, which once ended the run.
    """
    supervisor = ControllerSupervisor(tmp_path, Change(decision="undo"))
    fleet = SimpleNamespace()
    supervisor.step(fleet)  # starts the controller
    phases[:] = [Phase.WATCHING, Phase.HELD]
    supervisor.step(fleet)
    assert not supervisor.over
    supervisor.step(fleet)
    assert not supervisor.over
    assert CommandFile(tmp_path).pending() is OperatorCommand.UNDO
