"""Starts an entry host from its settings file.

Doesn't import the command-line library, so that a serving process doesn't
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
    """Runs an entry host until it is stopped; returns its exit code.

    Prints to standard error all errors of an invalid settings file, or why
    the host can't listen on its addresses.
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
        f"comfreylatch: can't listen on {addresses}: {error}; check that no "
        "other process uses these addresses and that this machine has them"
    )
