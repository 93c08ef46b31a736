"""Orders to workers stay unanswered and are carried out late (applied_late) while channels of clients are
reset (reset_conns). Clients send the job again after resend_ms."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import deployment  # noqa: E402

LATE_SHARE = 0.5
# One disturbance of this length in each cycle.
LATE_S = 1.0
CYCLE_S = 3.3
RESET_SHARE = 0.5
CYCLES = 20
JOBS, TASKS, EST_MS, RUN_MS, LONG_RUN_MS, LONG_SHARE = 36, 1, 900, 600, 1440, 0.5


async def play(site, trouble):
    draw = random.Random(7)
    loop = asyncio.get_running_loop()
    late_until = 0.0

    def late_by(path, _body):
        if path != "/api/hold" and loop.time() < late_until and draw.random() < LATE_SHARE:
            return draw.uniform(2, 12)
        return None

    if trouble:
        for worker in site.workers:
            worker.late_by = late_by
    answers = []

    async def client(host, job, reset_at):
        reader, writer = await site.submit_on_channel(host, job)
        if reset_at is None:
            message = await asyncio.wait_for(deployment.read_message(reader), 4)
            answers.append(message and message[0].split(" ")[1])
            site.record(f"client: {job[0]} at {host} gets {answers[-1]}")
            writer.close()
            return
        await asyncio.sleep(max(0, reset_at - loop.time()))
        deployment.reset(writer)
        site.record(f"client: the channel of {job[0]} to {host} is reset")
        await asyncio.sleep(deployment.RESEND_S)
        other = draw.choice([h for h in site.entry_hosts if h != host])
        await client(other, job, None)

    for cycle in range(CYCLES):
        host = site.entry_hosts[cycle % len(site.entry_hosts)]
        reset_at = loop.time() + 0.05
        late_until = loop.time() + LATE_S
        hit = draw.sample(range(JOBS), int(JOBS * RESET_SHARE)) if trouble else []
        calls = [asyncio.create_task(client(host, site.job(TASKS, LONG_RUN_MS if draw.random() < LONG_SHARE else RUN_MS, EST_MS),
                                             reset_at if i in hit else None))
                 for i in range(JOBS)]
        await asyncio.sleep(CYCLE_S)
        await asyncio.gather(*calls, return_exceptions=True)
    for line in site.log_lines("caller_gone", "attempt_ended"):
        site.record("log " + line)
    site.record(f"answers: {len(answers)}, {answers.count('200')} of them 200")
    if answers.count("200") < 10:
        raise RuntimeError("the deployment did not serve")
    return [deployment.describe(overlap) for overlap in site.runs.overlaps(site.record.now_ms())]


deployment.run(FOLDER, play, entries=3, workers=6)
