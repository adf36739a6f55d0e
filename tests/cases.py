"""Case files: named inputs with expected outputs, and their runner.

A case file is a sequence of cases::

    == name
    input lines
    --
    expected lines

With UPDATE_GOLDEN=1 in the environment, the expected lines are rewritten.
"""

import os
from collections.abc import Callable
from pathlib import Path

import attrs
from testtools import TestCase

DATA = Path(__file__).parent / "data"


@attrs.define(kw_only=True)
class Case:
    """One case of a file."""

    name: str
    given: str
    expected: str


def read(file: Path) -> list[Case]:
    """Return the cases of a file."""
    cases: list[Case] = []
    for block in file.read_text(encoding="utf-8").split("== ")[1:]:
        name, _, rest = block.partition("\n")
        given, _, expected = rest.partition("\n--\n")
        cases.append(
            Case(name=name, given=given, expected=expected.strip("\n"))
        )
    return cases


def write(file: Path, cases: list[Case]) -> None:
    """Write the cases of a file."""
    blocks = [
        f"== {case.name}\n{case.given}\n--\n{case.expected}\n" for case in cases
    ]
    file.write_text("\n".join(blocks), encoding="utf-8")


def check_file(
    test: TestCase, name: str, produce: Callable[[str], str]
) -> None:
    """Compare the output of each case's input with the expected lines.

    With UPDATE_GOLDEN, rewrite the expected lines instead.
    """
    file = DATA / name
    cases = read(file)
    test.assertNotEqual([], cases)
    produced = [produce(case.given) for case in cases]
    if os.environ.get("UPDATE_GOLDEN"):
        for case, text in zip(cases, produced, strict=True):
            case.expected = text
        write(file, cases)
        return
    for case, text in zip(cases, produced, strict=True):
        test.assertEqual(case.expected, text, f"{name}: {case.name}")
