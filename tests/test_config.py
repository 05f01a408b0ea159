"""Loading of the configuration, and the tool that writes it."""

import json
from math import inf
from pathlib import Path

import pytest

from eiderfield import tool
from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import load, read, read_text

ROOT = Path(__file__).parent.parent
CLASS = {"name": "a", "value": 1.0, "goal_time": 5.0, "give_up": 9.0, "idempotency": "retryable"}
PLAIN = {
    "name": "n0",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": {"classes": [CLASS], "zones": ["a", "b"], "policy_limits": {"conn_idle": 700.0}},
}


@pytest.fixture
def batch_file():
    """The text of the example with a batch front."""
    return (ROOT / "deploy" / "claims-batch.toml").read_text()


def connections(config):
    return config.client_connections + config.worker_connections


def test_the_platforms_file_is_read_beside_the_environment(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(PLAIN))
    config = load({"LB_CONFIG": str(file), "LB_NAME": "n7", "LB_LISTEN": "127.0.0.2:1"})
    assert (config.name, config.listen, config.discovery.address) == (
        "n7",
        ("127.0.0.2", 1),
        ("127.0.0.1", 8500),
    )
    assert config.worker_idle_timeout_ms == 700.0
    assert config.zones == ("a", "b")
    assert config.batch is None
    assert config.client_connections + config.worker_connections < 1024


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("listen", {"listen": "nowhere"}),
        ("listen", {"listen": None}),
        ("discovery", {"discovery": None}),
        ("discovery.kind", {"discovery": {"kind": "dns"}}),
        ("discovery.address", {"discovery": {"kind": "consul", "service": "s"}}),
        ("discovery.service", {"discovery": {"kind": "consul", "address": "127.0.0.1:1"}}),
        ("limits.sockets", {"limits": {"sockets": 3}}),
        ("limits.memory_mb", {"limits": {"memory_mb": "much"}}),
        ("limits.worker_share", {"limits": {"worker_share": 1.0}}),
        ("settings.classes.count", {"settings": {}}),
        ("settings.classes.0.idempotency", {"settings": {"classes": [{**CLASS, "idempotency": "x"}]}}),
        (
            "settings.policy_limits.conn_idle",
            {"settings": {"classes": [CLASS], "policy_limits": {"conn_idle": "x"}}},
        ),
        ("settings.zones", {"settings": {"classes": [CLASS], "zones": "a"}}),
        ("batch.listen", {"batch": {"enabled": True}}),
        ("batch.finished_most", {"batch": {"enabled": True, "listen": "127.0.0.1:1", "finished_most": 0}}),
        ("known", {"known": 3}),
        ("connections", {"connections": 3}),
        ("connections.keep_ms", {"connections": {"keep_ms": 1}}),
        ("connections.park", {"connections": {"park": "yes"}}),
        ("connections.park_after_ms", {"connections": {"park_after_ms": True}}),
        ("console", {"console": "nowhere"}),
        ("console", {"console": PLAIN["listen"]}),
        ("limits.sockets", {"console": "127.0.0.1:6", "limits": {"sockets": 64}}),
    ],
)
def test_a_faulty_setting_raises_an_error_that_names_its_key(key, change):
    with pytest.raises(ConfigError, match=rf"^{key.replace('.', '[.]')}\b") as caught:
        read({**PLAIN, **change}, {})
    assert caught.value.key == key
    assert caught.value.source == {**PLAIN, **change}


def test_half_of_the_usual_limits_leaves_enough_connections():
    """The platform halves them on busy days: a program that then ended with 2 served nobody."""
    config = read({**PLAIN, "limits": {"memory_mb": 40, "sockets": 192}, "console": "127.0.0.1:6"}, {})
    assert config.client_connections >= 192 / 3
    assert config.worker_connections >= 48


def test_less_memory_than_a_process_needs_is_refused():
    with pytest.raises(ConfigError, match=r"limits[.]memory_mb"):
        read({**PLAIN, "limits": {"memory_mb": 8}}, {})


@pytest.mark.parametrize(
    ("settings", "environ", "address"),
    [
        ({}, {}, None),
        ({"console": "127.0.0.1:6"}, {}, ("127.0.0.1", 6)),
        ({"console": "127.0.0.1:6"}, {"LB_CONSOLE": "127.0.0.1:5"}, ("127.0.0.1", 5)),
    ],
    ids=["nowhere", "file", "environment before file"],
)
def test_the_console_address_is_that_of_the_environment_or_the_file(settings, environ, address):
    assert read({**PLAIN, **settings}, environ).console == address


def test_a_console_keeps_descriptors_from_clients_and_workers():
    with_console, without = read({**PLAIN, "console": "127.0.0.1:6"}, {}), read(PLAIN, {})
    assert connections(with_console) < connections(without)


def test_a_small_worker_share_leaves_most_descriptors_to_clients():
    config = read({**PLAIN, "limits": {"sockets": 20_000, "worker_share": 0.03}}, {})
    assert config.client_connections > 19_000
    assert config.worker_connections > 500


