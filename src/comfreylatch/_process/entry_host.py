"""Starts an entry host from its settings file.

Kept free of the command-line library, so that a serving process need not
hold it in memory.
"""

from __future__ import annotations

import sys

import result

from comfreylatch._process import settings as settings_module
from comfreylatch._process import settings_file

INVALID_SETTINGS_EXIT_CODE = 2
START_FAILED_EXIT_CODE = 1


def run(path: str) -> int:
    """Runs an entry host until it is told to stop; returns its exit code.

    A faulty settings file is told on standard error, every error at once, and
    so is an address that can't be listened on.
    """
    match settings_file.load(path):
        case result.Err(errors):
            for error in errors.errors:
                print(error, file=sys.stderr)
            return INVALID_SETTINGS_EXIT_CODE
        case result.Ok(settings):
            from comfreylatch._connection import http_server
            from comfreylatch._process import composition

            try:
                return composition.run(settings)
            except (OSError, http_server.ServerStartError) as error:
                print(_start_failure_message(settings, error), file=sys.stderr)
                return START_FAILED_EXIT_CODE


def _start_failure_message(
    settings: settings_module.Settings, error: Exception
) -> str:
    addresses = ", ".join(
        (
            settings.caller_address,
            settings.operator_address,
            settings.peer_address,
        )
    )
    return (
        f"comfreylatch: can't serve on {addresses}: {error}; does another "
        "process use one of them, or are they not this machine's?"
    )
