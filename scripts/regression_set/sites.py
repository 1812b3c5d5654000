"""Variants of site and day files, written into a temporary folder."""

import pathlib
import re
import shutil
import tomllib
from collections.abc import Callable
from typing import Any

from .kit import REPOSITORY_ROOT

# Factor by which a scaled site multiplies machine counts, cpus and gpus of teams, initial jobs and
# arrival rates.
SITE_SCALE = 1.5
# Value of `nodes.restart_delay_s` in a scaled site: processes are back after this time.
RESTART_DELAY_S = 0.3
# Time at which the outage of the state service begins in days that use `@refused`. The day
# files contain the same number.
OUTAGE_START_S = 192.0
# Factor by which tasks run longer. Arrival rates are divided by it.
RUN_TIME_FACTOR = 5.0
# Value of `cancelled` in job classes with lengthened tasks: the fraction that is cancelled.
CANCELLED_FRACTION = 0.6
# Fields that scale with the site, by section of the site file: integer fields, fractional fields.
SCALED_FIELDS = {
    "capacity": ({"count", "spot"}, set()),
    "machines": ({"count"}, set()),
    "teams": (set(), {"cpus", "gpus"}),
    "jobs": ({"initial"}, set()),
}


def write_site(site: pathlib.Path, folder: pathlib.Path, lines: list[str]) -> pathlib.Path:
    """Writes the site file with these lines, and a copy of the `wire` file that it refers to.

    Returns the path of the new site file.
    """
    new_site = folder / site.name
    new_site.write_text("\n".join(lines) + "\n")
    wire_file = tomllib.loads(site.read_text()).get("wire")
    if wire_file:
        shutil.copy(site.parent / wire_file, folder / wire_file)
    return new_site


def scale_rate(rate_match: re.Match[str]) -> str:
    """Returns the `rate` setting of a job class, scaled by `SITE_SCALE`."""
    return f"rate = {float(rate_match[1]) * SITE_SCALE:.4f}"


def scale_site(site: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Writes the site with its machines and work scaled by `SITE_SCALE`; returns the new path."""
    section, lines = "", []
    for line in site.read_text().splitlines():
        if header := re.match(r"\[+([\w.]+)\]+", line):
            section = header[1]
        integer_fields, fractional_fields = SCALED_FIELDS.get(section, (set(), set()))
        if setting := re.match(r"(\w+) = ([\d.]+)$", line):
            name, scaled_value = setting[1], float(setting[2]) * SITE_SCALE
            if name in integer_fields:
                line = f"{name} = {round(scaled_value)}"
            elif name in fractional_fields:
                line = f"{name} = {scaled_value}"
            elif (section, name) == ("nodes", "restart_delay_s"):
                line = f"{name} = {RESTART_DELAY_S}"
        if section == "jobs":
            line = re.sub(r"rate = ([\d.]+)", scale_rate, line)
        lines.append(line)
    return write_site(site, folder, lines)


def lengthen_tasks(site: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Writes the site with tasks that outlast the injected faults; returns the new path.

    Many of these tasks are cancelled. Services stay as they are.
    """
    section, lines, job_kind = "", [], ""
    for line in site.read_text().splitlines():
        if header := re.match(r"\[+([\w.]+)\]+", line):
            section = header[1]
        if kind_match := re.match(r'kind = "(\w+)"', line):
            job_kind = kind_match[1]
        if section == "jobs" and job_kind != "service":
            if line.startswith("run_s"):
                line = re.sub(
                    r"= ([\d.]+)", lambda m: f"= {float(m[1]) * RUN_TIME_FACTOR:.1f}", line[5:]
                )
                line = "run_s" + line
            line = re.sub(
                r"rate = ([\d.]+)", lambda m: f"rate = {float(m[1]) / RUN_TIME_FACTOR:.4f}", line
            )
            if line.startswith("cancelled"):
                line = f"cancelled = {CANCELLED_FRACTION}"
        lines.append(line)
    return write_site(site, folder, lines)


def write_day(
    site: pathlib.Path, day_name: str, folder: pathlib.Path, refusal_lead_s: float = 0.0
) -> pathlib.Path:
    """Writes the day's file with its placeholders filled in for the site; returns the new path.

    Placeholders such as `@urgent` and `@type` become the site's own names. Time placeholders are
    derived from the site's lease and `cancel_s`. The state service refuses a controller
    `refusal_lead_s` seconds before its outage begins.
    """
    site_settings = tomllib.loads(site.read_text())
    job_classes = site_settings["jobs"]

    def first_class(matches: Callable[[dict[str, Any]], bool]) -> str:
        return next((c["name"] for c in job_classes if matches(c)), job_classes[0]["name"])

    names = {
        "@urgent": first_class(lambda c: c["priority"] == "high"),
        "@deadline": first_class(lambda c: "deadline" in c),
        "@production": first_class(lambda c: c["priority"] == "production"),
        "@type": site_settings["capacity"][0]["type"],
        "@zone": site_settings["capacity"][0]["zone"],
    }
    worker_settings = site_settings["workers"]
    outage_s = worker_settings["cancel_s"] + worker_settings["lease_s"] + 5.0
    times_s = {
        "@refused": OUTAGE_START_S - refusal_lead_s,
        "@outage": outage_s,
        "@long": refusal_lead_s + outage_s + 25.0,
    }
    day_text = (REPOSITORY_ROOT / "bench" / "days" / f"{day_name}.toml").read_text()
    for placeholder, name in names.items():
        day_text = day_text.replace(f'"{placeholder}"', f'"{name}"')
    for placeholder, time_s in times_s.items():
        day_text = day_text.replace(f'"{placeholder}"', f"{time_s}")
    suffix = f"-{refusal_lead_s:g}" if refusal_lead_s else ""
    day = folder / f"{site.stem}-{day_name}{suffix}.toml"
    day.write_text(day_text)
    return day
