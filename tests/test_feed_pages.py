"""Replies of the feed are bounded, so that they pass through thin links."""

from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import feed_messages
from sequoiawind.feed_table import (
    MAX_BULK_BYTES,
    MIN_REPLACED,
    FeedChanges,
    FeedEntry,
    FeedTable,
    Level,
    Topic,
)
from tests.test_feed import PORT, FeedRig, publish

PARTS = 5_000
PART_NAME = "part-of-a-prompt-{:08}"


def table_with(parts: int) -> FeedTable:
    """Return a table with a configuration among many cached parts."""
    table = FeedTable(run=1, clock=Clock())
    for number in range(parts):
        key = (Topic.PART, "e1", "salt", PART_NAME.format(number))
        put(table, key, number)
        if number == parts // 2:
            put(table, (Topic.OPERATOR, "config"), 1)
    return table


def put(table: FeedTable, key: tuple[object, ...], number: int) -> None:
    """Store an entry."""
    table.put(
        FeedEntry(key=key, stamp=(1, number), value=1, level=Level.DOMAIN)
    )


def names_of(changes: FeedChanges, topic: Topic) -> list[str]:
    """Return the last name of each entry of a topic."""
    return [item.key[-1] for item in changes.entries if item.key[0] is topic]


class PagesTest(TestCase):
    """A table gives many cached parts in several replies."""

    def test_first_reply_has_the_configuration(self) -> None:
        changes = table_with(PARTS).since(0, -1, Level.ALL)
        self.assertTrue(changes.is_whole)
        self.assertTrue(changes.has_more)
        self.assertEqual(["config"], names_of(changes, Topic.OPERATOR))

    def test_replies_together_have_all_parts_once(self) -> None:
        table = table_with(PARTS)
        changes = table.since(0, -1, Level.ALL)
        found = names_of(changes, Topic.PART)
        while changes.has_more:
            self.assertTrue(len(found) < PARTS)
            changes = table.since(1, changes.number, Level.ALL)
            self.assertFalse(changes.is_whole)
            found += names_of(changes, Topic.PART)
        expected = [PART_NAME.format(number) for number in range(PARTS)]
        self.assertEqual(expected, found)
        self.assertEqual(table.number, changes.number)

    def test_change_is_in_the_next_reply_however_many_parts_follow(
        self,
    ) -> None:
        table = table_with(PARTS)
        changes = table.since(0, -1, Level.ALL)
        put(table, (Topic.OPERATOR, "config"), 2)
        changes = table.since(1, changes.number, Level.ALL)
        self.assertTrue(changes.has_more)
        self.assertEqual(["config"], names_of(changes, Topic.OPERATOR))

    def test_replaced_changes_are_not_kept_for_good(self) -> None:
        table = table_with(100)
        for number in range(100, 20_000):
            key = (Topic.PART, "e1", "salt", PART_NAME.format(number % 100))
            put(table, key, number)
        self.assertTrue(len(table.bulk_keys) <= 200 + MIN_REPLACED)
        found = names_of(table.since(0, -1, Level.ALL), Topic.PART)
        expected = [PART_NAME.format(number) for number in range(100)]
        self.assertEqual(expected, found)
        table.discard([("none",), (Topic.OPERATOR, "config")])
        changes = table.since(0, -1, Level.ALL)
        self.assertEqual([], names_of(changes, Topic.OPERATOR))

    def test_reply_has_one_entry_at_least(self) -> None:
        table = FeedTable(run=1, clock=Clock())
        for number in range(2):
            table.put(
                FeedEntry(
                    key=(Topic.CRASH, f"crash/{number}"),
                    stamp=(1, number),
                    value=bytes(2 * MAX_BULK_BYTES),
                    level=Level.DOMAIN,
                )
            )
        changes = table.since(0, -1, Level.ALL)
        self.assertEqual(["crash/0"], names_of(changes, Topic.CRASH))
        changes = table.since(1, changes.number, Level.ALL)
        self.assertEqual(["crash/1"], names_of(changes, Topic.CRASH))
        self.assertFalse(changes.has_more)


class RouterTest(TestCase):
    """A router reads several replies without a wait between them."""

    def test_router_that_just_started_has_all_parts_at_once(self) -> None:
        rig = FeedRig()
        relay = rig.add("e0", "d0")
        publish(relay, 1)
        for number in range(PARTS):
            key = (Topic.PART, "e0", "salt", PART_NAME.format(number))
            relay.put(key, (1, number), 100)
        rig.start_router(lambda: [f"e0:{PORT}"])
        rig.advance(0.1)
        parts = [part for reply in rig.replies for part in reply.parts]
        self.assertEqual(PARTS, len(parts))
        wholes = [reply.is_whole for reply in rig.replies]
        self.assertEqual([True] + [False] * (len(wholes) - 1), wholes)
        for reply in rig.replies:
            size = len(feed_messages.encode(reply))
            self.assertTrue(size < 2 * MAX_BULK_BYTES, size)
