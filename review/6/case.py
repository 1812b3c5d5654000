"""Jobs of a class come several times as often for some seconds: does the one beside the free room of
another team's machines ever start?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
from standin import CannotRun, job, main, shegerair
from waiting import WAIT_S, watch_waiting

LIMIT_GPUS = 18.0


def aqindex(number, team):
    return job(f"job-{number:06d}", team, shape="daemon", urgency="prod", jobclass="aqindex",
               expected_s=0.0)


async def play(case):
    users, fleet = case.users, case.fleet
    # Seven replicas of two teams on the four machines of the cloud: one GPU stays free.
    first = [aqindex(n, "platformops-00") for n in (1, 2, 3)]
    first += [aqindex(n, "platformops-01") for n in (11, 12, 13, 14)]
    await asyncio.gather(*(users.submit(request) for request in first))
    for _ in range(300):
        if len(fleet.on) == 7 and len(fleet.workers) == 4:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the first seven jobs do not run")
    await asyncio.sleep(3.0)
    if case.trouble:
        # The next job comes ten times as early as at 1.2 a minute.
        case.record("trouble", "the jobs of aqindex come more often")
    else:
        # At the usual pace one of the team's services has been called off before the next one comes.
        await users.cancel("job-000011")
    watched = "job-000020"
    status, _ = await users.submit(aqindex(20, "platformops-01"))
    if status not in (200, 201):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(2.0)
    case.record("trouble", "over: no more jobs come")
    waited, machines = await watch_waiting(case, watched, LIMIT_GPUS, WAIT_S + 2.0)
    await users.poll(watched)
    case.record("case", f"{watched} waited {waited:.1f} s beside room on {sorted(machines)}")
    print(f"waited {waited:.1f} s beside room on {sorted(machines)}")
    if waited >= WAIT_S:
        return f"{watched} waited {waited:.1f} s after the trouble beside room on {sorted(machines)}"
    return None


if __name__ == "__main__":
    main(HERE, shegerair(), {"bole": 2, "kality": 2}, play)
