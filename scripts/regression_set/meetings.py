"""Days on which several faults meet, and whether each brought its meeting about."""

import concurrent.futures
import json
import pathlib
import re
import subprocess
import tempfile

from .grown import Report, judge_grown
from .kit import ROOT, relative, side_by_side
from .sites import day_for, grow, lengthen

# The days on which troubles meet, and how long before the outage the refusal begins, where there
# is one.
MEETINGS = [
    ("meet-refused", 1.0),
    ("meet-refused", 5.0),
    ("meet-refused", 12.0),
    ("meet-refused", 25.0),
    ("meet-refused-cut", 5.0),
    ("meet-refused-cut", 12.0),
    ("meet-refused-stand", 5.0),
    ("meet-refused-ends", 5.0),
    ("meet-refused-deaf", 12.0),
    ("meet-apart", 0.0),
    ("meet-deaf", 0.0),
    ("meet-late", 0.0),
    ("meet-mute", 0.0),
    ("meet-called-off", 1.0),
    ("meet-at-end", 0.0),
    ("meet-limit", 0.0),
]


def meeting_of(report: Report, log: str) -> tuple[int, int] | None:
    """Whether a refusal that meets an outage did: how many cancellations others than the refused
    controller confirmed between the two, and how many reports that one answered without being
    answered itself. `None`: no such day."""
    events = [(e["at_s"], e["what"]) for e in report["events"]]
    parted = [
        (t, re.match(r"the state service refuses (\S+)|(\S+) loses the state service", w))
        for t, w in events
    ]
    refused = [(t, m[1] or m[2]) for t, m in parted if m]
    down = [t for t, w in events if "state service has trouble" in w]
    if not refused or not down:
        return None
    (begun, who), outage = refused[0], down[0]
    confirmed = answered = 0
    for line in log.splitlines():
        words = line.split()
        if len(words) < 4 or not re.match(r"[\d.]+$", words[0]):
            continue
        at, node = float(words[0]), words[1]
        if " cancelled job=" in line and node != who and begun < at < outage:
            confirmed += 1
        if "heartbeats answered without the store" in line and node == who and at > begun:
            answered += int(re.search(r"heartbeats=(\d+)", line)[1])
    return confirmed, answered


def play_meeting(
    bench: pathlib.Path,
    site: pathlib.Path,
    name: str,
    lead: float,
    seed: int,
    folder: pathlib.Path,
    why: str,
) -> tuple[Report | None, tuple[int, int] | None]:
    """Plays one day; its report, and whether it brought its meeting about."""
    day = day_for(site, name, folder, lead)
    report = folder / f"{day.stem}-{seed}.json"
    words = [relative(p) for p in (site, day)]
    command = [str(bench), "run", *words, "--no-cpu", "--log", "info", "--report", str(report)]
    command += ["--seed", str(seed), "--why", f"{why}: {name}, {lead:g} s before"]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if not report.exists():
        return None, None
    told = json.loads(report.read_text())
    return told, meeting_of(told, ended.stdout + ended.stderr)


def meetings(
    bench: pathlib.Path,
    sites: list[pathlib.Path],
    seeds: int,
    only: list[str] | None,
    why: str,
) -> bool:
    """The days on which troubles meet, with long tasks: at the sites' own size, and grown."""
    clean = True
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "own").mkdir()
        (folder / "more").mkdir()
        longer = [lengthen(pathlib.Path(s), folder / "own") for s in sites]
        larger = [grow(s, folder / "more") for s in longer]
        subprocess.run([str(bench), "build"], cwd=ROOT, stdout=subprocess.DEVNULL)
        with concurrent.futures.ThreadPoolExecutor(side_by_side()) as pool:
            days = []
            for seed in range(seeds):
                for name, lead in MEETINGS:
                    if only and name not in only:
                        continue
                    for site in longer + (larger if name == "meet-refused" and lead == 5.0 else []):
                        own = (bench, site, name, lead, 7300 + seed, site.parent, why)
                        days.append((name, lead, site, pool.submit(play_meeting, *own)))
            for name, lead, site, day in days:
                report, met = day.result()
                label = f"{name}-{lead:g}" + ("+" if site in larger else "")
                if report is None:
                    print(f"{site.stem:24} {label:18}\n  FAULT the day was not played")
                    clean = False
                    continue
                more = "" if met is None else f"  confirmed {met[0]}  answered {met[1]}"
                clean = judge_grown(label, site, report, more) and clean
                if met is not None and met[0] == 0:
                    # It shows nothing, but breaks nothing either.
                    print("  NOTE no cancellation fell between the refusal and the outage")
    return clean
