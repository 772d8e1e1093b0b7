"""Interface to the current configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from comfreylatch._version import configuration


class ConfigurationSource(Protocol):
    """The current configuration of this host; its offset never decreases."""

    def current(self) -> configuration.Configuration:
        """Returns the current version; cheap enough for every request."""
        ...

    def on_change(
        self, listener: Callable[[configuration.Configuration], None]
    ) -> None:
        """Registers a listener for every later version, in order."""
        ...

    def age_ms(self) -> int:
        """Returns the time since this host last was at the log's head."""
        ...
