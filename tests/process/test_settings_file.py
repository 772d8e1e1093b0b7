"""Tests of loading and checking the settings file."""

from __future__ import annotations

import json
import pathlib
import tempfile
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import testtools

from comfreylatch._process import json_file
from comfreylatch._process import settings_file

VALID: dict[str, Any] = {
    "seat": "bole-1",
    "zone": "bole",
    "caller_address": "127.0.0.1:8001",
    "operator_address": "127.0.0.1:8002",
    "peer_address": "127.0.0.1:8003",
    "platform": {
        "log_address": "127.0.0.1:9001",
        "host_list_address": "127.0.0.1:9002",
    },
    "peers": [
        {"seat": "bole-2", "zone": "bole", "peer_address": "127.0.0.1:8013"}
    ],
}


def _settings_text(**members: Any) -> str:
    return json.dumps({**VALID, **members}, indent=1)


class SettingsFileTest(testtools.TestCase):
    """Tests of the errors reported for a settings file."""

    def errors_of(self, text: str) -> list[json_file.LocatedError]:
        checked = json_file.decode(text, "s.json", settings_file.check)
        return list(checked.err_value.errors) if checked.is_err() else []

    def assert_one_error(self, text: str, key: str, expected: str) -> None:
        errors = self.errors_of(text)
        self.assertEqual([key], [error.key for error in errors])
        self.assertIn(expected, errors[0].expected)

    def test_valid_file_loads_with_defaults(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = pathlib.Path(folder.name) / "s.json"
        file.write_text("// host\n" + _settings_text(), encoding="utf-8")
        settings = settings_file.load(str(file)).ok_value
        self.assertEqual("bole-2", settings.peers[0].seat)
        self.assertEqual(500, settings.timing.heartbeat_ms)

    def test_missing_file_is_an_error_not_a_crash(self) -> None:
        loaded = settings_file.load("/nowhere/settings.json")
        self.assertIn("No such file", loaded.err_value.errors[0].found)

    def test_all_errors_are_reported_in_text_order(self) -> None:
        text = _settings_text(
            threads=0, log_level="loud", caller_address="bole:80"
        )
        keys = [error.key for error in self.errors_of(text)]
        self.assertEqual(["caller_address", "threads", "log_level"], keys)

    def test_unknown_key_suggests_the_nearest_key(self) -> None:
        (error,) = self.errors_of(_settings_text(thread=4))
        self.assertEqual(("thread", "threads"), (error.key, error.nearest))

    def test_error_position_accounts_for_comments(self) -> None:
        text = _settings_text(threads="9").replace(
            '"threads"', '/* é\n */ "threads"'
        )
        error = self.errors_of(text)[0]
        line = text.split("\n")[error.line - 1]
        self.assertEqual('"9"', line[error.column - 1 :].rstrip(","))

    def test_own_seat_among_peers_is_refused(self) -> None:
        peers = [{**VALID["peers"][0], "seat": "bole-1"}]
        self.assert_one_error(
            _settings_text(peers=peers), "peers[0].seat", "other"
        )

    def test_seat_named_twice_is_refused(self) -> None:
        first = VALID["peers"][0]
        peers = [first, {**first, "peer_address": "127.0.0.1:8014"}]
        self.assert_one_error(
            _settings_text(peers=peers), "peers[1].seat", "once"
        )

    def test_durations_are_positive(self) -> None:
        text = _settings_text(timing={"heartbeat_ms": 0})
        self.assert_one_error(text, "timing.heartbeat_ms", "1 to ")

    def test_routing_is_checked(self) -> None:
        routing = {"policy": "fastest", "seed": -1, "mark_keep_ms": 0}
        errors = self.errors_of(_settings_text(routing=routing))
        keys = [error.key.partition(".")[2] for error in errors]
        self.assertEqual(list(routing), keys)

    def test_repeated_key_is_refused(self) -> None:
        text = _settings_text().replace("{", '{"seat": "x",', 1)
        self.assert_one_error(text, "seat", "each key once")

    def test_syntax_error_has_a_position(self) -> None:
        error = self.errors_of('{"seat": "a", // one\n  "zone" "b"}')[0]
        self.assertEqual((2, 10), (error.line, error.column))

    def test_constant_outside_json_is_refused(self) -> None:
        error = self.errors_of('{"threads": NaN}')[0]
        self.assertEqual("NaN", error.found)

    def test_deep_nesting_is_refused(self) -> None:
        error = self.errors_of("[" * 100_000)[0]
        self.assertEqual("fewer levels", error.expected)

    @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
    @given(strategies.text(alphabet='{}[]",:/* \n1ate\\é', max_size=40))
    def test_any_text_is_parsed_or_refused(self, text: str) -> None:
        for error in self.errors_of(text):
            self.assertTrue(error.line >= 1 and error.column >= 1)

    @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        strategies.sampled_from(sorted(VALID)),
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner)
                | strategies.dictionaries(strategies.text(), inner)
            ),
            max_leaves=5,
        ),
    )
    def test_any_member_value_is_checked_without_a_crash(
        self, member: str, value: Any
    ) -> None:
        self.errors_of(_settings_text(**{member: value}))
