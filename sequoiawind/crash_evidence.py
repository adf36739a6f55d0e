"""Which requests crash targets, by the records of all routers.

A target may crash whenever it begins to run a certain request, or to write an
answer on some part of a prompt, whatever else the request holds.  A router
records, for each crash that it sees, the requests that had begun there shortly
before or had not begun, and the parts of their prompts: the suspects.  A
complete answer clears the request and the parts of its prompt.

A whole request is one more part of itself, the deepest.  The parts that explain
the most crashes are blocked.  Parts that have answered before explain a crash
only if no other part does, and are blocked only if crashes go on for long
without any answer.  Of parts that are always together the deepest one is
blocked, since the others begin sound requests too.  Many targets may crash at
once for another reason, so crashes must go on.

A block ends with a test by one request of all routers: each failed test
doubles the time until the next one, and a complete answer lifts the block.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from sequoiawind.request_signature import is_whole

# Crashes from which a request with a part is not repeated after a further one.
CRASHES_TO_DOUBT: Final = 2
# Age from which a crash counts no more, in seconds: longer than any block.
CRASH_LIFETIME_S: Final = 7_200.0
# Crashes, their suspects and cleared parts that are kept at most.
MAX_CRASHES: Final = 300
MAX_SUSPECTS: Final = 10_000
MAX_CLEARED: Final = 10_000

# The longest block, in seconds.
MAX_BLOCK_S: Final = 3_600.0


@attrs.frozen(kw_only=True)
class BlockRule:
    """From when on a part is blocked, and for how long."""

    # Crashes, and groups of crashes that are apart by at least `apart_s`.
    crashes: int
    groups: int
    apart_s: float
    # Time from the last crash or test until a part may be tested, in seconds.
    block_s: float


# A request that is sent to one target after the other crashes them one after
# the other, while a rack that fails ends them in one moment.
NEW_REQUEST: Final = BlockRule(crashes=3, groups=2, apart_s=0.05, block_s=120.0)
NEW_PART: Final = BlockRule(crashes=3, groups=2, apart_s=0.5, block_s=120.0)
# For parts and requests that have answered before.
PROVEN_PART: Final = BlockRule(crashes=3, groups=3, apart_s=5.0, block_s=15.0)

# Name and start of a target.
Incarnation = tuple[str, int]


@attrs.frozen(kw_only=True)
class Suspect:
    """A prompt part under which a target may have crashed."""

    part: str
    # Place of the part in the prompt, from 0.
    depth: int
    # Whether a prompt with the part had a complete answer shortly before.
    is_proven: bool


@attrs.define(kw_only=True)
class Crash:
    """The end of one incarnation of a target."""

    # Place in the order in which this process learned of crashes and answers.
    number: int
    seen_s: float
    # When it was reported, in seconds since the epoch by the reporter's clock.
    at_s: float
    # By part.
    suspects: dict[str, Suspect] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Block:
    """A part that is kept from targets."""

    part: str
    crashes: int
    # When it may be tested by one request, in seconds of the clock.
    until_s: float


@attrs.define(kw_only=True)
class PartTest:
    """The last test of a part."""

    number: int
    seen_s: float


@attrs.define(kw_only=True)
class CrashEvidence:
    """The crashes and answers that one process knows of."""

    crashes: OrderedDict[Incarnation, Crash] = attrs.field(factory=OrderedDict)
    # Place in the order of the last complete answer of a suspected part.
    cleared: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    # By part.
    tests: dict[str, PartTest] = attrs.field(factory=dict)
    # What `blocks` and `suspected` return, unless it has to be found anew.
    known_blocks: dict[str, Block] = attrs.field(factory=dict)
    known_suspected: frozenset[str] = frozenset()
    is_changed: bool = False
    # Number of the last crash or answer.
    number: int = 0
    # Suspects of all crashes.
    suspect_count: int = 0

    @property
    def blocks(self) -> dict[str, Block]:
        """The blocked parts."""
        self.update_blocks()
        return self.known_blocks

    @property
    def suspected(self) -> frozenset[str]:
        """The parts against which crashes count."""
        self.update_blocks()
        return self.known_suspected

    def crashed(
        self,
        incarnation: Incarnation,
        suspects: Iterable[Suspect],
        now_s: float,
        at_s: float,
    ) -> None:
        """Add what a router knows of a crash; several may know of one.

        Args:
          incarnation: The target that crashed.
          suspects: The parts under which it may have crashed.
          now_s: The time, in seconds of the clock.
          at_s: When the crash was reported, in seconds since the epoch.
        """
        crash = self.crashes.get(incarnation)
        if crash is None:
            self.number += 1
            crash = Crash(number=self.number, seen_s=now_s, at_s=at_s)
            self.crashes[incarnation] = crash
        for item in suspects:
            known = crash.suspects.get(item.part)
            if known is None or (item.is_proven and not known.is_proven):
                crash.suspects[item.part] = item
                self.suspect_count += known is None
                self.is_changed = True
        while len(self.crashes) > 1 and (
            len(self.crashes) > MAX_CRASHES or self.suspect_count > MAX_SUSPECTS
        ):
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the crash that was seen first."""
        _, crash = self.crashes.popitem(last=False)
        self.suspect_count -= len(crash.suspects)
        self.is_changed = True

    def answered(self, part: str) -> None:
        """Clear a part, since a prompt with it had a complete answer."""
        self.number += 1
        self.cleared[part] = self.number
        self.cleared.move_to_end(part)
        if len(self.cleared) > MAX_CLEARED:
            self.cleared.popitem(last=False)
        self.tests.pop(part, None)
        self.is_changed = True

    def tested(self, part: str, number: int, now_s: float) -> None:
        """Note that some router may send one request with a part.

        Args:
          part: The part.
          number: Which test of it this is, from 1.
          now_s: The time, in seconds of the clock.
        """
        known = self.tests.get(part)
        if known is not None and known.number >= number:
            return
        self.tests[part] = PartTest(number=number, seen_s=now_s)
        self.is_changed = True

    def blocks_of(self, parts: Collection[str], now_s: float) -> list[Block]:
        """Return the blocks that apply to a prompt."""
        self.forget(now_s)
        blocks = self.blocks
        return [blocks[part] for part in parts if part in blocks]

    def is_doubtful(self, parts: Collection[str]) -> bool:
        """Whether a prompt that has just crashed a target should not repeat."""
        if self.suspected.isdisjoint(parts):
            return False
        crashes = self.crashes_by_part()
        return any(
            len(crashes.get((False, part), ())) >= CRASHES_TO_DOUBT
            for part in parts
        )

    def is_suspected(self, part: str) -> bool:
        """Whether crashes count against a part, found without `suspected`."""
        return any(
            part in crash.suspects and self.counts(crash, part)
            for crash in self.crashes.values()
        )

    def counts(self, crash: Crash, part: str) -> bool:
        """Whether a crash counts against a part: no answer cleared it since."""
        return crash.number > self.cleared.get(part, 0)

    def forget(self, now_s: float) -> None:
        """Drop the crashes that are too old to count."""
        oldest_s = now_s - CRASH_LIFETIME_S
        while self.crashes:
            crash = next(iter(self.crashes.values()))
            if crash.seen_s >= oldest_s:
                break
            self.drop_oldest()

    def crashes_by_part(self) -> dict[tuple[bool, str], set[Incarnation]]:
        """Return the crashes that count against each part.

        The key says whether the part had answered before, by any router.
        """
        proven = {
            suspect.part
            for crash in self.crashes.values()
            for suspect in crash.suspects.values()
            if suspect.is_proven
        }
        found: dict[tuple[bool, str], set[Incarnation]] = {}
        for incarnation, crash in self.crashes.items():
            for part in crash.suspects:
                if self.counts(crash, part):
                    key = (part in proven, part)
                    found.setdefault(key, set()).add(incarnation)
        return found

    def update_blocks(self) -> None:
        """Block the fewest parts that explain the repeated crashes."""
        if not self.is_changed:
            return
        self.is_changed = False
        suspected = self.crashes_by_part()
        self.known_suspected = frozenset(part for _, part in suspected)
        by_part = {
            key: crashes
            for key, crashes in suspected.items()
            if len(crashes) >= rule_of(key).crashes
        }
        depths = {
            suspect.part: suspect.depth
            for crash in self.crashes.values()
            for suspect in crash.suspects.values()
        }
        blocks: dict[str, Block] = {}
        while by_part:
            key = max(
                by_part,
                key=lambda item: (
                    self.is_enough(by_part[item], rule_of(item)),
                    not item[0],
                    len(by_part[item]),
                    depths[item[1]],
                    item[1],
                ),
            )
            explained = by_part.pop(key)
            if not self.is_enough(explained, rule_of(key)):
                break
            blocks[key[1]] = self.block(key[1], explained, rule_of(key))
            for crashes in by_part.values():
                crashes -= explained
        self.known_blocks = blocks

    def is_enough(
        self, crashes: Collection[Incarnation], rule: BlockRule
    ) -> bool:
        """Whether crashes suffice to block a part."""
        if len(crashes) < rule.crashes:
            return False
        groups, began_s = 0, float("-inf")
        for at_s in sorted(self.crashes[item].at_s for item in crashes):
            if at_s - began_s >= rule.apart_s:
                groups, began_s = groups + 1, at_s
        return groups >= rule.groups

    def block(
        self, part: str, crashes: Collection[Incarnation], rule: BlockRule
    ) -> Block:
        """Return the block of a part under which targets have crashed."""
        since_s = max(self.crashes[item].seen_s for item in crashes)
        test = self.tests.get(part)
        tests = 0
        if test is not None:
            since_s = max(since_s, test.seen_s)
            tests = test.number
        time_s = min(MAX_BLOCK_S, rule.block_s * 2.0 ** min(tests, 16))
        return Block(part=part, crashes=len(crashes), until_s=since_s + time_s)


def rule_of(key: tuple[bool, str]) -> BlockRule:
    """Return the rule for a part, with whether it has answered before."""
    is_proven, part = key
    if is_proven:
        return PROVEN_PART
    return NEW_REQUEST if is_whole(part) else NEW_PART
