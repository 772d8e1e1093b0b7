"""Loads the project's own pytest plugin for every run."""

from __future__ import annotations

pytest_plugins = ["testing.known_red"]
