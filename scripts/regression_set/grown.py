"""Plays days of bench/days on sites that are scaled to 1.5 times their machines."""

import concurrent.futures
import json
import pathlib
import subprocess
import tempfile
import tomllib
from typing import Any

from .kit import REPOSITORY_ROOT, max_parallel_days, relative_to_repository
from .score import MIN_STARTED_SHARE
from .sites import scale_site, write_day

Report = dict[str, Any]

# Names of files in bench/days, without the suffix.
SCALED_SITE_DAYS = [
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
# A day fails if a controller uses more than this fraction of the site's limit on connections or
# memory.
MAX_LIMIT_FRACTION = 0.9


def play_day(
    bench: pathlib.Path, site: pathlib.Path, day_name: str, folder: pathlib.Path, reason: str
) -> tuple[str, pathlib.Path, Report | None]:
    """Plays one day; returns its name, its site and the report.

    The report is `None` if the bench wrote none.
    """
    day, report_path = (
        write_day(site, day_name, folder),
        folder / f"{site.stem}-{day_name}.json",
    )
    arguments = [relative_to_repository(p) for p in (site, day)]
    command = [
        str(bench),
        "run",
        *arguments,
        "--no-cpu",
        "--report",
        str(report_path),
        "--why",
        reason,
    ]
    subprocess.run(
        command, cwd=REPOSITORY_ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    if not report_path.exists():
        return day_name, site, None
    return day_name, site, json.loads(report_path.read_text())


def report_day(label: str, site: pathlib.Path, report: Report, extra_columns: str = "") -> bool:
    """Prints a line with the results of a day, then its faults; returns whether there are none."""
    limits = tomllib.loads(site.read_text())["nodes"]
    faults = []
    started_shares = {
        f"{kind} {n}": c["started"] / c["jobs"]
        for kind, report_field in (("class", "classes"), ("team", "teams"), ("largest", "largest"))
        for n, c in report.get(report_field, {}).items()
        if c["jobs"]
    }
    least_served = min(started_shares, key=started_shares.get)
    nodes = report["node_stats"]
    socket_fraction = max(n["connections_peak"] for n in nodes) / limits["max_connections"]
    memory_fraction = max(n["memory_peak_mb"] for n in nodes) / limits["memory_mb"]
    up_values = [t["value"] for t in report["targets"] if t.get("worst_s")]
    submit_values = [t["value"] for t in report["targets"] if t["kind"] == "submit"]
    if report["rules_broken"]["total"]:
        faults.append(f"rules broken: {report['rules_broken']['by_kind']}")
    if started_shares[least_served] < MIN_STARTED_SHARE:
        faults.append(f"{least_served} is served to {started_shares[least_served]:.2f}")
    if socket_fraction > MAX_LIMIT_FRACTION:
        faults.append(f"sockets at {socket_fraction:.2f} of the limit")
    if memory_fraction > MAX_LIMIT_FRACTION:
        faults.append(f"memory at {memory_fraction:.2f} of the limit")
    if any(n["panics"] for n in nodes):
        faults.append("a controller ended by itself")
    print(
        f"{site.stem:24} {label:18} up {min(up_values, default=1):.3f}"
        f"  killed {report['fleet']['tasks_killed_by_lease']:5}"
        f"  submitted {min(submit_values, default=1):.3f}"
        f"  least {started_shares[least_served]:.3f} ({least_served})"
        f"  sockets {socket_fraction:.2f}  memory {memory_fraction:.2f}{extra_columns}",
        flush=True,
    )
    for fault in faults:
        print(f"  FAULT {fault}")
    return not faults


def play_scaled_sites(bench: pathlib.Path, sites: list[pathlib.Path], reason: str) -> bool:
    """Plays `SCALED_SITE_DAYS` on scaled copies of the sites; returns whether none has a fault."""
    is_clean = True
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        scaled_sites = [scale_site(pathlib.Path(s), folder) for s in sites]
        subprocess.run([str(bench), "build"], cwd=REPOSITORY_ROOT, stdout=subprocess.DEVNULL)
        with concurrent.futures.ThreadPoolExecutor(max_parallel_days()) as pool:
            pending_days = [
                pool.submit(play_day, bench, site, day_name, folder, reason)
                for day_name in SCALED_SITE_DAYS
                for site in scaled_sites
            ]
            for pending_day in pending_days:
                day_name, site, report = pending_day.result()
                if report is None:
                    print(f"{site.stem:24} {day_name:18}\n  FAULT the day was not played")
                    is_clean = False
                else:
                    is_clean = report_day(day_name, site, report) and is_clean
    return is_clean
