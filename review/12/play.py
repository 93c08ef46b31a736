"""One of eight workers crashes as it begins a task, and starts again under its id, while the others have no room."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
import fleet as F  # noqa: E402

WORKERS = 8            # one of eight: a share of 0.125
ROOM = 16              # tasks of one core that a worker takes
JOBS = 8
DOWN_S = 0.3
HEARTBEAT_S = 1.5      # heartbeat_ms: its reports go on at some moment of this interval
QUOTE_MS, LONG_MS = 50, 90000
HOST, PREFIX, LONG = "desk.example", "/quote/", "/long/"


async def play(fleet):
    entry = await fleet.add_entry("front-sahab-1", "sahab")
    routes = [{"name": "r-quote", "host": HOST, "prefix": PREFIX, "service": "desk"},
              {"name": "r-long", "host": HOST, "prefix": LONG, "service": "desk", "stretch": 10}]

    async def add_worker(number):
        return await fleet.add_worker(f"side-{number}", "sahab", "desk", cpu=1000 * ROOM,
                                      run_ms=lambda spec: LONG_MS if spec == "long" else QUOTE_MS)

    for number in range(1, WORKERS):
        await add_worker(number)
    fleet.config(1, routes, ["desk"])
    if not await fleet.until_ready():
        return None
    await asyncio.sleep(4)
    # Long jobs take the room of seven workers for the whole play; the eighth joins then.
    for _ in range(20):
        free = sum(ROOM - len(worker.running) for worker in fleet.workers)
        for tasks in [ROOM] * (free // ROOM) or [free]:
            asyncio.create_task(fleet.post(entry, HOST, LONG, F.job(tasks, 1000, LONG_MS, "long"), 120000))
        await asyncio.sleep(0.5)
        if all(len(worker.running) == ROOM for worker in fleet.workers):
            break
    else:
        fleet.record(f"the workers are not full: {[len(worker.running) for worker in fleet.workers]}")
        return None
    worker = await add_worker(0)
    await asyncio.sleep(2)
    crashing = set()
    worker.on_start = lambda task: task.split(".")[0] in crashing and not crashing.clear()
    broken = crashes = 0
    for _ in range(JOBS):
        for _ in range(20):  # until the worker serves again
            _, status, _ = await fleet.post(entry, HOST, PREFIX, F.job(1, 1000, QUOTE_MS, "quote"), 1500)
            if status == 200:
                break
            await asyncio.sleep(0.5)
        else:
            return None
        id_ = F.new_id()
        if F.TROUBLE:
            crashing.add(id_)
            worker.crash_times = (DOWN_S, random.uniform(0, HEARTBEAT_S))
        _, status, body = await fleet.post(entry, HOST, PREFIX, F.job(1, 1000, QUOTE_MS, "quote"), 1500, id_)
        fleet.record(f"client: job {id_} answered {status} {body}; it is not sent again")
        await asyncio.sleep(1)
        starts = [s for w in fleet.workers for s in w.starts if s[1].split(".")[0] == id_]
        crashes += any(s[5] == "crashed" for s in starts)
        if status in (429, 503) and starts:
            broken += 1
            fleet.record(f"broken: job {id_} was rejected with {status}, and its task had started at "
                         f"{starts[0][0]:.3f}")
        await asyncio.sleep(1.5)
    fleet.record(f"{crashes} crashes, {broken} of {JOBS} jobs were rejected though a task of theirs had started")
    if F.TROUBLE and not crashes:
        return None
    return broken == 0


F.main(HERE, play)
