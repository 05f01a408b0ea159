"""A full house in a real process: reload, ban, upgrade and end, with phones that are parked."""

import signal

import pytest

from eiderfield.lab.rig import Rig, call, wait_for

pytestmark = pytest.mark.real_time

COUNT = 60


CONFIG = {"connections": {"park_after_ms": 10, "copies": True}}


class Scene:
    """A dispatcher with parked phones."""

    def __init__(self, rig):
        self.rig = rig
        self.workers = rig.workers(2)
        self.house = rig.dispatcher("old", CONFIG, self.workers)
        self.phones = rig.phones(self.house.listen, 0, addresses=4)
        assert self.phones.ask("open", count=COUNT)["statuses"]["200"] == COUNT
        self.wait(self.house, "parked", COUNT)

    @staticmethod
    def figure(house, name):
        return house.figures()["connections"][name]

    def wait(self, house, name, count):
        wait_for(f"{name} is {count}", lambda: self.figure(house, name) == count)

    def all_answer(self, count=COUNT):
        told = self.phones.ask("wake", count=count, seconds=0.2)
        assert sum(told["statuses"].get(status, 0) for status in ("200", "503")) == count, told["statuses"]


@pytest.fixture
def scene(tmp_path):
    with Rig(tmp_path) as rig:
        yield Scene(rig)


def test_a_reload_lets_parked_phones_idle_for_less_time_and_a_faulty_one_changes_nothing(scene):
    scene.house.reload(connections={"keep_ms": "soon"})
    scene.all_answer()
    scene.wait(scene.house, "parked", COUNT)
    scene.house.reload(connections={"keep_ms": 1000.0, "park_after_ms": 10})
    scene.wait(scene.house, "open", 0)
    assert scene.phones.ask("count") == {"open": 0, "closed": COUNT}
    assert scene.figure(scene.house, "expired") >= COUNT - 1  # one may have been closed before it was parked


def test_a_ban_holds_through_an_upgrade_with_a_full_house_and_nobody_is_lost(scene):
    assert call(scene.house.console, "/-/workers/w0/disable", "POST")[0] == 200
    new = scene.rig.dispatcher("new", {**CONFIG, "listen": scene.house.listen}, scene.workers)
    scene.wait(new, "parked", COUNT)
    scene.wait(scene.house, "lent", COUNT)
    scene.house.signal(signal.SIGTERM)
    wait_for("the old process has ended", lambda: not scene.house.alive)
    scene.all_answer()
    assert new.figures()["hosts_down"] == 1


def test_a_new_process_that_is_killed_gives_the_house_back_and_the_next_one_takes_it(scene):
    new = scene.rig.dispatcher("new", {**CONFIG, "listen": scene.house.listen}, scene.workers)
    scene.wait(new, "parked", COUNT)
    new.end()
    scene.wait(scene.house, "parked", COUNT)
    scene.all_answer()
    scene.wait(scene.house, "parked", COUNT)
    third = scene.rig.dispatcher("third", {**CONFIG, "listen": scene.house.listen}, scene.workers)
    scene.wait(third, "parked", COUNT)
    scene.house.signal(signal.SIGTERM)
    wait_for("the old process has ended", lambda: not scene.house.alive)
    scene.all_answer()


def test_the_end_closes_parked_phones_and_the_program(scene):
    scene.house.signal(signal.SIGTERM)
    wait_for("it has ended", lambda: not scene.house.alive)
    assert scene.phones.ask("count") == {"open": 0, "closed": COUNT}
