#!/usr/bin/env python3
"""Case 1: a gang that completed is never called done when the report of its last task is lost with the lease."""
import asyncio, os, sys
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import World, HOSTS, job, now, run_case

GANG, AFTER = "job-000101", "job-000102"
RUN_S = 6.0        # run time of the gang
MUTE_S = 18.0      # longer than lease_s (16 s) plus the 1.25 report intervals that may pass before the first lost report
WAIT_S = 90.0      # "left waiting for 90 s"

async def main(record, root, trouble):
    w = World(record, root, machines={"bole": 4, "kality": 4})
    await w.start()
    if not await w.ready(): w.rec("controllers not ready"); return 2
    w.runs[GANG], w.runs[AFTER] = RUN_S, 3.0
    if not await w.submit(job(GANG, "ensemble", 2, gpus=2.0, cpus=14.0, mem=100.0, cls="smokecast", urgency="urgent", together=True, exp=RUN_S, every=15.0, save=2.0, gb=0.2)): return 2
    if not await w.submit(job(AFTER, "array", 1, cls="publish", urgency="urgent", exp=3.0, gb=0.2, waits=[GANG])): return 2
    while len([s for s in w.check.on if s.startswith(GANG)]) < 2 and now() < 20: await asyncio.sleep(0.05)
    on = {s: list(h) for s, h in w.check.on.items() if s.startswith(GANG)}
    if len(on) < 2: w.rec("the gang did not start"); return 2
    muted = HOSTS[on[GANG + "/1"][0]]; over = now()
    if muted.uid == on[GANG + "/0"][0]: w.rec("both tasks on one machine"); return 2
    await asyncio.sleep(1.0)
    if trouble:
        w.rec("TROUBLE", muted.uid, "reaches no controller from now on; direct commands reach it"); muted.mute = True; over = now() + MUTE_S
    async def unmute():
        await asyncio.sleep(max(0, over - now())); muted.mute = False; w.rec("TROUBLE over,", muted.uid, "reaches the controllers again")
    u = asyncio.ensure_future(unmute())
    while len(w.check.done_tasks.get(GANG, ())) < 2 and now() < over + 40: await asyncio.sleep(0.05)
    if len(w.check.done_tasks.get(GANG, ())) < 2: w.rec("the gang did not complete on its machines"); return 2
    w.rec("both tasks of", GANG, "have completed")
    # From the end of the trouble on, users ask at all nodes. The case ends as soon as the gang is called done and the job after it has run.
    while now() < over + WAIT_S:
        phases = []
        for i in range(3):
            for uid in (GANG, AFTER):
                st, o = await w.poll(uid, i); phases.append((uid, "worker-%d" % i, st, o and o["phase"], o and o["done"]))
        w.rec("users ask", phases)
        if w.check.broken: return 1
        if w.crashed(): w.rec("a controller ended by itself", w.crashed()); return 1
        if all(p[2] == 200 and p[3] == "done" for p in phases): w.rec("both jobs are called done"); return 0
        await asyncio.sleep(min(3.0, max(0.1, over + WAIT_S - now())))
    room = [h.uid for h in HOSTS.values() if not h.gone and not any(k["phase"] != "exited" for k in h.tasks.values())]
    w.rec("machines without any task at the end:", room, "reports answered", [h.uid for h in HOSTS.values() if not h.gone and h.answered])
    w.rec(WAIT_S, "s after the end of the trouble the completed gang is not called done, and the job after it has not started")
    return 1 if room else 2

run_case(main)
