"""A job with a deadline waits for a GPU: does a job without a deadline beside the free CPUs ever start?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
from standin import CannotRun, job, main, shegerair
from waiting import WAIT_S, has_room, watch_waiting

TEAMS, LIMIT_GPUS = ["platformops-00", "platformops-01", "platformops-02"], 18.0


async def play(case):
    users, fleet = case.users, case.fleet
    # Three machines, one for each of three teams, and six replicas: every GPU is in use.
    await asyncio.gather(*(
        users.submit(job(f"job-{n:06d}", TEAMS[n // 2], shape="daemon", urgency="prod",
                         jobclass="aqindex", expected_s=0.0))
        for n in range(6)
    ))
    for _ in range(400):
        if len(fleet.on) == 6 and len(fleet.workers) == 3:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun(f"{len(fleet.on)} of six replicas run")
    await asyncio.sleep(2.0)
    if case.trouble:
        case.record("trouble", "the jobs of backfill come more often")
        status, _ = await users.submit(
            job("job-000010", TEAMS[0], vcpus=6.0, memory_gb=48.0, expected_s=80.0, due_s=170.0,
                snapshot_every_s=10.0, snapshot_s=6.0, reclaimable=True), run_s=80.0)
        if status not in (200, 201):
            raise CannotRun("the backfill was not accepted")
        await asyncio.sleep(2.0)
        case.record("trouble", "over: no more come")
    small = job("job-000050", TEAMS[0], jobclass="rawpull", shards=1, vcpus=1.0, accelerators=0.0,
                memory_gb=6.4, expected_s=15.0, reclaimable=True)
    status, _ = await users.submit(small, run_s=15.0)
    if status not in (200, 201):
        raise CannotRun("the small job was not accepted")
    await asyncio.sleep(1.0)
    case.record("case", f"room: {[n for n, w in fleet.workers.items() if has_room(fleet, w, small)]}")
    waited, machines = await watch_waiting(case, small["uid"], LIMIT_GPUS, WAIT_S + 2.0)
    await users.poll(small["uid"])
    case.record("case", f"{small['uid']} waited {waited:.1f} s beside room on {sorted(machines)}")
    print(f"waited {waited:.1f} s beside room on {sorted(machines)}")
    if waited >= WAIT_S:
        return f"{small['uid']} waited {waited:.1f} s after the trouble beside room on {sorted(machines)}"
    return None


if __name__ == "__main__":
    main(HERE, shegerair(), {"bole": 2, "kality": 1}, play)
