"""Where parts of a host get the configuration in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from comfreylatch._version import configuration


class ConfigurationSource(Protocol):
    """The configuration in force on this host; its offset never falls."""

    def current(self) -> configuration.Configuration:
        """The version in force now; cheap, called for every request."""
        ...

    def on_change(
        self, listener: Callable[[configuration.Configuration], None]
    ) -> None:
        """Calls `listener` with every later version, in order."""
        ...

    def age_ms(self) -> int:
        """Time since this host last knew it was at the head of the log."""
        ...
