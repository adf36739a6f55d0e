"""Golden files: whole sessions and the operators' language."""

import os
import re
from pathlib import Path

from testtools import TestCase

from sequoiawind import invariants, language, wire
from tests import cases
from tests.session import Session

SESSION = re.compile(r"```session\n(.*?)\n```", re.S)
PAGE = Path(__file__).parent.parent / "docs" / "LANGUAGE.md"


def play(steps: str) -> str:
    """Return the transcript of a session and the violated invariants."""
    invariants.violations.clear()
    transcript = Session().play(steps)
    return "\n".join([transcript, *invariants.violations])


def parse(text: str) -> str:
    """Return a statement's node as text, or its syntax fault."""
    parsed = language.parse(text)
    if parsed.is_error():
        return str(parsed.error)
    name = type(parsed.ok).__name__
    return f"{name} {wire.encode(parsed.ok).decode()}"


class GoldenTest(TestCase):
    """Sessions and statements yield the recorded output."""

    def test_session_of_nordlys(self) -> None:
        cases.check_file(self, "nordlys.session", play)

    def test_session_of_petra(self) -> None:
        cases.check_file(self, "petra.session", play)

    def test_statements(self) -> None:
        cases.check_file(self, "statements.test", parse)


class LanguagePageTest(TestCase):
    """The sessions in docs/LANGUAGE.md match the system's output."""

    def replay(self, block: re.Match[str]) -> str:
        steps = [
            line.removeprefix("> ")
            for line in block.group(1).splitlines()
            if line.startswith("> ")
        ]
        return f"```session\n{play(chr(10).join(steps))}\n```"

    def test_page_matches_the_output(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        updated = re.sub(
            r"```session\n(.*?)\n```", self.replay, text, flags=re.S
        )
        if os.environ.get("UPDATE_GOLDEN"):
            PAGE.write_text(updated, encoding="utf-8")
        else:
            self.assertEqual(text, updated)
