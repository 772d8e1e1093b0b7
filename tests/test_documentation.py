"""Tests of the Markdown pages of the repository."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import re

import testtools

REPO = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
SKIPPED = frozenset({".venv", "build", "dist"})


def _pages() -> Iterator[pathlib.Path]:
    for page in REPO.rglob("*.md"):
        if not SKIPPED.intersection(page.relative_to(REPO).parts):
            yield page


class DocumentationTest(testtools.TestCase):
    """Links between pages and the index of docs."""

    def test_every_link_leads_to_a_file(self) -> None:
        broken = []
        for page in _pages():
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                if not (page.parent / target).exists():
                    broken.append(f"{page.relative_to(REPO)}: {target}")
        self.assertEqual([], broken)

    def test_every_page_is_in_the_index(self) -> None:
        docs = REPO / "docs"
        index = (docs / "README.md").read_text(encoding="utf-8")
        for page in docs.rglob("*.md"):
            name = page.relative_to(docs).as_posix()
            if name != "README.md":
                self.assertIn(f"({name})", index)
