#!/usr/bin/env python3
"""Case 3: a job whose tasks failed on two sick machines gets no machine any more and waits for ever."""
import asyncio, os, sys
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import LAUDMANG, World, HOSTS, job, now, run_case

SERVICE, EARLIER, JOB = "job-000201", ["job-%06d" % n for n in range(202, 208)], "job-000208"
SICK = 2           # machines, of 12 that are up
WAIT_S = 90.0      # "left waiting for 90 s"
NETTRAIN = dict(shape="ensemble", shards=1, cls="nettrain", urgency="urgent", gpus=4.0, cpus=43.0, mem=310.0, team="engineroom-00", spot=True, every=30.0, save=2.0, gb=0.05, img="img-1")

async def main(record, root, trouble):
    w = World(record, root, fail_after_s=0.1, **dict(LAUDMANG, machines={"ulemiste": 4, "kopli": 4, "raadi": 4}))
    await w.start()
    if not await w.ready(): w.rec("controllers not ready"); return 2
    while sum(1 for h in HOSTS.values() if h.answered) < 12 and now() < 10: await asyncio.sleep(0.05)
    w.runs.update({JOB: 5.0, **{uid: 0.5 for uid in EARLIER}})
    # A service of another team keeps running on a machine that has room beside it.
    if not await w.submit(job(SERVICE, "daemon", 1, team="engineroom-01", cls="liveeval", urgency="prod", gpus=1.0, cpus=8.0, mem=58.0, exp=0.0, gb=0.05)): return 2
    # Earlier jobs of the same class fill machines for half a second; these work well then.
    if not all(await asyncio.gather(*[w.submit(job(uid, exp=0.5, **NETTRAIN)) for uid in EARLIER])): return 2
    while len([u for u in EARLIER if u in w.check.done_tasks]) < len(EARLIER) and now() < 20: await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    used = [u for u, h in HOSTS.items() if "img-1" in h.images]
    w.rec("the earlier jobs have run on", used)
    sick, start = [], w.check.start
    def on_start(host, shard, tr):   # the sick machines are the first two that this job meets
        if trouble and shard.startswith(JOB) and host.uid not in sick and len(sick) < SICK:
            sick.append(host.uid); host.sick = True; w.rec("TROUBLE", host.uid, "is sick: it fails every task that it starts")
        start(host, shard, tr)
    w.check.start = on_start
    if not await w.submit(job(JOB, exp=5.0, **NETTRAIN)): return 2
    # The trouble is over once no sick machine is left, after 17 s at the latest.
    over = now() + (17 if trouble else 0)
    while now() < over and not (len(sick) == SICK and all(HOSTS[u].gone for u in sick)) and JOB not in w.check.done_tasks: await asyncio.sleep(0.2)
    over = now()
    for u in sick: HOSTS[u].sick = False
    w.rec("TROUBLE over; sick machines that are still there:", [u for u in sick if not HOSTS[u].gone])
    room = None
    while now() < over + WAIT_S:
        st, o = await w.poll(JOB); w.rec("user asks", JOB, st, o)
        if w.check.broken: return 1
        if w.crashed(): w.rec("a controller ended by itself", w.crashed()); return 1
        if st == 200 and o["phase"] in ("running", "done"): w.rec("the job runs"); return 0
        fits = {h.uid for h in HOSTS.values() if not h.gone and h.used()[0] + 43 <= 96 and h.used()[1] + 4 <= 8 and h.used()[2] + 310 <= 768}
        room = fits if room is None else room & fits
        await asyncio.sleep(min(3.0, max(0.1, over + WAIT_S - now())))
    w.rec("machines that had room for a task all the time:", sorted(room), "machines at the end:", sorted(u for u, h in HOSTS.items() if not h.gone))
    w.rec("the job has waited", WAIT_S, "s since the end of the trouble; its team runs nothing")
    return 1 if room else 2

run_case(main)
