"""Tracking of cache contents: changes, restarts, gaps and failures."""

import random

import attrs
import structlog
from expression import Error, Ok, Result
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.forward_ports import CacheChanges, PartChange
from sequoiawind.prompt_cache import HeldParts, PromptPart
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

PARTS = (PromptPart(id="a", tokens=100), PromptPart(id="b", tokens=50))


@attrs.define(kw_only=True, eq=False)
class FakeCache:
    """Returns the answers that a test has prepared, then busy failures."""

    answers: list[Result[CacheChanges, Failure]]

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        if self.answers:
            return self.answers.pop(0)
        return Error(not_run(Reason.TARGET_BUSY))


def changes_answer(
    *changes: tuple[str, int], epoch: int = 1, gap: bool = False
) -> Result[CacheChanges, Failure]:
    """Return an answer that reports changes of parts."""
    return Ok(
        CacheChanges(
            epoch=epoch,
            next_number=9,
            has_gap=gap,
            changes=[
                PartChange(salt="s", part=part, tokens=tokens)
                for part, tokens in changes
            ],
        )
    )


class HeldPartsTest(TestCase):
    """Held tokens count up to the first part that is not held as a whole."""

    def test_held_tokens(self) -> None:
        for changes, expected in (
            ((("a", 100), ("b", 50)), 150),
            ((("a", 60), ("b", 50)), 60),
            ((("b", 50),), 0),
            ((("a", 100), ("b", 50), ("a", 0)), 0),
        ):
            held = HeldParts(capacity_tokens=1_000)
            for part, tokens in changes:
                held.changed("s", part, tokens)
            self.assertEqual(expected, held.held_tokens("s", PARTS), changes)
            self.assertEqual(0, held.held_tokens("other", PARTS))

    def test_capacity_evicts_the_least_recently_used_part(self) -> None:
        held = HeldParts(capacity_tokens=120)
        held.sent("s", PARTS)
        self.assertEqual(50, held.tokens)
        self.assertEqual(
            [False, True], [held.holds("s", part) for part in PARTS]
        )
        self.assertEqual(0, held.held_tokens("s", PARTS))


class WatcherTest(TestCase):
    """Restarts, gaps and failures clear what is known of a cache."""

    def held_tokens_after(self, *answers: Result[CacheChanges, Failure]) -> int:
        clock = Clock()
        watcher = CacheWatcher(
            port=FakeCache(answers=list(answers)),
            clock=clock,
            random=random.Random(1),
            log=structlog.get_logger(),
        )
        watcher.watch("e1", "ip:1", 1_000)
        for _ in range(20):
            clock.advance(0.1)
        return watcher.caches["e1"].held.held_tokens("s", PARTS)

    def test_restart_gap_and_failure_clear_the_held_parts(self) -> None:
        lost = Error(may_have_run(Reason.CONNECTION_LOST))
        for answers, expected in (
            ((changes_answer(("a", 100)), changes_answer(("b", 50))), 150),
            (
                (
                    changes_answer(("a", 100)),
                    changes_answer(("b", 50), epoch=2),
                ),
                0,
            ),
            ((changes_answer(("a", 100)), changes_answer(gap=True)), 0),
            ((changes_answer(("a", 100)), lost), 0),
            (
                (changes_answer(("a", 100)), lost, changes_answer(("a", 100))),
                100,
            ),
        ):
            self.assertEqual(expected, self.held_tokens_after(*answers))
