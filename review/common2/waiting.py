"""The check of the rule on waiting jobs, as written: 90 s, a machine that fits has room, the team is
under its limit."""

import asyncio

from standin import now

WAIT_S = 90.0
AMOUNTS = ("vcpus", "accelerators", "memory_gb")


def has_room(fleet, worker, request):
    """Whether the machine fits the job and has room for one of its tasks."""
    machine = worker.machine
    if request["hosttypes"] is not None and machine["hosttype"] not in request["hosttypes"]:
        return False
    if request["hall"] not in (None, machine["hall"]) or (machine["reclaimable"] and not request["reclaimable"]):
        return False
    free = fleet.free(worker)
    return all(request[amount] <= free[amount] + 1e-9 for amount in AMOUNTS)


def team_use(fleet, team):
    """GPUs that the team's tasks use, fetching ones too."""
    used = 0.0
    for worker in fleet.workers.values():
        for (shard, _), task in worker.tasks.items():
            request = fleet.requests.get(shard.rsplit("/", 1)[0])
            if task["phase"] != "exited" and request is not None and request["tenant"] == team:
                used += request["accelerators"]
    return used


async def watch_waiting(case, uid, limit_gpus, seconds):
    """Watches one job of a single task. Returns (longest wait beside room, names of the machines that
    had room all the while), ending early when the job starts."""
    fleet, request = case.fleet, case.fleet.requests[uid]
    since, machines, longest, where = None, set(), 0.0, set()
    end = now() + seconds
    while now() < end:
        placed = any(
            shard == f"{uid}/0" and task["phase"] != "exited"
            for worker in fleet.workers.values() for (shard, _), task in worker.tasks.items()
        )
        if placed or f"{uid}/0" in fleet.results:
            case.record("case", f"{uid} is on a machine")
            return longest, where
        room = {n for n, w in fleet.workers.items() if has_room(fleet, w, request)}
        under = team_use(fleet, request["tenant"]) + request["accelerators"] <= limit_gpus
        if since is not None and under and room & machines:
            machines &= room
        elif under and room:
            since, machines = now(), room
        else:
            since, machines = None, set()
        if since is not None and now() - since > longest:
            longest, where = now() - since, set(machines)
        await asyncio.sleep(0.1)
    return longest, where
