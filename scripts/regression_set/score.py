"""Scores and hunts: what fails a run, and how it compares with an earlier one."""

import pathlib
import subprocess

from .journal import Entry, earlier, entries
from .kit import ROOT, stop

# Figures that fall by more fail; less is noise.
FALL = 0.03
# Classes and teams of which less has begun fail a day.
LEAST = 0.5


def faults(entry: Entry) -> list[str]:
    """What fails a run whatever its figure."""
    found = []
    if entry["cmd"] == "score" and entry.get("score") is None:
        found.append("no score")
    if entry.get("error"):
        found.append(str(entry["error"]))
    for day in entry.get("days") or []:
        broken = [f"{rule} x{n}" for rule, n in (day.get("rules") or {}).items() if n]
        if broken:
            found.append(f"{day['name']}: rule broken: {', '.join(broken)}")
        if day.get("fault"):
            found.append(f"{day['name']}: {day['fault']}")
        if day.get("restarts"):
            found.append(f"{day['name']}: {day['restarts']:g} controllers ended by themselves")
        for name, _, share in day.get("served") or []:
            if share < LEAST:
                found.append(f"{day['name']}: {name} is served to {share:.2f}")
    return found


def least_served(entry: Entry) -> str:
    """The smallest share of a class, a team or a class's largest jobs, of all days played."""
    served = [
        (s, n, d["name"]) for d in entry.get("days") or [] for n, _, s in d.get("served") or []
    ]
    if not served:
        return "least not told"
    share, name, day = min(served)
    return f"least {share:.3f} ({name} on {day})"


def play(
    bench: pathlib.Path, verb: str, words: list[str], why: str
) -> tuple[dict[str, Entry], list[Entry]]:
    """Runs the bench; the entries of before, and those that this run has left."""
    before = entries()
    command = [str(bench), verb, *words, *(["--why", why] if why and verb == "score" else [])]
    print(f"-- {verb} {' '.join(pathlib.Path(w).name for w in words)}", flush=True)
    ended = subprocess.run(command, cwd=ROOT).returncode
    after = entries()
    # Another run at the same time leaves entries too: only those of this one count.
    played = {pathlib.Path(w).stem for w in words if w.endswith(".toml")}
    new = [
        e
        for name, e in after.items()
        if name not in before and e["cmd"] == verb and e.get("site") in played
    ]
    if not new:
        stop(f"the bench ended with {ended} and left no entry in the journal")
    return before, new


def judge(before: dict[str, Entry], new: list[Entry]) -> bool:
    """Prints a line for each entry, and what fails it; whether all are clean."""
    clean = True
    for entry in new:
        found = faults(entry)
        if entry["cmd"] == "score" and entry.get("score") is not None:
            old, now, of = earlier(entry, before)
            fell = old is not None and old - now > FALL
            beside = "" if old is None else f"  was {old:.3f}  {now - old:+.3f}"
            print(
                f"{entry['site']:28} {entry['score']:.3f}  compared {now:.3f}{beside}  ({of})"
                f"  {least_served(entry)}"
            )
            if fell:
                found.append(f"fell by {old - now:.3f}")
        else:
            days = entry.get("days") or []
            print(f"{entry['site']:28} {entry['cmd']} of {len(days)} days  {least_served(entry)}")
        for text in found:
            print(f"  FAULT {text}")
        clean = clean and not found
    return clean
