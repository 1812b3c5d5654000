"""Plays days on which several faults overlap, and checks in the log whether they did overlap."""

import concurrent.futures
import json
import pathlib
import re
import subprocess
import tempfile

from .grown import Report, report_day
from .kit import REPOSITORY_ROOT, max_parallel_days, relative_to_repository
from .sites import lengthen_tasks, scale_site, write_day

# Day names, each with the seconds by which the refusal of one controller precedes the outage of
# the state service. The seconds have no meaning for days without a refusal.
OVERLAP_DAYS = [
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


def count_overlap_evidence(report: Report, log: str) -> tuple[int, int] | None:
    """Counts log lines which show that a refusal and an outage of the state service overlapped.

    The first count is of cancellations that controllers other than the refused one confirmed
    after the refusal and before the outage. The second is of heartbeats that the refused
    controller answered after the refusal without an answer from the state service. Returns `None`
    if the day has no refusal or no outage.
    """
    events = [(e["at_s"], e["what"]) for e in report["events"]]
    refusal_matches = [
        (t, re.match(r"the state service refuses (\S+)|(\S+) loses the state service", w))
        for t, w in events
    ]
    refusals = [(t, m[1] or m[2]) for t, m in refusal_matches if m]
    outage_starts = [t for t, w in events if "state service has trouble" in w]
    if not refusals or not outage_starts:
        return None
    (refusal_start_s, refused_node), outage_start_s = refusals[0], outage_starts[0]
    confirmed_cancellations = answered_heartbeats = 0
    for line in log.splitlines():
        line_words = line.split()
        if len(line_words) < 4 or not re.match(r"[\d.]+$", line_words[0]):
            continue
        time_s, node = float(line_words[0]), line_words[1]
        if (
            " cancelled job=" in line
            and node != refused_node
            and refusal_start_s < time_s < outage_start_s
        ):
            confirmed_cancellations += 1
        if (
            "heartbeats answered without the store" in line
            and node == refused_node
            and time_s > refusal_start_s
        ):
            answered_heartbeats += int(re.search(r"heartbeats=(\d+)", line)[1])
    return confirmed_cancellations, answered_heartbeats


def play_overlap_day(
    bench: pathlib.Path,
    site: pathlib.Path,
    day_name: str,
    refusal_lead_s: float,
    seed: int,
    folder: pathlib.Path,
    reason: str,
) -> tuple[Report | None, tuple[int, int] | None]:
    """Plays one day; returns its report and the result of `count_overlap_evidence`.

    Both are `None` if the bench wrote no report.
    """
    day = write_day(site, day_name, folder, refusal_lead_s)
    report_path = folder / f"{day.stem}-{seed}.json"
    arguments = [relative_to_repository(p) for p in (site, day)]
    command = [
        str(bench),
        "run",
        *arguments,
        "--no-cpu",
        "--log",
        "info",
        "--report",
        str(report_path),
    ]
    command += ["--seed", str(seed), "--why", f"{reason}: {day_name}, {refusal_lead_s:g} s before"]
    completed = subprocess.run(command, cwd=REPOSITORY_ROOT, capture_output=True, text=True)
    if not report_path.exists():
        return None, None
    report = json.loads(report_path.read_text())
    return report, count_overlap_evidence(report, completed.stdout + completed.stderr)


def play_overlaps(
    bench: pathlib.Path,
    sites: list[pathlib.Path],
    seed_count: int,
    selected_days: list[str] | None,
    reason: str,
) -> bool:
    """Plays `OVERLAP_DAYS` on the sites with lengthened tasks; returns whether none has a fault.

    The day `meet-refused` with a lead of 5 s is played on scaled copies of the sites as well.
    `selected_days` of `None` selects all days.
    """
    is_clean = True
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "own").mkdir()
        (folder / "more").mkdir()
        long_task_sites = [lengthen_tasks(pathlib.Path(s), folder / "own") for s in sites]
        scaled_sites = [scale_site(s, folder / "more") for s in long_task_sites]
        subprocess.run([str(bench), "build"], cwd=REPOSITORY_ROOT, stdout=subprocess.DEVNULL)
        with concurrent.futures.ThreadPoolExecutor(max_parallel_days()) as pool:
            pending_days = []
            for seed in range(seed_count):
                for day_name, lead_s in OVERLAP_DAYS:
                    if selected_days and day_name not in selected_days:
                        continue
                    for site in long_task_sites + (
                        scaled_sites if day_name == "meet-refused" and lead_s == 5.0 else []
                    ):
                        arguments = (
                            bench,
                            site,
                            day_name,
                            lead_s,
                            7300 + seed,
                            site.parent,
                            reason,
                        )
                        pending_days.append(
                            (day_name, lead_s, site, pool.submit(play_overlap_day, *arguments))
                        )
            for day_name, lead_s, site, pending_day in pending_days:
                report, evidence = pending_day.result()
                label = f"{day_name}-{lead_s:g}" + ("+" if site in scaled_sites else "")
                if report is None:
                    print(f"{site.stem:24} {label:18}\n  FAULT the day was not played")
                    is_clean = False
                    continue
                evidence_columns = (
                    "" if evidence is None else f"  confirmed {evidence[0]}  answered {evidence[1]}"
                )
                is_clean = report_day(label, site, report, evidence_columns) and is_clean
                if evidence is not None and evidence[0] == 0:
                    # Such a run proves nothing about the overlap, but is not a failure either.
                    print("  NOTE no cancellation fell between the refusal and the outage")
    return is_clean
