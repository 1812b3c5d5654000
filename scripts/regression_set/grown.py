"""Days of our own on sites with half as many machines again."""

import concurrent.futures
import json
import pathlib
import subprocess
import tempfile
import tomllib
from typing import Any

from .kit import ROOT, relative, side_by_side
from .score import LEAST
from .sites import day_for, grow

Report = dict[str, Any]

GROWN_DAYS = [
    "one-left",
    "stand-and-cut",
    "all-down",
    "quick-restarts",
    "sold-out",
    "drawn-cuts-1",
    "starve-urgent",
    "starve-deadline",
    "starve-production",
]
# Sockets and memory, beside what the site allows.
ROOM = 0.9


def play_grown(
    bench: pathlib.Path, site: pathlib.Path, name: str, folder: pathlib.Path, why: str
) -> tuple[str, pathlib.Path, Report | None]:
    """Plays one day; its name, its site and its report, if it was played."""
    day, report = day_for(site, name, folder), folder / f"{site.stem}-{name}.json"
    words = [relative(p) for p in (site, day)]
    command = [str(bench), "run", *words, "--no-cpu", "--report", str(report), "--why", why]
    subprocess.run(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    if not report.exists():
        return name, site, None
    return name, site, json.loads(report.read_text())


def judge_grown(name: str, site: pathlib.Path, report: Report, more: str = "") -> bool:
    """One line of what a day came to; false if it failed."""
    about = tomllib.loads(site.read_text())["nodes"]
    found = []
    shares = {
        f"{kind} {n}": c["started"] / c["jobs"]
        for kind, told in (("class", "classes"), ("team", "teams"), ("largest", "largest"))
        for n, c in report.get(told, {}).items()
        if c["jobs"]
    }
    least = min(shares, key=shares.get)
    nodes = report["node_stats"]
    sockets = max(n["connections_peak"] for n in nodes) / about["max_connections"]
    memory = max(n["memory_peak_mb"] for n in nodes) / about["memory_mb"]
    worst = [t["value"] for t in report["targets"] if t.get("worst_s")]
    submit = [t["value"] for t in report["targets"] if t["kind"] == "submit"]
    if report["rules_broken"]["total"]:
        found.append(f"rules broken: {report['rules_broken']['by_kind']}")
    if shares[least] < LEAST:
        found.append(f"{least} is served to {shares[least]:.2f}")
    if sockets > ROOM:
        found.append(f"sockets at {sockets:.2f} of the limit")
    if memory > ROOM:
        found.append(f"memory at {memory:.2f} of the limit")
    if any(n["panics"] for n in nodes):
        found.append("a controller ended by itself")
    print(
        f"{site.stem:24} {name:18} up {min(worst, default=1):.3f}"
        f"  killed {report['fleet']['tasks_killed_by_lease']:5}"
        f"  submitted {min(submit, default=1):.3f}  least {shares[least]:.3f} ({least})"
        f"  sockets {sockets:.2f}  memory {memory:.2f}{more}",
        flush=True,
    )
    for text in found:
        print(f"  FAULT {text}")
    return not found


def grown(bench: pathlib.Path, sites: list[pathlib.Path], why: str) -> bool:
    """Plays all days of our own on the grown sites; whether all are clean."""
    clean = True
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        grown_sites = [grow(pathlib.Path(s), folder) for s in sites]
        subprocess.run([str(bench), "build"], cwd=ROOT, stdout=subprocess.DEVNULL)
        with concurrent.futures.ThreadPoolExecutor(side_by_side()) as pool:
            days = [
                pool.submit(play_grown, bench, site, name, folder, why)
                for name in GROWN_DAYS
                for site in grown_sites
            ]
            for day in days:
                name, site, report = day.result()
                if report is None:
                    print(f"{site.stem:24} {name:18}\n  FAULT the day was not played")
                    clean = False
                else:
                    clean = judge_grown(name, site, report) and clean
    return clean
