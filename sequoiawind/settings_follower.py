"""Follows a settings file while its process runs.

The file is read again on a signal, and now and then without one, since not
everything that writes it sends a signal.  A file with faults changes nothing.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Final, Generic, TypeVar

import attrs
import structlog

from sequoiawind import settings, supervise, timing
from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger
T = TypeVar("T")

# How often the file is compared with what was last read, in seconds: the bound
# on configurations in force is a few seconds, and a read costs microseconds.
CHECK_S: Final = 1.0


@attrs.define(kw_only=True)
class SettingsFollower(Generic[T]):
    """The controller that keeps a process's settings up to date."""

    file: str
    kind: type[T]
    clock: Clock
    log: Logger
    # Takes over new settings.
    on_change: Callable[[T], None]
    # The file as last read; None if it could not be.
    content: bytes | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Note the file as the process has started with it."""
        self.content = self.read()

    async def run(self) -> None:
        """Follow the file until the process ends."""
        await supervise.repeat(self.watch, "settings", self.clock, self.log)

    async def watch(self) -> bool:
        """Compare the file once, after a pause; goes on for ever."""
        await timing.sleep(self.clock, CHECK_S)
        self.check()
        return True

    def check(self) -> None:
        """Read the file again if it differs."""
        if self.read() != self.content:
            self.reload()

    def reload(self) -> None:
        """Read the file again, whether it differs or not."""
        self.content = self.read()
        loaded = settings.load(self.file, self.kind)
        if loaded.is_error():
            faults = [str(fault) for fault in loaded.error]
            self.log.error("settings not read again", faults=faults)
            return
        self.on_change(loaded.ok)

    def read(self) -> bytes | None:
        """Return the file's content; None if it cannot be read."""
        try:
            return Path(self.file).read_bytes()
        except OSError as error:
            self.log.warning("settings file not readable", error=str(error))
            return None