@pytest.mark.parametrize(
    "environ",
    [{}, {"LB_CONFIG": "absent"}, {"LB_CONFIG": "malformed"}],
    ids=["no file named", "file absent", "not JSON"],
)
def test_a_file_that_cannot_be_read_raises_an_error_that_names_the_variable(environ, tmp_path):
    (tmp_path / "malformed").write_text("{")
    paths = {name: str(tmp_path / file) for name, file in environ.items()}
    with pytest.raises(ConfigError, match="LB_CONFIG") as caught:
        load(paths)
    assert caught.value.key == "LB_CONFIG"


def test_the_example_with_a_batch_front_is_read(batch_file):
    assert read_text(batch_file).batch.listen == ("127.0.0.1", 8090)


def test_an_unknown_key_of_an_operators_file_is_refused(batch_file):
    with pytest.raises(ConfigError, match=r"batch[.]finnished_most"):
        read_text(batch_file.replace("finished_most", "finnished_most"))


@pytest.mark.parametrize(
    ("key", "lines"),
    [
        ("connections.parc", "parc = true"),
        ("admission.adress", "[admission]\nadress = 3"),
        ("admission.address.held", "[admission.address]\nheld = 0"),
        ("admission.address.burst", "[admission.address]\nburst = 9"),
        ("admission.address.rates", "[admission.address]\nrates = 9"),
        ("admission.prefix.held", "[admission.address]\nheld = 9\n[admission.prefix]\nheld = 8"),
        ("admission.prefix_v6", "[admission]\nprefix_v6 = 65"),
        ("admission.descriptors.low", "[admission.descriptors]\nhigh = 0.5"),
        ("admission.memory.high", "[admission.memory]\nhigh = 95"),
        ("admission.pace.whole_ms", "[admission.pace]\nwhole_ms = 60000"),
        ("admission.pace.head_ms", "[admission.pace]\nwhole_ms = 1000\nhead_ms = 1500"),
        ("admission.pace.head_crowded_ms", "[admission.pace]\nhead_ms = 1000\nhead_crowded_ms = 1500"),
        ("connections.park_after_ms", "keep_ms = 5000\npark_after_ms = 5000"),
    ],
)
def test_a_faulty_limit_of_connections_names_its_key(key, lines, batch_file):
    with pytest.raises(ConfigError, match=f"^{key} ") as caught:
        read_text(f"{batch_file}\n[connections]\n{lines}\n")
    assert caught.value.key == key


def test_an_operators_file_sets_when_connections_park_and_close(batch_file):
    idling = read_text(f"{batch_file}\n[connections]\nkeep_ms = 3600000\npark_after_ms = 2000\n").idling
    assert (idling.idle_timeout, idling.park_after) == (3_600_000.0, 2000.0)


def test_an_operators_file_turns_parking_off(batch_file):
    assert read_text(f"{batch_file}\n[connections]\npark = false\n").idling.park_after == inf


def test_the_example_for_many_clients_sets_its_limits():
    config = read_text((ROOT / "deploy" / "field-phones.toml").read_text())
    a = config.admission
    assert (
        a.address_quota.max_connections,
        a.prefix_quota.burst,
        a.timeouts.min_body_rate,
        a.memory.high,
    ) == (4000.0, 3000.0, 2000.0, 0.9)
    assert config.client_connections > 19_000
    assert config.idling.idle_timeout == 1_800_000.0


def test_the_tool_writes_a_file_that_the_program_reads(tmp_path, capsys):
    line = [
        "--name",
        "app",
        "--class",
        "get:safe:worth=5:aim=250:deadline=900:stretch=2",
        "--class",
        "put:keyed:scope=zone:window=70",
        "--worker",
        "127.0.0.1:9",
        "--batch",
        "127.0.0.1:7",
        "--console",
        "127.0.0.1:6",
    ]
    assert tool.main(["init", *line]) == 0
    file = tmp_path / "app.toml"
    file.write_text(capsys.readouterr().out)
    assert tool.main(["check", str(file)]) == 0
    assert "2 classes, workers from static, batch on, console at 127.0.0.1:6" in capsys.readouterr().out
    get, put = load({}, str(file)).policy_settings.classes
    assert (
        get.priority_weight,
        get.latency_objective_ms,
        get.deadline_ms,
        get.objective_stretch,
        put.repeat_window_ms,
    ) == (5.0, 250.0, 900.0, 2.0, 70.0)


@pytest.mark.parametrize(
    "text",
    [
        "a b",
        "x:odd",
        "x:safe:scope=all",
        "x:safe:aim=soon",
        "x:safe:aim=9:deadline=5",
        "x:keyed:scope=town",
        "x:safe:name=y",
    ],
)
def test_the_tool_refuses_a_faulty_class_and_writes_nothing(text, capsys):
    assert tool.main(["init", "--name", "a", "--worker", "127.0.0.1:9", "--class", text]) == 1
    out, err = capsys.readouterr()
    assert not out
    assert err.startswith("eiderfield: ")
