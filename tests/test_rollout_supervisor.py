"""The supervisor of a change's controller in the fault-injection rig."""

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
    """The phases that the next reads of the journal return; the last one stays."""
    phases = [Phase.WATCHING]

    def read_journal(_folder):
        phase = phases.pop(0) if len(phases) > 1 else phases[0]
        return SimpleNamespace(state=SimpleNamespace(phase=phase))

    controller = SimpleNamespace(pid=os.getpid(), poll=lambda: None)
    monkeypatch.setattr(rollout_supervisor, "read_journal", read_journal)
    monkeypatch.setattr(rollout_supervisor.subprocess, "Popen", lambda *_words, **_options: controller)
    monkeypatch.setattr(rollout_supervisor, "HELD_AFTER_S", -1.0)
    return phases


def test_decision_for_a_change_held_between_two_journal_reads_is_sent(phases, tmp_path):
    """Seen: the run ended as held. The first read found the change watched, and the second found it held."""
    supervisor = ControllerSupervisor(tmp_path, Change(decision="undo"))
    fleet = SimpleNamespace()
    supervisor.step(fleet)  # starts the controller
    phases[:] = [Phase.WATCHING, Phase.HELD]
    supervisor.step(fleet)
    assert not supervisor.over
    supervisor.step(fleet)
    assert not supervisor.over
    assert CommandFile(tmp_path).pending() is OperatorCommand.UNDO
