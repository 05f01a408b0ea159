"""A dispatcher is killed; a durable keyed request that it had sent must not run at workers of another pod."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sites import (
    SOFIA_SERVICE,
    SOFIA_SETTINGS,
    SOFIA_WINDOW_S,
    SOFIA_WORKERS,
    durable,
    with_consul,
)
from standins import Answer, Consul, Dispatcher, Group, Record, Run, Stage, Worker, call, play

POD_SIZES = {"pod-a": 4, "pod-b": 5, "pod-c": 5}  # pod-a is switched on later: 10 workers, then 14
RATE_PER_DISPATCHER = 37.5  # requests a second: about 75 at both
LOAD_S = 8.0
KILL_AFTER_S = 4.0  # since the begin of the load
SETTLE_S = 3.0  # after the starts: the dispatchers have seen each other's heartbeats
DEADLINE_MS = 5000


async def open_workers(record: Record) -> dict[str, list[Worker]]:
    """Return the workers of each pod, which listen."""
    pods = {}
    for pod, size in POD_SIZES.items():
        group = Group(pod, SOFIA_WINDOW_S)
        pods[pod] = [
            Worker(f"adm-{pod}-{number}", "sofia-dc1", "std4", group, SOFIA_WORKERS, record)
            for number in range(size)
        ]
        for worker in pods[pod]:
            await worker.open()
    return pods


async def send(record: Record, dispatcher: Dispatcher, number: int) -> Answer:
    """Send one request as a client, which does not retry."""
    name = f"{dispatcher.name}-{number:04d}"
    headers = {
        "X-Request-Id": f"id-{name}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Idempotency-Key": f"key-{name}",
    }
    record.write(f"client: sent id-{name} to {dispatcher.name}")
    answer = await call(
        dispatcher.port, "POST", "/choice-update", name.encode(), headers, DEADLINE_MS / 1000.0 + 1.0
    )
    record.write(f"client: id-{name} answered {answer.status} {answer.body[:60]!r} {answer.problem}")
    return answer


async def load(record: Record, dispatcher: Dispatcher) -> None:
    """Send requests at a steady rate."""
    sent = []
    for number in range(int(LOAD_S * RATE_PER_DISPATCHER)):
        if not dispatcher.running:
            break
        sent.append(asyncio.ensure_future(send(record, dispatcher, number)))
        await asyncio.sleep(1.0 / RATE_PER_DISPATCHER)
    await asyncio.gather(*sent)


def find_breaks(workers: list[Worker]) -> list[str]:
    """Return the keys that ran in more than one pod within the window."""
    first: dict[str, Run] = {}
    breaks = []
    for run in sorted([run for worker in workers for run in worker.runs], key=lambda run: run.at):
        earlier = first.setdefault(run.key, run)
        if run.group != earlier.group:
            breaks.append(
                f"{run.key} ran at {earlier.worker} of {earlier.group}, and {run.at - earlier.at:.2f} s "
                f"later at {run.worker} of {run.group}"
            )
    return breaks


async def case(stage: Stage) -> list[str]:
    """Play the case."""
    record = stage.record
    pods = await open_workers(record)
    consul = Consul(record, SOFIA_SERVICE)
    await consul.open()
    await consul.register([*pods["pod-b"], *pods["pod-c"]])
    dispatchers = [
        stage.dispatcher(
            f"n{me}",
            durable(with_consul(SOFIA_SETTINGS, SOFIA_SERVICE, consul, me), stage.folder, "choice-update"),
        )
        for me in range(2)
    ]
    await dispatchers[0].start()
    await consul.register(pods["pod-a"])  # a few more are switched on, and the second dispatcher
    await asyncio.sleep(1.0)
    await dispatchers[1].start()
    await asyncio.sleep(SETTLE_S)
    loads = [asyncio.ensure_future(load(record, dispatcher)) for dispatcher in dispatchers]
    await asyncio.sleep(KILL_AFTER_S)
    if stage.trouble:
        dispatchers[0].kill()
    await asyncio.gather(*loads)
    await asyncio.sleep(DEADLINE_MS / 1000.0)
    return find_breaks([worker for workers in pods.values() for worker in workers])


if __name__ == "__main__":
    play(Path(__file__).parent, case)
