#!/usr/bin/env python3
"""Case 2: a job that is bound to one zone loses its machine and waits for ever, since its partition has enough machines elsewhere."""
import asyncio, os, sys
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import World, HOSTS, job, now, run_case

SERVICES, JOB = ["job-%06d" % n for n in range(301, 306)], "job-000306"
WAIT_S = 90.0      # "left waiting for 90 s"

async def main(record, root, trouble):
    # 20 machines are up at the start, 13 of them in kality, as the site file has it.
    w = World(record, root, machines={"kality": 13, "bole": 7}, cap={("kality", False): 15, ("kality", True): 3, ("bole", False): 8, ("bole", True): 2})
    await w.start()
    if not await w.ready(): w.rec("controllers not ready"); return 2
    while sum(1 for h in HOSTS.values() if h.answered) < 20 and now() < 10: await asyncio.sleep(0.05)
    w.runs[JOB] = 30.0
    for n, uid in enumerate(SERVICES):
        if not await w.submit(job(uid, "daemon", 1, team="platformops-01", cls="aqindex", urgency="prod", exp=0.0, hall="kality", gb=0.2)): return 2
    if not await w.submit(job(JOB, "array", 1, gpus=1.0, cpus=6.0, mem=48.0, team="platformops-00", cls="backfill", urgency="idle", hall="kality", exp=30.0, every=10.0, save=6.0, due=600.0, spot=True, gb=0.2, img="img-1")): return 2
    while not any(s.startswith(JOB) for s in w.check.on) and now() < 20: await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    on = [h for s, hs in w.check.on.items() if s.startswith(JOB) for h in hs]
    if not on: w.rec("the job does not run"); return 2
    w.rec("machines:", {u: h.hall for u, h in HOSTS.items() if not h.gone}, "the job is on", on)
    if trouble:
        w.rec("TROUBLE", on[0], "stops with all that is on it"); HOSTS[on[0]].die()
        async def failed():
            await asyncio.sleep(30)
            if on[0] in w.cloud.m: w.cloud.m[on[0]]["phase"] = "failed"
        asyncio.ensure_future(failed())
    free_from = now() + w.lease_s * 1.002 + 0.4   # its lease has surely lapsed
    room, waiting = None, None
    while now() < 117.5:
        st, o = await w.poll(JOB); w.rec("user asks", JOB, st, o)
        if w.check.broken: return 1
        if w.crashed(): w.rec("a controller ended by itself", w.crashed()); return 1
        if len(w.check.done_tasks.get(JOB, ())) and st == 200 and o["phase"] == "done": w.rec("the job is done"); return 0
        if trouble and now() > free_from:
            if st == 200 and o["phase"] == "pending":
                if waiting is None: waiting = now()
            elif st == 200: waiting, room = None, None
            fits = {h.uid for h in HOSTS.values() if not h.gone and h.hall == "kality" and h.used()[0] + 6 <= 16 and h.used()[1] + 1 <= 2 and h.used()[2] + 48 <= 128}
            room = fits if room is None else room & fits
            if waiting and now() - waiting >= WAIT_S and room:
                w.rec("the job has waited", round(now() - waiting, 1), "s; machines in its zone that had room for it all the time:", sorted(room), "machines:", {u: h.hall for u, h in HOSTS.items() if not h.gone})
                return 1
        await asyncio.sleep(2.0)
    w.rec("waiting since", waiting, "room", room)
    return 0 if waiting is None else 2

run_case(main)
