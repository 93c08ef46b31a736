"""A worker crashes as it begins a task, and starts again under its id."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
import fleet as F  # noqa: E402

JOBS = 8
DOWN_S = 0.3
HEARTBEAT_S = 1.5    # heartbeat_ms: its reports go on at some moment of this interval
HOST, PREFIX = "desk.example", "/quote/"


async def play(fleet):
    entry = await fleet.add_entry("front-sahab-1", "sahab")
    worker = await fleet.add_worker("side-0", "sahab", "desk")
    fleet.config(1, [{"name": "r-quote", "host": HOST, "prefix": PREFIX, "service": "desk"}], ["desk"])
    if not await fleet.until_ready():
        return None
    await asyncio.sleep(4)
    crashing = set()
    worker.on_start = lambda task: task.split(".")[0] in crashing and not crashing.clear()
    broken = answered = 0
    for number in range(JOBS):
        for _ in range(20):  # until the worker serves again
            _, status, _ = await fleet.post(entry, HOST, PREFIX, F.job(1, 1000, 50, "quote"), 1500)
            if status == 200:
                break
            await asyncio.sleep(0.5)
        else:
            return None
        id_ = F.new_id()
        if F.TROUBLE:
            crashing.add(id_)
            worker.crash_times = (DOWN_S, random.uniform(0, HEARTBEAT_S))
        _, status, body = await fleet.post(entry, HOST, PREFIX, F.job(1, 1000, 50, "quote"), 1500, id_)
        fleet.record(f"client: job {id_} answered {status} {body}; it is not sent again")
        answered += status is not None
        await asyncio.sleep(1)
        starts = [s for s in worker.starts if s[1].split(".")[0] == id_]
        if status in (429, 503) and starts:
            broken += 1
            fleet.record(f"broken: job {id_} was rejected with {status}, and its task "
                         f"had started {len(starts)} times, first at {starts[0][0]:.3f}")
        await asyncio.sleep(2)
    fleet.record(f"{broken} of {JOBS} jobs were rejected though a task of theirs had started")
    if not answered:
        return None
    return broken == 0


F.main(HERE, play)
