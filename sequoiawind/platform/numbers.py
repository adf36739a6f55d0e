"""Whole numbers in the records of other writers.

A number may be of any size in JSON.  One that does not fit into 64 bits cannot
be passed on to other processes, so a record with such a number is unreadable.
"""

from typing import Annotated, Final

from msgspec import Meta

MAX_COUNT: Final = 2**63 - 1

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
