"""Starts an entry host from its settings file.

Kept free of the command-line library, so that a serving process need not
hold it in memory.
"""

from __future__ import annotations

import sys

import result

from comfreylatch._process import settings_file

FAULTY_SETTINGS_EXIT_CODE = 2


def run(path: str) -> int:
    """Runs an entry host until it is told to stop; returns its exit code.

    A faulty settings file is told on standard error, every error at once.
    """
    match settings_file.load(path):
        case result.Err(errors):
            for error in errors.errors:
                print(error, file=sys.stderr)
            return FAULTY_SETTINGS_EXIT_CODE
        case result.Ok(settings):
            from comfreylatch._process import composition

            return composition.run(settings)
