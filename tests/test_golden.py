"""Golden files: whole sessions and the operators' language."""

from testtools import TestCase

from sequoiawind import invariants, language, wire
from tests import cases
from tests.session import Session


def play(steps: str) -> str:
    """Return the transcript of a session."""
    invariants.violations.clear()
    transcript = Session().play(steps)
    return "\n".join([transcript, *invariants.violations])


def parse(text: str) -> str:
    """Return the node of a statement, or where it is wrong."""
    parsed = language.parse(text)
    if parsed.is_error():
        return str(parsed.error)
    name = type(parsed.ok).__name__
    return f"{name} {wire.encode(parsed.ok).decode()}"


class GoldenTest(TestCase):
    """What was seen before is seen again."""

    def test_nordlys(self) -> None:
        cases.check_file(self, "nordlys.session", play)

    def test_petra(self) -> None:
        cases.check_file(self, "petra.session", play)

    def test_statements(self) -> None:
        cases.check_file(self, "statements.test", parse)
