"""A waiting gang keeps a machine: does a small job beside the free room there ever start?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
from standin import CannotRun, job, laudmang, main
from waiting import WAIT_S, has_room, watch_waiting

TEAM, LIMIT_GPUS = "engineroom-00", 104.0


def liveeval(number):
    return job(f"job-{number:06d}", TEAM, shape="daemon", urgency="prod", jobclass="liveeval",
               vcpus=8.0, accelerators=1.0, memory_gb=58.0, expected_s=0.0)


def nettrain(number):
    return job(f"job-{number:06d}", TEAM, shape="ensemble", urgency="urgent", jobclass="nettrain",
               vcpus=43.0, accelerators=4.0, memory_gb=310.0, expected_s=180.0,
               snapshot_every_s=30.0, snapshot_s=5.0)


async def run_on_machines(case, count):
    for _ in range(400):
        if len(case.fleet.on) == count:
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{len(case.fleet.on)} tasks on machines, not {count}")


async def play(case):
    users, fleet = case.users, case.fleet
    # Two machines, full: one training (4 GPUs, 180 s) and twelve replicas.
    await users.submit(nettrain(1), run_s=180.0)
    await run_on_machines(case, 1)
    for number in range(11, 23):
        await users.submit(liveeval(number))
    await run_on_machines(case, 13)
    # Two replicas beside the training are called off: two GPUs, 37 CPUs and 342 GB are free there.
    training = next(w for shard, w in fleet.on if shard == "job-000001/0")
    beside = [shard for shard, w in fleet.on if w == training and shard != "job-000001/0"]
    if len(beside) != 4:
        raise CannotRun(f"beside the training run {beside}")
    for shard in sorted(beside)[:2]:
        await users.cancel(shard.rsplit("/", 1)[0])
    await run_on_machines(case, 11)
    if case.trouble:
        case.record("trouble", "the jobs of nettrain come more often")
        status, _ = await users.submit(nettrain(2), run_s=180.0)
        if status not in (200, 201):
            raise CannotRun("the second training was not accepted")
        await asyncio.sleep(2.0)
        case.record("trouble", "over: no more come")
    small = job("job-000050", TEAM, urgency="standard", jobclass="postmortem", vcpus=10.0,
                accelerators=1.0, memory_gb=72.0, expected_s=35.0, due_s=80.0, reclaimable=True)
    status, _ = await users.submit(small, run_s=35.0)
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
    main(HERE, laudmang(), {"kopli": 1, "raadi": 1}, play)
