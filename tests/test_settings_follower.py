"""A settings file that changes while its process runs."""

import tempfile
from pathlib import Path

import structlog
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.options import LogsOptions
from sequoiawind.settings_follower import CHECK_S, SettingsFollower


class SettingsFollowerTest(TestCase):
    """A follower over a real file and a virtual clock."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "settings.toml"
        self.file.write_text('level = "info"\n', encoding="utf-8")
        self.clock = Clock()
        self.taken: list[LogsOptions] = []
        self.follower = SettingsFollower(
            file=str(self.file),
            kind=LogsOptions,
            clock=self.clock,
            log=structlog.get_logger(),
            on_change=self.taken.append,
        )
        Deferred.fromCoroutine(self.follower.run())

    def levels_after(self, text: str) -> list[str]:
        """Return the levels taken over once a file's text is noticed."""
        self.file.write_text(text, encoding="utf-8")
        self.clock.advance(CHECK_S)
        return [options.level for options in self.taken]

    def test_change_without_a_signal(self) -> None:
        self.assertEqual(["debug"], self.levels_after('level = "debug"\n'))

    def test_same_content_changes_nothing(self) -> None:
        self.assertEqual([], self.levels_after('level = "info"\n'))

    def test_signal_reads_again_in_any_case(self) -> None:
        self.follower.reload()
        self.assertEqual(1, len(self.taken))

    def test_faults_change_nothing_and_are_outlived(self) -> None:
        self.assertEqual([], self.levels_after("level = 7\n"))
        self.assertEqual(["error"], self.levels_after('level = "error"\n'))

    def test_missing_file_is_outlived(self) -> None:
        self.file.unlink()
        self.clock.advance(CHECK_S)
        self.assertEqual(["debug"], self.levels_after('level = "debug"\n'))
