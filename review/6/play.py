"""A durable batch job that is handed to another dispatcher while its own one ends as planned."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import suppress
from pathlib import Path

from stand_ins_2 import (
    LIMITS,
    LOOPBACK,
    Agent,
    Case,
    CaseError,
    Dispatcher,
    Reply,
    Worker,
    call,
    free_port,
    now_ms,
    play,
    request_class,
    settings,
    share_keys,
    trouble,
)

RUN_MS = 6000
GIVE_UP_MS = 12_000.0
SLACK_MS = 550.0  # an answer may come half a second late, and limits on sockets are 50 ms longer
SIGTERM_AFTER_S = 0.5
KILL_AFTER_S = 10.0  # after the waits; SIGKILL may come from 3.7 s after SIGTERM on
CREATED, FINAL = 201, ("done", "failed")
MOST_ANSWERS = 2  # different ones of a job, from which the rule is broken


async def wait(case: Case, address: tuple[str, int], job_id: str, until: float) -> Reply:
    """Wait for a job's end at one dispatcher."""
    left = max(1, int(until - now_ms()))
    reply = await call(
        address, "GET", f"/v1/jobs/{job_id}/wait?timeoutMs={left}", limit_s=left / 1000.0 + 1.0
    )
    case.note("wait over", at=address[1], status=reply.status, error=reply.error, body=reply.body.decode())
    return reply


async def end(dispatcher: Dispatcher) -> None:
    """Wait for the end after SIGTERM, and send SIGKILL in the end."""
    with suppress(TimeoutError):
        async with asyncio.timeout(KILL_AFTER_S):
            await dispatcher.ended()
    dispatcher.kill()


async def act(case: Case) -> list[str]:
    """Submit a job to one of two dispatchers, which then gets SIGTERM, and wait for its end at both."""
    workers = [Worker(case, f"w{number}") for number in range(3)]
    share_keys(workers)
    for worker in workers:
        await worker.open()
    classes = [
        request_class("claim-status", "retryable", 5000.0),
        request_class("loss-report", "dedup", GIVE_UP_MS, key_scope="zone", repeat_window=20_000),
    ]
    custody = {"folder": str(case.temporary / "durable"), "classes": ["loss-report"], "lease_ms": 1000}
    dispatchers, batches = [], []
    for number in range(2):
        agent = Agent(case, workers)
        await agent.open()
        batches.append((LOOPBACK, free_port()))
        config = {
            "limits": LIMITS,
            "settings": settings(classes, 2, number),
            "batch": {"enabled": True, "listen": f"{LOOPBACK}:{batches[-1][1]}"},
            "custody": custody,
        }
        dispatchers.append(Dispatcher(case, f"n{number}", config, agent.address))
    await asyncio.gather(*(dispatcher.start() for dispatcher in dispatchers))
    await asyncio.sleep(1.5)
    template = {"jobClass": "loss-report", "subject": "s1", "body": json.dumps({"job": "j1", "run": RUN_MS})}
    submitted = now_ms()
    reply = await call(batches[0], "POST", "/v1/jobs", json.dumps(template).encode())
    job_id = reply.json().get("jobId", "")
    case.note("submitted", status=reply.status, id=job_id)
    if reply.status != CREATED:
        raise CaseError("the job was not accepted")
    until = submitted + GIVE_UP_MS + SLACK_MS
    first = asyncio.ensure_future(wait(case, batches[0], job_id, until))
    if trouble():
        await asyncio.sleep(SIGTERM_AFTER_S)
        dispatchers[0].signal(signal.SIGTERM)
    other = await wait(case, batches[1], job_id, until)
    here = await first
    if trouble():
        await end(dispatchers[0])
    statuses = [reply.json() for reply in (here, other)]
    ends = [
        (status["verdict"], status.get("result", "")) for status in statuses if status.get("state") in FINAL
    ]
    breaks = [] if len(set(ends)) < MOST_ANSWERS else [f"job {job_id} has two final answers: {ends}"]
    return breaks + [f"job {job_id} was accepted and got no final answer"] * (not ends)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, act))
