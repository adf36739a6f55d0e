"""What a case writes down, and its exit status."""

import asyncio
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import attrs

HELD: Final = 0
BROKEN: Final = 1
UNABLE: Final = 2
# A case that takes longer has not run, in seconds.
LIMIT_S: Final = 110.0


@attrs.define(kw_only=True, eq=False)
class Record:
    """What was sent, answered and run."""

    file: Path
    began_s: float = attrs.field(factory=time.monotonic)
    lines: list[str] = attrs.field(factory=list)

    def note(self, text: str) -> None:
        """Add a line with the time since the start."""
        at_s = time.monotonic() - self.began_s
        self.lines.append(f"{at_s:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.file.write_text("\n".join(self.lines) + "\n")


def play(
    script: str,
    case: Callable[[bool, Record], Awaitable[int]],
    *,
    has_trouble: bool,
) -> int:
    """Play a case once, and write its record.

    Args:
      script: The case's file; the record is written beside it.
      case: Plays the case, given whether there is trouble and the record, and
        returns the exit status.
      has_trouble: Whether the disruption takes place.

    Returns:
      The exit status.
    """
    record = Record(file=Path(script).with_name("record.txt"))

    # Programs inherit whether a signal is ignored; a platform ignores none.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    # A script that is ended ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))

    async def run() -> int:
        return await asyncio.wait_for(case(has_trouble, record), LIMIT_S)

    try:
        status = asyncio.run(run())
    except Exception:
        # A fault of the script must not pass for a broken rule.
        record.note(f"the case could not run: {traceback.format_exc()}")
        status = UNABLE
    record.note(f"exit status {status}")
    record.write()
    print(*record.lines[-2:], sep="\n")
    return status
