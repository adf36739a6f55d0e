"""Follows a settings file while its process runs.

The file is reloaded on a signal, and also checked periodically, since not
everything that writes it sends a signal.  A faulty file changes no settings.
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

# Period of the checks for a changed file, in seconds.  A new configuration must
# be in force within a few seconds, and a read costs microseconds.
CHECK_PERIOD_S: Final = 1.0


@attrs.define(kw_only=True)
class SettingsFollower(Generic[T]):
    """Controller that keeps a process's settings up to date."""

    file: str
    # The options class that the file fills.
    kind: type[T]
    clock: Clock
    log: Logger
    # Called with new settings.
    on_change: Callable[[T], None]
    # The file's content as last read; None if that failed.
    content: bytes | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the file, to compare it with at the first check."""
        self.content = self.read()

    async def run(self) -> None:
        """Follow the file until the process ends."""
        await supervise.repeat(self.watch, "settings", self.clock, self.log)

    async def watch(self) -> bool:
        """Pause, then check; always returns True, so that it is repeated."""
        await timing.sleep(self.clock, CHECK_PERIOD_S)
        self.check()
        return True

    def check(self) -> None:
        """Reload the settings if the file's content has changed."""
        if self.read() != self.content:
            self.reload()

    def reload(self) -> None:
        """Reload the settings, whether the file has changed or not."""
        self.content = self.read()
        loaded = settings.load(self.file, self.kind)
        if loaded.is_error():
            faults = [str(fault) for fault in loaded.error]
            self.log.error("settings not reloaded", faults=faults)
            return
        self.on_change(loaded.ok)

    def read(self) -> bytes | None:
        """Return the file's content; None if it cannot be read."""
        try:
            return Path(self.file).read_bytes()
        except OSError as error:
            self.log.warning("cannot read settings file", error=str(error))
            return None
