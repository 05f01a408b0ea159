"""A durable request whose client has left, when its dispatcher is killed."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from stand_ins_2 import (
    LIMITS,
    Agent,
    Case,
    Dispatcher,
    Worker,
    now_ms,
    play,
    request_class,
    settings,
    share_keys,
    trouble,
)

RUN_MS = 3000
LEAVES_AFTER_S = 0.8
KILL_AFTER_S = 0.7  # after the client has left
ALLOWED_MS = 150.0  # an attempt may begin 0.1 s after the close, and limits on sockets are 50 ms longer
WATCHED_S = 9.0


async def act(case: Case) -> list[str]:
    """Send a request to one of two dispatchers, leave, and kill that dispatcher."""
    workers = [Worker(case, f"w{number}") for number in range(3)]
    share_keys(workers)
    for worker in workers:
        await worker.open()
    classes = [
        request_class("claim-status", "retryable", 12_000.0),
        request_class("loss-report", "dedup", 12_000.0, key_scope="zone", repeat_window=20_000),
    ]
    custody = {"folder": str(case.temporary / "durable"), "classes": ["claim-status"], "lease_ms": 1000}
    dispatchers = []
    for number in range(2):
        agent = Agent(case, workers)
        await agent.open()
        config = {"limits": LIMITS, "settings": settings(classes, 2, number), "custody": custody}
        dispatchers.append(Dispatcher(case, f"n{number}", config, agent.address))
    await asyncio.gather(*(dispatcher.start() for dispatcher in dispatchers))
    await asyncio.sleep(1.5)
    _, writer = await asyncio.open_connection(*dispatchers[0].address)
    body = json.dumps({"job": "j1", "run": RUN_MS}).encode()
    head = (
        "POST /claim-status/s1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: 12000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    case.note("sent", id="r1", to="n0")
    await asyncio.sleep(LEAVES_AFTER_S)
    writer.close()
    await writer.wait_closed()
    left = now_ms()
    case.note("client left")
    if trouble():
        await asyncio.sleep(KILL_AFTER_S)
        dispatchers[0].signal(signal.SIGKILL)
    await asyncio.sleep(WATCHED_S)
    return [
        f"an attempt reached {worker.name} {arrival.at - left:.0f} ms after its client had closed"
        for worker in workers
        for arrival in worker.arrivals
        if arrival.at > left + ALLOWED_MS
    ]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, act))
