"""New settings without a restart: taken whole or refused whole, by the module, the program and a fleet."""

from __future__ import annotations

import json
import signal
from dataclasses import replace

import pytest
import tomlkit
from support.memory_dispatcher import SITE, InMemoryDispatcher
from support.processes import DISPATCHER, log_until_listening, running_program

from eiderfield.exchange.errors import FixedSettingError
from eiderfield.interface import Tenant
from eiderfield.lab.fleet.rollout_change import Change
from eiderfield.lab.fleet.rollout_draw import verdict
from eiderfield.lab.fleet.rollout_run import play_change
from eiderfield.lab.fleet.scenario import Scenario
from eiderfield.lab.ports import free_port
from eiderfield.lab.processes import call_console, wait_for


def changed(site, **more):
    """The site with other numbers for its first class."""
    return replace(site, classes=(replace(site.classes[0], **more), *site.classes[1:]))


def test_new_numbers_count_for_what_comes_and_what_is_held_is_answered():
    dispatcher = InMemoryDispatcher(workers=1)
    first, end = dispatcher.client(), dispatcher.dials[0].up()
    dispatcher.exchange.check_settings(
        site := replace(changed(SITE, priority_weight=50.0, latency_objective_ms=9000.0), max_attempts=1)
    )
    dispatcher.exchange.apply_settings(site)
    end.finish()
    assert first.answers()[0][0] == 200
    second = dispatcher.client(id_="r2")
    dispatcher.ends[-1].finish("lost")
    dispatcher.advance(20.0)
    assert second.answers()[0][0] != 200, "one attempt is allowed now, and it is lost"


def test_a_class_that_becomes_worth_more_is_sent_first():
    dispatcher = InMemoryDispatcher(workers=1)
    worths = zip(SITE.classes, (1.0, 1.0, 10.0), strict=True)
    site = replace(SITE, classes=tuple(replace(cls, priority_weight=worth) for cls, worth in worths))
    dispatcher.exchange.apply_settings(site)
    lanes = dispatcher.exchange.dispatcher._queues.by_weight
    assert [lane.request_class.name for lane in lanes[:2]] == [SITE.classes[2].name] * 2
    assert (
        dispatcher.exchange.dispatcher.pacers[2].floor_share
        > dispatcher.exchange.dispatcher.pacers[0].floor_share
    )


@pytest.mark.parametrize(
    ("site", "key"),
    [
        (changed(SITE, name="other"), "settings.classes"),
        (replace(SITE, classes=SITE.classes[1:]), "settings.classes"),
        (replace(SITE, tenants=(Tenant("t", 1.0, 1.0),)), "settings.projects"),
        (replace(SITE, load_report_fields=("x0",)), "settings.load_info.columns"),
        (replace(SITE, zone_count=SITE.zone_count + 1), "settings.zones"),
        (replace(SITE, subscribes_to_endpoints=not SITE.subscribes_to_endpoints), "settings.discovery"),
        (replace(SITE, gossip_allowed=not SITE.gossip_allowed), "settings.policy_limits.may_tell"),
        (
            replace(SITE, workers_report_start=not SITE.workers_report_start),
            "settings.family_info.tells_start",
        ),
    ],
)
def test_what_only_a_new_process_can_take_is_named_by_its_key(site, key):
    with pytest.raises(FixedSettingError, match=key) as refused:
        InMemoryDispatcher(workers=1).exchange.check_settings(site)
    assert refused.value.key == key


CLASS = {"name": "echo", "value": 1, "goal_time": 300, "give_up": 5000, "idempotency": "retryable"}


def file_of(**more):
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "console": f"127.0.0.1:{free_port()}",
        "discovery": {"kind": "consul", "address": "127.0.0.1:1", "service": "s", "token": "hidden"},
        "settings": {"classes": [CLASS]},
    }
    return {**told, **more}


def test_the_program_takes_a_file_whole_or_keeps_what_runs_and_shows_both(tmp_path):
    path, told = tmp_path / "c.toml", file_of()
    path.write_text(tomlkit.dumps(told))
    console = ("127.0.0.1", int(told["console"].rpartition(":")[2]))

    def running():
        return json.loads(call_console(console, "/-/config")[1])

    command = [*DISPATCHER, "--config", str(path)]
    with running_program(path, command, wait=False) as process:
        log_until_listening(process)

        def give(**more):
            path.write_text(tomlkit.dumps({**told, **more}))
            process.send_signal(signal.SIGHUP)

        first = running()
        assert (first["generation"], first["refused"], first["pid"]) == (1, None, process.pid)
        assert first["settings"]["discovery"]["token"] == "***"
        give(settings={"classes": [{**CLASS, "value": 7}]})
        wait_for("the new value", lambda: running()["generation"] == 2)
        second = running()
        assert second["settings"]["settings"]["classes"][0]["value"] == 7
        assert second["digest"] != first["digest"]
        give(settings={"classes": [{**CLASS, "value": 9}]}, limits={"sockets": 2000})
        wait_for("the refusal", lambda: running()["refused"] is not None)
        third = running()
        assert third["refused"]["why"].startswith("limits.sockets")
        assert third["digest"] == second["digest"]
        assert third["refused"]["settings"]["settings"]["classes"][0]["value"] == 9
        assert third["settings"]["settings"]["classes"][0]["value"] == 7
        assert third["generation"] == 2
        path.write_text("not = [toml")
        process.send_signal(signal.SIGHUP)
        wait_for("another refusal", lambda: "TOML" in running()["refused"]["why"])
        give()
        wait_for("the first file again", lambda: running()["digest"] == first["digest"])
        assert running()["refused"] is None


SCENARIO = Scenario(dispatchers=3, workers=6, slots=4, cell=3, jobs=6000, rate=100.0, notice=0.3)
QUICK = {"before": 1.5, "worse": 0.2, "slower": 1.0, "settle": 0.3}
GOOD = '[[settings.classes]]\nname = "lookup"\nvalue = 2.0\n[settings.policy_limits]\nmax_attempts = 3\n'


@pytest.mark.real_time
def test_new_settings_go_to_a_fleet_in_stages_without_a_restart(tmp_path):
    told = Change(program="", settings=GOOD, watch=QUICK, banned_worker="w5")
    found = play_change(SCENARIO, told, tmp_path / "run")
    assert found.phase == "done", found
    assert found.findings == [], found
    assert found.versions == dict.fromkeys(("n0", "n1", "n2"), "new")
    assert found.bans_kept
    assert verdict(replace(told, program="none"), found) == "right"


@pytest.mark.real_time
def test_settings_that_a_dispatcher_does_not_take_are_put_back_everywhere(tmp_path):
    """The first dispatcher refuses what only a new process can take; its file is what it was."""
    told = Change(program="", settings="[limits]\nsockets = 600\n", watch=QUICK)
    found = play_change(SCENARIO, told, tmp_path / "run")
    assert found.phase == "undone", found
    assert "limits.sockets" in found.why, found
    assert found.versions == dict.fromkeys(("n0", "n1", "n2"), "old")
    assert "sockets = 512" in (tmp_path / "run" / "n0.toml").read_text()
