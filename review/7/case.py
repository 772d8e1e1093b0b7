"""Short tasks end on an executor that has started again under its id."""

from __future__ import annotations

import os
import pathlib
import sys

# With TROUBLE=0 the same is played without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import checks  # noqa: E402
import deployment  # noqa: E402
import rebirth  # noqa: E402

WORK_MS = 250


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    await rebirth.play(deployed, has_trouble, WORK_MS, 0.0)
    again = checks.starts_after_done(deployed)
    for taken, start in again:
        deployed.note("twice", taken=taken, start=start)
    return deployment.BROKEN if again else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play, HAS_TROUBLE))
