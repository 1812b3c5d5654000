"""Runs the bench's `score` and `hunt`, finds faults and compares scores with the journal."""

import pathlib
import subprocess

from .journal import Entry, load_entries, select_comparison
from .kit import REPOSITORY_ROOT, exit_with_error

# A run fails if its score drops by more than this; smaller drops are noise.
MAX_SCORE_DROP = 0.03
# A day fails if less than this share of the jobs of a class, of a team or of a class's largest jobs
# has started.
MIN_STARTED_SHARE = 0.5


def find_faults(entry: Entry) -> list[str]:
    """Returns descriptions of everything that fails a run regardless of its score."""
    faults = []
    if entry["cmd"] == "score" and entry.get("score") is None:
        faults.append("no score")
    if entry.get("error"):
        faults.append(str(entry["error"]))
    for day in entry.get("days") or []:
        broken_rules = [f"{rule} x{n}" for rule, n in (day.get("rules") or {}).items() if n]
        if broken_rules:
            faults.append(f"{day['name']}: rule broken: {', '.join(broken_rules)}")
        if day.get("fault"):
            faults.append(f"{day['name']}: {day['fault']}")
        if day.get("restarts"):
            faults.append(f"{day['name']}: {day['restarts']:g} controllers ended by themselves")
        for name, _, started_share in day.get("served") or []:
            if started_share < MIN_STARTED_SHARE:
                faults.append(f"{day['name']}: {name} is served to {started_share:.2f}")
    return faults


def describe_least_served(entry: Entry) -> str:
    """Describes the smallest share of started jobs over all days of the run.

    Shares are counted per class, per team and for the largest jobs of each class.
    """
    served = [
        (s, n, d["name"]) for d in entry.get("days") or [] for n, _, s in d.get("served") or []
    ]
    if not served:
        return "least not told"
    started_share, name, day_name = min(served)
    return f"least {started_share:.3f} ({name} on {day_name})"


def run_bench(
    bench: pathlib.Path, subcommand: str, arguments: list[str], reason: str
) -> tuple[dict[str, Entry], list[Entry]]:
    """Runs the bench; returns the earlier journal entries and the entries that it wrote.

    Exits with status 2 if the run wrote no entry.
    """
    old_entries = load_entries()
    command = [
        str(bench),
        subcommand,
        *arguments,
        *(["--why", reason] if reason and subcommand == "score" else []),
    ]
    print(f"-- {subcommand} {' '.join(pathlib.Path(a).name for a in arguments)}", flush=True)
    exit_code = subprocess.run(command, cwd=REPOSITORY_ROOT).returncode
    all_entries = load_entries()
    # A concurrent run may write entries too: only those of this run's command and sites count.
    site_names = {pathlib.Path(a).stem for a in arguments if a.endswith(".toml")}
    new_entries = [
        e
        for file_name, e in all_entries.items()
        if file_name not in old_entries and e["cmd"] == subcommand and e.get("site") in site_names
    ]
    if not new_entries:
        exit_with_error(f"the bench ended with {exit_code} and left no entry in the journal")
    return old_entries, new_entries


def report_entries(old_entries: dict[str, Entry], new_entries: list[Entry]) -> bool:
    """Prints a line for each new entry, followed by its faults; returns whether there are none."""
    is_clean = True
    for entry in new_entries:
        faults = find_faults(entry)
        if entry["cmd"] == "score" and entry.get("score") is not None:
            earlier_score, score, label = select_comparison(entry, old_entries)
            has_dropped = earlier_score is not None and earlier_score - score > MAX_SCORE_DROP
            change = (
                ""
                if earlier_score is None
                else f"  was {earlier_score:.3f}  {score - earlier_score:+.3f}"
            )
            print(
                f"{entry['site']:28} {entry['score']:.3f}  compared {score:.3f}{change}  ({label})"
                f"  {describe_least_served(entry)}"
            )
            if has_dropped:
                faults.append(f"fell by {earlier_score - score:.3f}")
        else:
            days = entry.get("days") or []
            print(
                f"{entry['site']:28} {entry['cmd']} of {len(days)} days"
                f"  {describe_least_served(entry)}"
            )
        for fault in faults:
            print(f"  FAULT {fault}")
        is_clean = is_clean and not faults
    return is_clean
