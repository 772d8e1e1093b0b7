"""An executor is dark for a moment and starts again under the same id."""

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

WORK_MS = 3_000
# It answers late for some time after its start.
COLD_DELAY_S = 0.3


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    await rebirth.play(deployed, has_trouble, WORK_MS, COLD_DELAY_S)
    twice = checks.overlaps(deployed)
    for task, for_s, run, other in twice:
        deployed.note(
            "twice", task=task, for_s=round(for_s, 3), one=run, other=other
        )
    return deployment.BROKEN if twice else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play, HAS_TROUBLE))
