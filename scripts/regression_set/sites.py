"""Changed sites and days, written into a temporary folder."""

import pathlib
import re
import shutil
import tomllib
from collections.abc import Callable
from typing import Any

from .kit import ROOT

# Half as many machines again, and work for them.
GROWTH = 1.5
BACK_AFTER_S = 0.3
# The outage of these days begins at this second.
OUTAGE_AT = 192.0
# Tasks last so many times as long, and come so much more seldom; this part of them is cancelled.
LASTS = 5.0
CANCELLED = 0.6
# What grows with the fleet, by the section of a site file: as whole numbers, and as fractions.
GROWS = {
    "capacity": ({"count", "spot"}, set()),
    "machines": ({"count"}, set()),
    "teams": (set(), {"cpus", "gpus"}),
    "jobs": ({"initial"}, set()),
}


def written(site: pathlib.Path, folder: pathlib.Path, lines: list[str]) -> pathlib.Path:
    """Writes the site with these lines, and beside it what it refers to."""
    changed = folder / site.name
    changed.write_text("\n".join(lines) + "\n")
    wire = tomllib.loads(site.read_text()).get("wire")
    if wire:
        shutil.copy(site.parent / wire, folder / wire)
    return changed


def grown_rate(found: re.Match[str]) -> str:
    """The rate of a class at the larger size."""
    return f"rate = {float(found[1]) * GROWTH:.4f}"


def grow(site: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Writes the site with half as many machines again, and as much work for them."""
    section, lines = "", []
    for line in site.read_text().splitlines():
        if head := re.match(r"\[+([\w.]+)\]+", line):
            section = head[1]
        whole, parts = GROWS.get(section, (set(), set()))
        if pair := re.match(r"(\w+) = ([\d.]+)$", line):
            name, value = pair[1], float(pair[2]) * GROWTH
            if name in whole:
                line = f"{name} = {round(value)}"
            elif name in parts:
                line = f"{name} = {value}"
            elif (section, name) == ("nodes", "restart_delay_s"):
                line = f"{name} = {BACK_AFTER_S}"
        if section == "jobs":
            line = re.sub(r"rate = ([\d.]+)", grown_rate, line)
        lines.append(line)
    return written(site, folder, lines)


def lengthen(site: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Writes the site with tasks that outlast the troubles, many of which are cancelled."""
    section, lines, kind = "", [], ""
    for line in site.read_text().splitlines():
        if head := re.match(r"\[+([\w.]+)\]+", line):
            section = head[1]
        if pair := re.match(r'kind = "(\w+)"', line):
            kind = pair[1]
        if section == "jobs" and kind != "service":
            if line.startswith("run_s"):
                line = re.sub(r"= ([\d.]+)", lambda m: f"= {float(m[1]) * LASTS:.1f}", line[5:])
                line = "run_s" + line
            line = re.sub(r"rate = ([\d.]+)", lambda m: f"rate = {float(m[1]) / LASTS:.4f}", line)
            if line.startswith("cancelled"):
                line = f"cancelled = {CANCELLED}"
        lines.append(line)
    return written(site, folder, lines)


def day_for(site: pathlib.Path, name: str, folder: pathlib.Path, lead: float = 0.0) -> pathlib.Path:
    """The day with the site's own names in place of `@urgent`, `@type` and the like, and times from
    its lease and `cancel_s`."""
    about = tomllib.loads(site.read_text())
    classes = about["jobs"]

    def first(test: Callable[[dict[str, Any]], bool]) -> str:
        return next((c["name"] for c in classes if test(c)), classes[0]["name"])

    names = {
        "@urgent": first(lambda c: c["priority"] == "high"),
        "@deadline": first(lambda c: "deadline" in c),
        "@production": first(lambda c: c["priority"] == "production"),
        "@type": about["capacity"][0]["type"],
        "@zone": about["capacity"][0]["zone"],
    }
    times = about["workers"]
    outage = times["cancel_s"] + times["lease_s"] + 5.0
    seconds = {
        "@refused": OUTAGE_AT - lead,
        "@outage": outage,
        "@long": lead + outage + 25.0,
    }
    text = (ROOT / "bench" / "days" / f"{name}.toml").read_text()
    for word, meant in names.items():
        text = text.replace(f'"{word}"', f'"{meant}"')
    for word, meant in seconds.items():
        text = text.replace(f'"{word}"', f"{meant}")
    mark = f"-{lead:g}" if lead else ""
    day = folder / f"{site.stem}-{name}{mark}.toml"
    day.write_text(text)
    return day
