"""Builds the single-file program, a zipapp with all dependencies."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

REPO = pathlib.Path(__file__).resolve().parent.parent


def build(target: pathlib.Path) -> None:
    """Builds the executable `target` from the locked dependencies."""
    requirements = _runtime_requirements()
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder) / "site"
        listed = pathlib.Path(folder) / "requirements.txt"
        listed.write_text(requirements, encoding="utf-8")
        _pip_install(site, "--require-hashes", "-r", str(listed))
        _pip_install(site, "--no-deps", "--no-build-isolation", str(REPO))
        subprocess.run(
            [
                sys.executable,
                "-m",
                "shiv",
                "--site-packages",
                str(site),
                "--output-file",
                str(target),
                "--entry-point",
                "comfreylatch.__main__:main",
                "--python",
                "/usr/bin/env python3",
                "--compressed",
                "--reproducible",
            ],
            check=True,
        )


def _pip_install(site: pathlib.Path, *arguments: str) -> None:
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "-q",
            "--target",
            str(site),
            *list(arguments),
        ],
        check=True,
    )


def _runtime_requirements() -> str:
    """Returns the lock file entries of the runtime dependencies and hashes."""
    return (REPO / "requirements-runtime.lock").read_text(encoding="utf-8")


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
