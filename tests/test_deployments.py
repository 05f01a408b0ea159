"""The same tests of the module and of the network code over every deployment of the table."""

from __future__ import annotations

import random

import pytest
from deployments import DEPLOYMENTS
from desk import Desk
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from world import World

from eiderfield import exchange as core
from eiderfield.interface import Action, Effect

NAMES = list(DEPLOYMENTS)


@pytest.mark.parametrize("name", NAMES)
@hypothesis_settings(
    derandomize=True, max_examples=25, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
@given(seed=st.integers(0, 1 << 32), steps=st.integers(20, 150))
def test_the_rules_hold(name, seed, steps):
    world = World(DEPLOYMENTS[name], random.Random(seed))
    world.run(steps)
    assert all(job["answered"] is not None or job["gone"] for job in world.jobs.values())


@pytest.fixture(params=NAMES)
def desk(request):
    return Desk(DEPLOYMENTS[request.param])


def ask(desk, cls, id_="r1", **headers):
    more = {"Idempotency_Key": "k"} if cls.effect == Effect.KEYED else {}
    return desk.client(path=f"/{cls.name}", id_=id_, **more, **headers)


def test_each_class_is_served_once_with_the_workers_result(desk):
    for number, cls in enumerate(desk.exchange.site.classes):
        client = ask(desk, cls, id_=f"r{number}")
        end = desk.dials[0].up() if desk.dials else next(end for end in desk.ends if end.take())
        end.finish(result=cls.name)
        assert [(status, body) for status, _, body in client.answers()] == [(200, cls.name.encode())]


@pytest.mark.parametrize("name", NAMES)
def test_what_broke_after_its_last_byte_goes_only_where_its_class_allows(name):
    for cls in DEPLOYMENTS[name].classes:
        desk = Desk(DEPLOYMENTS[name])
        client = ask(desk, cls, wait=900)
        end = desk.dials[0].up()
        assert end.take() == ["r1"]
        end.pipe.break_off()
        desk.settle()
        if cls.effect == Effect.UNSAFE:  # it may have run: no word of coming again
            assert [status for status, _, _ in client.answers()] == [502] and not desk.dials
        for _ in range(20):
            while desk.dials:
                desk.dials[0].up().pipe.break_off()
            desk.advance(100.0)
        assert len(client.answers()) == (cls.effect != Effect.UNSAFE), "once, and before the client leaves"
        assert sum(len(end.came) for end in desk.ends) <= DEPLOYMENTS[name].max_attempts


def test_what_never_left_whole_is_sent_elsewhere_whatever_its_class(desk):
    if desk.exchange.site.max_attempts < 2:
        return
    for cls in desk.exchange.site.classes:
        fresh = Desk(desk.exchange.site)
        client = ask(fresh, cls)
        fresh.dials[0].refuse()
        fresh.advance(5.0)
        assert not client.answers() and len(fresh.dials) == 1, "a second worker is there"


def test_a_tenant_is_known_by_name_and_an_unknown_one_has_no_share(desk, monkeypatch):
    came = []
    monkeypatch.setattr(core, "Arrived", lambda *args: came.append(args[3]) or REAL(*args))
    cls, tenants = desk.exchange.site.classes[0], desk.exchange.site.tenants
    words = [tenant.name for tenant in tenants] + ["nobody", ""]
    for number, word in enumerate(words):
        ask(desk, cls, id_=f"t{number}", **({"X_Tenant": word} if word else {}))
    assert came == [*range(len(tenants)), len(tenants), len(tenants)]


REAL = core.Arrived


def test_every_action_of_the_module_has_a_taker(desk):
    assert set(Action.__args__) == set(desk.exchange._takers)
