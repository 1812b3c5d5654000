"""Paths of the repository, and of the bench binary and the site files within the bench's kit."""

import os
import pathlib
import sys
from typing import NoReturn

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The paths below are relative to the kit's folder.
BENCH_BINARY = "more/hunt/bin/fleetbench"
STANDARD_SITES = [
    "more/laudmang-compute-ops.toml",
    "more/shegerair-platform-ops.toml",
    "change/laudmang-compute-next.toml",
    "change/shegerair-platform-next.toml",
]
FLEET_SITES = [
    "more/fleet/laudmang-compute-fleet.toml",
    "more/fleet/shegerair-platform-fleet.toml",
]
HUNT_SITES = [
    "more/hunt/laudmang-compute-hunt.toml",
    "more/hunt/shegerair-platform-hunt.toml",
]


def exit_with_error(message: str) -> NoReturn:
    """Prints the message and exits with status 2.

    Used when the kit is incomplete, the bench did not run, or a journal entry can't be parsed.
    """
    print(f"regression: {message}", file=sys.stderr)
    sys.exit(2)


def max_parallel_days() -> int:
    """Returns how many days to play at once: half of the processors.

    Days played in parallel must not be starved of processor time.
    """
    return (os.cpu_count() or 2) // 2


def relative_to_repository(path: pathlib.Path) -> str:
    """Returns the path relative to the repository; the journal must hold no machine-local path."""
    return os.path.relpath(os.path.abspath(path), REPOSITORY_ROOT)
