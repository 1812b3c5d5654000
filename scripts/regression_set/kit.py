"""Where the repository, the bench and its sites are."""

import os
import pathlib
import sys
from typing import NoReturn

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BENCH = "more/hunt/bin/fleetbench"
SITES = [
    "more/laudmang-compute-ops.toml",
    "more/shegerair-platform-ops.toml",
    "change/laudmang-compute-next.toml",
    "change/shegerair-platform-next.toml",
]
FLEET = [
    "more/fleet/laudmang-compute-fleet.toml",
    "more/fleet/shegerair-platform-fleet.toml",
]
HUNT = [
    "more/hunt/laudmang-compute-hunt.toml",
    "more/hunt/shegerair-platform-hunt.toml",
]


def stop(text: str) -> NoReturn:
    """Ends the run: the kit is not there, or the bench did not run."""
    print(f"regression: {text}", file=sys.stderr)
    sys.exit(2)


def side_by_side() -> int:
    """Days played at once: half of the processors, since what is played so must not starve."""
    return (os.cpu_count() or 2) // 2


def relative(path: pathlib.Path) -> str:
    """As seen from the repository: the journal keeps no path of this machine."""
    return os.path.relpath(os.path.abspath(path), ROOT)
