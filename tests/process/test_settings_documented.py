"""Test that the settings page lists every setting with its default."""

from __future__ import annotations

from collections.abc import Iterator
import json
import pathlib
import re
import typing

import attrs
import testtools

from comfreylatch._process import settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "operators" / "settings.md"
ROW = re.compile(r"^\| `([a-z_.]+)` \| ([^|]*?) ?\|", re.MULTILINE)


def _documented_settings(
    kind: type, prefix: str = ""
) -> Iterator[tuple[str, str]]:
    """Paths and defaults in the format of the page."""
    hints = typing.get_type_hints(kind)
    for field in attrs.fields(kind):
        path = prefix + field.name
        if attrs.has(hints[field.name]):
            yield from _documented_settings(hints[field.name], f"{path}.")
        elif field.default is attrs.NOTHING:
            yield path, ""
        elif field.default == ():
            yield path, "none"
        else:
            yield path, json.dumps(field.default).strip('"')


class SettingsDocumentedTest(testtools.TestCase):
    """Compares docs/operators/settings.md with the settings classes."""

    def test_every_setting_has_a_row_with_its_default(self) -> None:
        rows = dict(ROW.findall(PAGE.read_text(encoding="utf-8")))
        self.assertEqual(dict(_documented_settings(settings.Settings)), rows)
