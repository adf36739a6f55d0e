"""Outer names stay letter for letter when identifiers are renamed."""

import os
from pathlib import Path

from testtools import TestCase

from tests import outer_names

EXPECTED = Path(__file__).parent / "data" / "outer_names.txt"


class OuterNamesTest(TestCase):
    """What leaves the processes is what is listed."""

    def test_names(self) -> None:
        names = outer_names.collect()
        self.assertTrue(len(names) > 500, len(names))
        text = "\n".join(names) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            EXPECTED.write_text(text, encoding="utf-8")
        else:
            self.assertEqual(
                EXPECTED.read_text(encoding="utf-8").splitlines(), names
            )

    def test_written_values(self) -> None:
        names = {name.split("  # ")[0] for name in outer_names.collect()}
        self.assertEqual([], sorted(set(outer_names.WRITTEN) - names))
