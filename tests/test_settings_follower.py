"""Reloading of a settings file that changes while its process runs."""

import tempfile
from pathlib import Path

import structlog
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.options import LogsOptions
from sequoiawind.settings_follower import CHECK_PERIOD_S, SettingsFollower


class SettingsFollowerTest(TestCase):
    """A follower over a real file and a virtual clock."""

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = Path(directory.name) / "settings.toml"
        self.file.write_text('level = "info"\n', encoding="utf-8")
        self.clock = Clock()
        self.applied: list[LogsOptions] = []
        self.follower = SettingsFollower(
            file=str(self.file),
            kind=LogsOptions,
            clock=self.clock,
            log=structlog.get_logger(),
            on_change=self.applied.append,
        )
        Deferred.fromCoroutine(self.follower.run())

    def levels_after(self, text: str) -> list[str]:
        """Write the file, wait for a check and return all levels applied."""
        self.file.write_text(text, encoding="utf-8")
        self.clock.advance(CHECK_PERIOD_S)
        return [options.level for options in self.applied]

    def test_change_without_a_signal(self) -> None:
        self.assertEqual(["debug"], self.levels_after('level = "debug"\n'))

    def test_same_content_changes_nothing(self) -> None:
        self.assertEqual([], self.levels_after('level = "info"\n'))

    def test_signal_reloads_an_unchanged_file(self) -> None:
        self.follower.reload()
        self.assertEqual(1, len(self.applied))

    def test_recovers_from_a_faulty_file(self) -> None:
        self.assertEqual([], self.levels_after("level = 7\n"))
        self.assertEqual(["error"], self.levels_after('level = "error"\n'))

    def test_recovers_from_a_missing_file(self) -> None:
        self.file.unlink()
        self.clock.advance(CHECK_PERIOD_S)
        self.assertEqual(["debug"], self.levels_after('level = "debug"\n'))
