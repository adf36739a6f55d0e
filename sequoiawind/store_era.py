"""The era of the store, which rises each time it returns from a copy.

What was written shortly before is lost then, also if the store had
acknowledged it, and offsets are given out again.  Whoever has written something
that must last writes it again.
"""

from collections.abc import Callable

import attrs


@attrs.define(kw_only=True, eq=False)
class StoreEra:
    """The greatest era that a process has seen, by whatever way."""

    # 0 before the first answer that states it.
    number: int = 0
    # Called with a greater era than was known; not for the first one.
    listeners: list[Callable[[int], None]] = attrs.field(factory=list)

    def seen(self, number: int) -> None:
        """Note an era that the store, or another process, has stated."""
        known = self.number
        if number <= known:
            return
        self.number = number
        if known:
            for listener in self.listeners:
                listener(number)
