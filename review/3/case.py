"""Consul is out of reach while the fleet shrinks; machines that left it must get nothing new afterwards."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from sites import KOCHI_SERVICE, KOCHI_SETTINGS, KOCHI_WORKERS, kochi_workers, with_consul
from standins import OK, Consul, Dispatcher, Record, Stage, Worker, call, play

STAY = ("kochi-0", "kochi-1", "thrissur-0", "kozhikode-0", "kollam-0")  # 5 of 12, which is 42%
SHRINK_S = 11.0  # the machines leave within that time
OUTAGE_S = 13.0  # of the catalogue, from just before the first one leaves; the page names a minute
OFF_AFTER_S = 15.0  # a machine that left is switched off after that: more than the longest give-up time
QUIET_S = 2.0  # before the outage
AFTER_S = 16.0  # after it
GRACE_S = 0.5 + 0.05  # of the rule, on sockets
STANDIN_DELAY_S = 0.15  # in the tester's favour: the stand-in may read a request so much later
RATE = 15.0  # requests a second, a fourth of 60 for one of four dispatchers
GIVE_UP_MS = {"claim-status": 5000, "loss-report": 12000}


class Clients:
    """Clients that send at a steady rate, and do not retry."""

    def __init__(self, record: Record, dispatcher: Dispatcher) -> None:
        self.failed: list[str] = []  # the ids that got another answer than 200
        self._record = record
        self._dispatcher = dispatcher

    async def send_until(self, end: asyncio.Event) -> None:
        """Send until `end` is set, then wait for the answers."""
        sent = []
        while not end.is_set():
            sent.append(asyncio.ensure_future(self._send(len(sent))))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*sent)

    async def _send(self, number: int) -> None:
        class_name = "loss-report" if number % 2 else "claim-status"
        id_, give_up = f"{class_name}-{number:04d}", GIVE_UP_MS[class_name]
        headers = {"X-Request-Id": id_, "X-Deadline-Ms": str(give_up)}
        self._record.write(f"client: sent {id_}")
        answer = await call(
            self._dispatcher.port, "POST", f"/{class_name}", b"report", headers, give_up / 1000.0 + 1.0
        )
        self._record.write(f"client: {id_} answered {answer.status} {answer.problem}")
        if answer.status != OK:
            self.failed.append(id_)


def unsafe_settings() -> dict[str, object]:
    """Return the site's settings on a day on which loss reports are unsafe to repeat."""
    classes = [
        {"name": "claim-status", "value": 5, "goal_time": 250, "give_up": 5000, "idempotency": "retryable"},
        {"name": "loss-report", "value": 3, "goal_time": 400, "give_up": 12000, "idempotency": "fragile"},
    ]
    return {**KOCHI_SETTINGS, "classes": classes}


async def shrink(consul: Consul, leaving: list[Worker]) -> None:
    """Let machines leave the catalogue one by one; each is switched off later."""
    loop = asyncio.get_running_loop()
    for worker in leaving:
        await consul.deregister([worker])
        loop.call_later(OFF_AFTER_S, worker.switch_off)
        await asyncio.sleep(SHRINK_S / len(leaving))


def find_breaks(consul: Consul, leaving: list[Worker], failed: list[str]) -> list[str]:
    """Return the requests that were sent to a machine after the grace, with what became of them."""
    breaks = []
    for worker in leaving:
        told = min(at for at, listed in consul.told if worker.name not in listed)
        for at, id_ in worker.received:
            if at > told + GRACE_S + STANDIN_DELAY_S:
                end = ", was lost there" if id_ in worker.lost else ""
                end += ", and was answered as failed" if id_ in failed else ""
                breaks.append(
                    f"{id_} was sent to {worker.name} {at - told:.2f} s after it was told gone{end}"
                )
    return sorted(breaks, key=lambda text: "lost" not in text)


async def case(stage: Stage) -> list[str]:
    """Play the case."""
    record = stage.record
    workers = await kochi_workers(KOCHI_WORKERS, record)
    leaving = [worker for worker in workers if worker.name not in STAY]
    consul = Consul(record, KOCHI_SERVICE)
    await consul.open()
    await consul.register(workers)
    dispatcher = stage.dispatcher("n0", with_consul(unsafe_settings(), KOCHI_SERVICE, consul, 0))
    await dispatcher.start()
    clients, end = Clients(record, dispatcher), asyncio.Event()
    load = asyncio.ensure_future(clients.send_until(end))
    await asyncio.sleep(QUIET_S)
    began = time.monotonic()
    if stage.trouble:
        record.write("consul: out of reach")
        await consul.close()
    await shrink(consul, leaving)
    await asyncio.sleep(max(0.0, began + OUTAGE_S - time.monotonic()))
    if stage.trouble:
        await consul.open()
        record.write("consul: in reach again")
    await asyncio.sleep(AFTER_S)
    end.set()
    await load
    record.write(f"clients: not served: {clients.failed}")
    return find_breaks(consul, leaving, clients.failed)


if __name__ == "__main__":
    play(Path(__file__).parent, case)
