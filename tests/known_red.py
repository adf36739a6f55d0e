"""Runs the tests except for those listed in KNOWN-RED.txt.

An entry of the file is a block of lines ``test:``, ``command:``, ``seed:``,
``seen:`` and ``issue:``.  The tests that were not run are printed at the end.
"""

import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def entries(text: str) -> list[dict[str, str]]:
    """Return the entries in the text of a KNOWN-RED.txt file."""
    found: list[dict[str, str]] = []
    for block in text.split("\n\n"):
        lines = [line for line in block.splitlines() if ": " in line]
        entry = dict(line.split(": ", 1) for line in lines)
        if "test" in entry:
            found.append(entry)
    return found


def main() -> int:
    """Run pytest, print the tests not run and return pytest's exit status."""
    known = entries(KNOWN_RED.read_text(encoding="utf-8"))
    args = sys.argv[1:]
    for entry in known:
        args += ["--deselect", entry["test"]]
    status = int(pytest.main(args))
    for entry in known:
        print(f"known red, passed over: {entry['test']}: {entry['seen']}")
    return status


if __name__ == "__main__":
    sys.exit(main())
