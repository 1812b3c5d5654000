"""Journal entries, and the choice of the earlier entry to compare a run with."""

import json
from typing import Any

from .kit import REPOSITORY_ROOT, exit_with_error

Entry = dict[str, Any]


def load_entries() -> dict[str, Entry]:
    """Returns all entries of score and hunt runs, keyed and sorted by file name, oldest first.

    Exits with status 2 if an entry is not valid JSON.
    """
    loaded = {}
    for entry_path in sorted((REPOSITORY_ROOT / "journal").glob("*.json")):
        try:
            entry = json.loads(entry_path.read_text())
        except ValueError as error:
            exit_with_error(f"journal entry {entry_path.name}: {error}")
        if entry.get("cmd") in ("score", "hunt"):
            loaded[entry_path.name] = entry
    return loaded


def source_digests(entry: Entry) -> list[str]:
    """Returns the SHA-256 digests of the sources that the entry's run measured."""
    return [source["sha256"] for source in entry.get("policy") or []]


def run_kind(entry: Entry) -> str:
    """Returns "quick" if only the two roughest days were played, "full" if all were."""
    return "quick" if "--quick" in entry["argv"] else "full"


def standard_day_scores(entry: Entry) -> dict[str, float]:
    """Returns scores by day name, for the days that are the same in every run of the site.

    Days named `fresh…` are left out because they differ between runs.
    """
    days = entry.get("days") or []
    return {d["name"]: d["score"] for d in days if not d["name"].startswith("fresh")}


def mean_score(scores: dict[str, float], day_names: list[str]) -> float:
    """Returns the mean score of the named days."""
    return sum(scores[name] for name in day_names) / len(day_names)


def select_comparison(
    entry: Entry, old_entries: dict[str, Entry]
) -> tuple[float | None, float, str]:
    """Returns the earlier score, this run's comparable score, and a label of the comparison.

    Earlier entries count only if they have a score for the same site file and were taken on
    other sources. The newest one of the same run kind is preferred; without one, the means over
    the standard days that both runs played are compared. The earlier score is `None` if no entry
    qualifies or none has a standard day in common with this run.
    """
    candidates = [
        e
        for e in old_entries.values()
        if e["cmd"] == "score"
        and e["site"] == entry["site"]
        and e.get("site_sha") == entry.get("site_sha")
        and e.get("score") is not None
        and source_digests(e) != source_digests(entry)
    ]
    same_kind = [e for e in candidates if run_kind(e) == run_kind(entry)]
    if same_kind:
        return same_kind[-1]["score"], entry["score"], f"{same_kind[-1]['id']}"
    for candidate in reversed(candidates):
        current_scores, earlier_scores = standard_day_scores(entry), standard_day_scores(candidate)
        common_days = sorted(set(current_scores) & set(earlier_scores))
        if common_days:
            label = f"{candidate['id']}: {', '.join(common_days)}"
            return (
                mean_score(earlier_scores, common_days),
                mean_score(current_scores, common_days),
                label,
            )
    return None, entry["score"], "nothing earlier"
