"""Entries of the journal, and which of them to compare with."""

import json
from typing import Any

from .kit import ROOT, stop

Entry = dict[str, Any]


def entries() -> dict[str, Entry]:
    """All entries of scores and hunts, by file name, the oldest first."""
    found = {}
    for path in sorted((ROOT / "journal").glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError as error:
            stop(f"journal entry {path.name}: {error}")
        if entry.get("cmd") in ("score", "hunt"):
            found[path.name] = entry
    return found


def snapshot(entry: Entry) -> list[str]:
    """The sources that were measured."""
    return [p["sha256"] for p in entry.get("policy") or []]


def kind(entry: Entry) -> str:
    """Whether the two roughest days or all were played."""
    return "quick" if "--quick" in entry["argv"] else "full"


def standard(entry: Entry) -> dict[str, float]:
    """The scores of the days that every run of the site plays alike."""
    days = entry.get("days") or []
    return {d["name"]: d["score"] for d in days if not d["name"].startswith("fresh")}


def mean(days: dict[str, float], names: list[str]) -> float:
    """The mean score of these days."""
    return sum(days[name] for name in names) / len(names)


def earlier(entry: Entry, before: dict[str, Entry]) -> tuple[float | None, float, str]:
    """The figure to compare with, this run's own, and what they are the figures of."""
    others = [
        e
        for e in before.values()
        if e["cmd"] == "score"
        and e["site"] == entry["site"]
        and e.get("site_sha") == entry.get("site_sha")
        and e.get("score") is not None
        and snapshot(e) != snapshot(entry)
    ]
    same = [e for e in others if kind(e) == kind(entry)]
    if same:
        return same[-1]["score"], entry["score"], f"{same[-1]['id']}"
    for other in reversed(others):
        mine, theirs = standard(entry), standard(other)
        both = sorted(set(mine) & set(theirs))
        if both:
            compared = f"{other['id']}: {', '.join(both)}"
            return mean(theirs, both), mean(mine, both), compared
    return None, entry["score"], "nothing earlier"
