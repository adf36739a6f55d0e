"""Totals over all routers: statements, sums at relays, readers.

Run as a program, it prints the bytes and the processor time that they take.
"""

import logging
import random
import time
from functools import partial
from urllib.parse import urlencode

import attrs
import msgspec
import structlog
from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind import feed_messages, feed_statement
from sequoiawind.feed_client import FeedClient, FeedQuery
from sequoiawind.feed_messages import FeedReply
from sequoiawind.feed_relay import FeedRelay
from sequoiawind.feed_statement import MAX_STATED_KEYS, Statement
from sequoiawind.feed_sums import MAX_KEYS, MAX_REPLY_KEYS, FeedSums
from sequoiawind.feed_table import Level
from sequoiawind.feed_totals import OTHERS_WAIT_S, SETTLING_S
from sequoiawind.forward_agent_program import parse_query
from sequoiawind.headers import DEFAULT_HEADER_BYTES
from sequoiawind.relay_choice import AGENTS_PER_RELAY, ranked
from tests import test_feed_programs
from tests.test_feed import PORT, FeedRig

# By the page: time after which what a router has stated is dropped.
LIFETIME_S = 5.0
# Time from a move to totals that contain the router once: until its request to
# the old relay times out, and for two requests between relays.
MOVED_S = 2.0
OLD_FIELDS = 12


def wire_query(query: FeedQuery) -> FeedQuery:
    """Return a query as it arrives."""
    return parse_query(b"/agent/feed?" + urlencode(query.arguments()).encode())


@attrs.define(kw_only=True, eq=False)
class Link:
    """Loses, delays and repeats messages of the feed."""

    rig: "SumsRig"
    reader: str

    async def read(
        self, address: str, query: FeedQuery, timeout_s: float
    ) -> FeedReply | None:
        """Return the reply of a relay; None after the time-out."""
        rig = self.rig
        started_s = rig.clock.seconds()
        reply: FeedReply | None = None
        if self.is_up(address):
            await rig.pause(0.001)
            received = wire_query(query)
            if address in rig.old:
                received = attrs.evolve(
                    received, statement=feed_statement.EMPTY
                )
            relay = rig.network.relays[address]
            data = await relay.serve(received)
            if rig.rng.random() < rig.repeated:
                # A copy of the request arrives late, also at a relay that the
                # router has left since.
                late = Deferred.fromCoroutine
                rig.clock.callLater(
                    rig.rng.uniform(0.0, 1.0),
                    lambda: late(relay.serve(received)),
                )
            if address in rig.old or self.reader in rig.old:
                data = as_old(data)
            reply = feed_messages.decode(data)
        left_s = started_s + timeout_s - rig.clock.seconds()
        if not self.is_up(address) or left_s < 0.0:
            await rig.pause(max(0.0, left_s))
            return None
        return reply

    def is_up(self, address: str) -> bool:
        """Whether a message passes."""
        rig = self.rig
        return not (
            address in rig.network.silent
            or {(self.reader, address), (address, self.reader)} & rig.cut
            or rig.rng.random() < rig.lost
        )


def as_old(data: bytes) -> bytes:
    """Return the part of a reply that an earlier release knows."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:OLD_FIELDS])


@attrs.define(kw_only=True, eq=False)
class SumsRig(FeedRig):
    """Agents and routers that state one figure each."""

    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    # Shares of messages that are lost, and of requests that arrive again.
    lost: float = 0.0
    repeated: float = 0.0
    # Pairs of a reader and an address that do not reach each other.
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    # Addresses of agents and names of routers of the previous release.
    old: set[str] = attrs.field(factory=set)
    routers: dict[str, FeedClient] = attrs.field(factory=dict)
    # Last totals of each router, and all of them with the time.
    last: dict[str, dict[str, float]] = attrs.field(factory=dict)
    seen: list[tuple[float, str, float]] = attrs.field(factory=list)

    def add(self, name: str, domain: str) -> FeedRelay:
        """Add a target with its agent."""
        relay = super().add(name, domain)
        relay.make_client = partial(self.linked, reader=relay.address)
        return relay

    def linked(self, reader: str, **fields: object) -> FeedClient:
        """Return a client over a link."""
        client = self.make_client(reader=reader, **fields)
        client.port = Link(rig=self, reader=reader)
        return client

    async def pause(self, seconds: float) -> None:
        """Wait."""
        ended: Deferred[None] = Deferred()
        self.clock.callLater(seconds, ended.callback, None)
        await ended

    def route(
        self, name: str, *hosts: str, value: float = 1.0, stamp: int = 0
    ) -> None:
        """Start a router that prefers some relays."""

        def take(reply: FeedReply, sent_s: float) -> None:
            if reply.has_totals:
                self.last[name] = reply.totals
                total = reply.totals.get("a:x", 0.0)
                self.seen.append((self.clock.seconds(), name, total))

        client = self.linked(
            name,
            is_router=True,
            level=Level.ALL,
            candidates=lambda: [f"{host}:{PORT}" for host in hosts],
            on_reply=take,
            statement=lambda: {"a:x": value, f"p:{name}": 2.0},
            stamp=stamp,
        )
        self.routers[name] = client
        Deferred.fromCoroutine(client.run())

    def totals(self, since_s: float = 0.0, router: str = "") -> list[float]:
        """Return the totals that all routers, or one, got since a time."""
        return [
            total
            for at_s, name, total in self.seen
            if at_s >= since_s and router in ("", name)
        ]


class StatementTest(TestCase):
    """What routers state is bounded, and arrives unchanged."""

    def test_empty_statement_adds_no_bytes(self) -> None:
        query = FeedQuery(
            reader="r", is_router=True, run=1, after=2, level=Level.ALL
        )
        self.assertNotIn("statement", query.arguments())
        self.assertIs(feed_statement.EMPTY, wire_query(query).statement)

    def test_invalid_values_do_not_reach_the_totals(self) -> None:
        values = {"a:n": float("nan"), "a:i": float("inf"), "a:m": -1.0}
        values |= {"a:0": 0.0, "a:small": 0.0004, "a:x": 1.23456}
        self.assertEqual({"a:x": 1235}, feed_statement.limited(values))

    def test_component_with_large_values_leaves_room_for_others(self) -> None:
        values = {f"a:{n}": 1000.0 + n for n in range(10_000)}
        values |= {f"p:{n}": 0.5 for n in range(100)}
        found = feed_statement.limited(values)
        self.assertEqual(MAX_STATED_KEYS, len(found))
        self.assertEqual(100, sum(key.startswith("p:") for key in found))
        self.assertIn("a:9999", found)
        self.assertNotIn("a:9000", found)

    def test_request_with_long_keys_is_not_refused_for_its_size(self) -> None:
        for char in ("k", "ü", "%"):
            values = {f"a:{char * 90}{n}": 1e11 for n in range(300)}
            units = feed_statement.limited(values)
            query = FeedQuery(
                reader="r" * 60,
                is_router=True,
                run=2**60,
                after=2**60,
                level=Level.ALL,
                statement=Statement(2**60, units),
            )
            head = urlencode(query.arguments())
            self.assertTrue(len(head) < 0.8 * DEFAULT_HEADER_BYTES, len(head))
            self.assertEqual(query.statement, wire_query(query).statement)

    def test_unreadable_statement_is_not_taken_as_empty(self) -> None:
        valid = feed_statement.encode(Statement(7, {"a:x": 5}))
        negative = feed_statement.encode(Statement(7, {"a:x": -5}))
        for text in (
            valid[:-3],
            valid + "AAAA",
            "é",
            "*",
            negative,
            "A" * 20000,
        ):
            self.assertIsNone(feed_statement.decode(text), text)


class SumsTest(TestCase):
    """The sums of a relay contain the newest statement of each router once."""

    def setUp(self) -> None:
        super().setUp()
        self.sums = FeedSums()

    def state(self, name: str, stamp: int, now_s: float, **units: int) -> None:
        """Let a router state figures."""
        self.sums.take_statement(name, Statement(stamp, units), now_s)

    def test_late_and_repeated_statements_count_once(self) -> None:
        self.state("r", 5, 0.0, x=1000)
        for stamp, units in ((5, 1000), (4, 7000)):
            self.state("r", stamp, 0.1, x=units)
            self.assertEqual({"x": 1.0}, self.sums.totals(Level.OWN))
        self.assertFalse(self.sums.contains("r", Statement(4, {"x": 7000})))
        self.state("r", 6, 0.2)
        self.assertEqual({}, self.sums.totals(Level.ALL))

    def test_statement_is_dropped_after_its_lifetime(self) -> None:
        self.state("r", 5, 0.0, x=1000)
        self.sums.take_table("d1", Level.ALL, {"x": 500}, {"s": 1}, 0.0)
        self.sums.expire(LIFETIME_S)
        self.assertEqual({"x": 1.5}, self.sums.totals(Level.ALL))
        self.sums.expire(LIFETIME_S + 0.01)
        self.assertEqual({}, self.sums.totals(Level.ALL))

    def test_router_that_has_come_is_taken_out_of_the_old_table(self) -> None:
        table = {"x": 9000, "y": 10}
        self.sums.take_table("a", Level.DOMAIN, table, {"r": 3, "s": 4}, 0.0)
        self.state("r", 4, 0.0, x=6000, y=20)
        self.assertEqual({"x": 9.0, "y": 0.02}, self.sums.totals(Level.ALL))
        self.state("s", 5, 0.0, x=1)
        expected = {"x": 6.001, "y": 0.02}
        self.assertEqual(expected, self.sums.totals(Level.ALL))

    def test_router_that_has_left_is_dropped(self) -> None:
        self.state("r", 4, 0.0, x=6000)
        self.sums.take_table("a", Level.ALL, {"x": 6000}, {"r": 5}, 0.0)
        self.assertEqual({}, self.sums.totals(Level.DOMAIN))
        # A copy of its last request here arrives late.
        self.state("r", 4, 0.0, x=6000)
        self.assertEqual({"x": 6.0}, self.sums.totals(Level.ALL))

    def test_router_that_moved_between_others_counts_by_its_share(self) -> None:
        old = {"r": 1, "s": 1, "t": 1, "u": 1}
        self.sums.take_table("a", Level.ALL, {"x": 4000}, old, 0.0)
        self.sums.take_table("b", Level.ALL, {"x": 1000}, {"r": 2}, 0.0)
        self.assertEqual({"x": 4.0}, self.sums.totals(Level.ALL))
        # Who reads these totals does not take it out again.
        expected = {"r": 2, "s": 1, "t": 1, "u": 1}
        self.assertEqual(expected, self.sums.counted(Level.ALL))

    def test_router_that_was_taken_out_is_not_said_to_be_counted(self) -> None:
        self.sums.take_table("b", Level.DOMAIN, {"x": 9}, {"r": 1, "s": 1}, 0.0)
        self.sums.take_table("d1", Level.ALL, {"x": 7}, {"r": 2}, 0.0)
        self.assertEqual({"s": 1}, self.sums.counted(Level.DOMAIN))

    def test_keys_beyond_the_bound_are_not_said_to_be_contained(self) -> None:
        table = {f"a:{n}": 5 for n in range(MAX_KEYS - 1)}
        self.sums.take_table("a", Level.ALL, table, {"s": 1}, 0.0)
        self.state("r", 1, 0.0, x=1, y=1)
        self.assertEqual(MAX_KEYS, len(self.sums.totals(Level.ALL)))
        self.sums.take_table("a", Level.ALL, {"y": 5}, {"s": 2}, 0.0)
        statement = Statement(1, {"x": 1, "y": 1})
        got = self.sums.totals_for("r", statement, 9.0)
        self.assertEqual({"x": 0.001}, got)

    def test_reply_has_the_routers_keys_and_the_largest(self) -> None:
        table = {f"a:{n}": n + 2 for n in range(10_000)}
        self.sums.take_table("a", Level.ALL, table, {"s": 1}, 0.0)
        statement = Statement(1, {"a:7": 1})
        self.sums.take_statement("r", statement, 0.0)
        got = self.sums.totals_for("r", statement, 0.0)
        self.assertEqual(MAX_REPLY_KEYS, len(got))
        self.assertEqual(0.010, got["a:7"])
        self.assertIn("a:9999", got)

    def test_sums_do_not_drift(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            sums = FeedSums()
            for step in range(300):
                name = f"r{rng.randrange(8)}"
                units = {f"k{rng.randrange(9)}": rng.randrange(1, 99)}
                stamp = step + rng.randrange(-3, 3) + 5
                now_s = step / 10
                if rng.random() < 0.2:
                    table = {f"r{rng.randrange(12)}": stamp}
                    source = f"a{rng.randrange(3)}"
                    sums.take_table(source, Level.DOMAIN, units, table, now_s)
                else:
                    empty = rng.random() < 0.1
                    stated = Statement(stamp, {} if empty else units)
                    sums.take_statement(name, stated, now_s)
                sums.expire(now_s)
            for held in list(sums.held):
                sums.drop(held)
            sums.keep_sources(set())
            self.assertEqual([{}, {}, {}], list(sums.sums.values()), seed)
            self.assertEqual(0, sums.held_entries)


class TotalsTest(TestCase):
    """Every router gets the sum over all routers, and keeps it in faults."""

    def fleet(self, agents: int, domains: int, routers: int) -> SumsRig:
        """Return a fleet whose routers read from the relays of their domain."""
        rig = SumsRig()
        for number in range(agents):
            rig.add(f"e{number}", f"d{number % domains}")
        for number in range(routers):
            rig.route(f"r{number}", *self.relays(rig, f"d{number % domains}"))
        return rig

    def relays(self, rig: SumsRig, domain: str) -> list[str]:
        """Return the agents of a domain, the preferred relay first."""
        targets = [view.target for view in rig.fleet.views.values()]
        return [target.name for target in ranked(targets, domain)]

    def assert_exact(self, rig: SumsRig, routers: int) -> None:
        """Check that all routers have got the sum over all."""
        expected = {"a:x": 1.0 * routers}
        expected |= {f"p:r{number}": 2.0 for number in range(routers)}
        for number in range(routers):
            self.assertEqual(expected, rig.last[f"r{number}"])

    def test_all_routers_get_the_sum_over_all(self) -> None:
        rig = self.fleet(9, 3, 10)
        rig.advance(5.0)
        self.assert_exact(rig, 10)
        self.assertEqual({"a:x": 1.0, "p:r1": 2.0}, rig.routers["r1"].stated)

    def test_relays_of_a_domain_are_added_and_not_estimated(self) -> None:
        # An estimate from one relay of two counts a router's own statement
        # twice.
        rig = self.fleet(2 * AGENTS_PER_RELAY, 1, 3)
        first, second, *_ = self.relays(rig, "d0")
        rig.route("r3", second, first)
        rig.advance(4.0)
        self.assert_exact(rig, 4)

    def test_relay_that_is_not_heard_is_estimated(self) -> None:
        # Two relays cut off from each other would each give out the whole.
        rig = self.fleet(2 * AGENTS_PER_RELAY, 1, 3)
        first, second, *_ = self.relays(rig, "d0")
        rig.route("r3", second, first)
        rig.advance(4.0)
        rig.cut.add((f"{first}:{PORT}", f"{second}:{PORT}"))
        rig.advance(LIFETIME_S + 2.0)
        self.assertEqual(6.0, rig.last["r0"]["a:x"])
        self.assertEqual(2.0, rig.last["r3"]["a:x"])

    def test_router_that_changes_its_relay_counts_once(self) -> None:
        # It was counted at the old relay too, for as long as its statement
        # lives there.
        for to_domain in ("d0", "d1"):
            rig = self.fleet(9, 3, 9)
            rig.routers["r0"].statement = lambda: {"a:x": 20.0}
            first = self.relays(rig, "d0")[0]
            second = self.relays(rig, to_domain)[1]
            rig.route("r9", second)
            rig.advance(4.0)
            for relay, other in ((second, first), (first, second)):
                rig.cut = {("r0", f"{other}:{PORT}")}
                rig.routers["r0"].candidates = lambda at=relay: [f"{at}:{PORT}"]
                began_s = rig.clock.seconds()
                rig.advance(4.0)
                self.assertTrue(min(rig.totals(began_s)) >= 29.0, to_domain)
                if relay == second:
                    # The new relay takes it out of the old table at once.
                    own = rig.totals(began_s, "r0")
                    self.assertEqual({29.0}, set(own), to_domain)
                since_s = began_s + MOVED_S
                self.assertEqual({29.0}, set(rig.totals(since_s)), to_domain)
                self.assertEqual(29.0, rig.last["r0"]["a:x"])

    def test_relay_that_ends_leaves_no_totals_too_small(self) -> None:
        # The first routers at a new relay got totals of themselves alone, and
        # with these the whole of a limit each.
        rig = self.fleet(9, 3, 30)
        rig.advance(4.0)
        ended_s = rig.clock.seconds()
        rig.network.silent.add(f"{self.relays(rig, 'd0')[0]}:{PORT}")
        rig.advance(LIFETIME_S + 2.0)
        self.assertTrue(min(rig.totals(ended_s)) >= 30.0)
        self.assert_exact(rig, 30)
        # They have totals again before long.
        at_s = [at for at, name, _ in rig.seen if name == "r0" and at > ended_s]
        self.assertTrue(min(at_s) - ended_s < 2.0 + SETTLING_S, at_s[0])

    def test_relay_of_two_that_has_ended_is_not_estimated(self) -> None:
        rig = self.fleet(2 * AGENTS_PER_RELAY, 1, 4)
        first, second, *_ = self.relays(rig, "d0")
        rig.route("r4", second, first)
        rig.advance(4.0)
        rig.network.silent.add(f"{first}:{PORT}")
        rig.advance(3 * LIFETIME_S)
        self.assert_exact(rig, 5)

    def test_relay_that_starts_anew_gives_no_totals_too_small(self) -> None:
        rig = self.fleet(3, 3, 9)
        rig.advance(4.0)
        address = f"e0:{PORT}"
        rig.add("e0", "d0").table.run = 2
        began_s = rig.clock.seconds()
        self.assertIn(address, rig.network.relays)
        rig.advance(4.0)
        self.assertTrue(min(rig.totals(began_s)) >= 9.0)
        self.assert_exact(rig, 9)

    def test_lost_late_and_repeated_messages(self) -> None:
        for seed in range(3):
            rig = self.fleet(6, 2, 12)
            rig.rng.seed(seed)
            rig.advance(3.0)
            rig.lost, rig.repeated = 0.05, 0.2
            rig.seen.clear()
            rig.advance(20.0)
            # Every router counts itself, and nothing counts without end.
            self.assertTrue(min(rig.totals()) >= 1.0, seed)
            self.assertTrue(max(rig.totals()) <= 24.0, seed)
            rig.lost = rig.repeated = 0.0
            rig.advance(2 * LIFETIME_S)
            self.assert_exact(rig, 12)

    def test_router_that_starts_anew_replaces_its_predecessor(self) -> None:
        rig = self.fleet(3, 1, 2)
        rig.advance(2.0)
        rig.routers["r0"].stop()
        rig.route("r0", *self.relays(rig, "d0"), value=5.0, stamp=10_000)
        rig.advance(1.0)
        self.assertEqual(6.0, rig.last["r0"]["a:x"])


class ReleaseTest(TestCase):
    """Processes of the previous release and of this one work together."""

    def test_relay_of_the_previous_release_gives_no_totals(self) -> None:
        rig = SumsRig(old={f"e0:{PORT}"})
        rig.add("e0", "d0")
        rig.add("e1", "d1")
        for number in range(4):
            rig.route(f"r{number}", f"e{number % 2}")
        # The relay of this release waits for totals of the other domain.
        rig.advance(SETTLING_S + OTHERS_WAIT_S + 1.0)
        # Empty totals would look like a fleet without other routers.
        self.assertEqual({"r1", "r3"}, set(rig.last))
        self.assertEqual(2.0, rig.last["r1"]["a:x"])
        self.assertTrue(rig.routers["r0"].is_live)

    def test_router_of_the_previous_release_is_served(self) -> None:
        rig = SumsRig(old={"r0"})
        rig.add("e0", "d0")
        rig.route("r0", "e0")
        rig.routers["r0"].statement = lambda: {}
        rig.route("r1", "e0")
        rig.advance(4.0)
        self.assertTrue(rig.routers["r0"].is_live)
        self.assertEqual({"r1"}, set(rig.last))
        self.assertEqual(1.0, rig.last["r1"]["a:x"])

    def test_previous_release_decodes_a_reply(self) -> None:
        names = [field.name for field in msgspec.structs.fields(FeedReply)]
        previous = msgspec.defstruct(
            "Previous", names[:OLD_FIELDS], array_like=True
        )
        reply = FeedReply(1, 6, False, "r", 0.5, -1.0, 3)
        reply.has_totals, reply.totals = True, {"a:x": 1.0}
        data = feed_messages.encode(reply)
        old = msgspec.msgpack.Decoder(previous).decode(data)
        self.assertEqual(0.0, old.demand_per_s)
        # Each release appends its fields.
        added = ["has_totals", "counted", "totals", "has_more", "held_s"]
        self.assertEqual([*added, "store_era"], names[OLD_FIELDS:])
        self.assertFalse(feed_messages.decode(as_old(data)).has_totals)


class ReaderTest(TestCase):
    """A reader passes totals on with what they contain."""

    def test_totals_and_what_they_contain(self) -> None:
        base = test_feed_programs.FeedReaderTest(
            "test_demand_gives_the_part_of_limits"
        )
        base.setUp()
        got: list[object] = []
        base.reader.own_statement = lambda: {"a:x": 1.0, "a:full": 2.0}
        base.reader.on_totals = lambda *seen: got.append(seen)
        reply = FeedReply(1, 6, False, "r", 0.5, -1.0, 3)
        base.reader.take(reply, 1.0)
        self.assertEqual([], got)
        reply.has_totals, reply.totals = True, {"a:x": 4.0, "a:y": 1.0}
        base.reader.take(reply, 2.0)
        expected = ({"a:x": 4.0, "a:y": 1.0}, {"a:x": 1.0}, 2.0)
        self.assertEqual([expected], got)


def measure() -> None:
    """Print the bytes and the processor time that totals take."""
    rng = random.Random(1)
    paces = {
        f"p:engine-{n:03}:{kind}": rng.uniform(0, 99)
        for n in range(78)
        for kind in "oe"
    }

    def figures(accounts: int, with_paces: bool) -> dict[str, float]:
        values = {
            f"a:account-{n:05}": rng.uniform(1, 5000) for n in range(accounts)
        }
        return values | (paces if with_paces else {})

    def query(name: str, stamp: int, values: dict[str, float]) -> FeedQuery:
        return FeedQuery(
            reader=name,
            is_router=True,
            run=1,
            after=0,
            level=Level.ALL,
            statement=Statement(stamp, feed_statement.limited(values)),
        )

    print("accounts paces keys argument_bytes reply_bytes limited_ms")
    for accounts in (16, 74, 10_000):
        for with_paces in (False, True):
            values = figures(accounts, with_paces)
            asked = query("router-1", int(time.time() * 1000), values)
            text = feed_statement.encode(asked.statement)
            sums = FeedSums()
            if accounts > MAX_STATED_KEYS:
                table = feed_statement.as_units(values)
                sums.take_table("d", Level.ALL, table, {"s": 1}, 0.0)
            sums.take_statement("router-1", asked.statement, 0.0)
            totals = sums.totals_for("router-1", asked.statement, 0.0)
            began_s = time.process_time()
            for _ in range(20):
                feed_statement.limited(values)
            limited_ms = (time.process_time() - began_s) / 20 * 1000
            size = len(msgspec.msgpack.encode(totals))
            keys = len(asked.statement.units)
            print(
                accounts,
                with_paces,
                keys,
                len(text),
                size,
                round(limited_ms, 2),
            )

    print("accounts relay_reply_bytes decode_and_add_ms")
    for accounts in (16, 74, 10_000):
        reply = FeedReply(1, 6, False, "r", 0.5, -1.0, 3)
        reply.has_totals, reply.totals = True, figures(accounts, True)
        reply.counted = {f"router-{n}": 2**41 + n for n in range(100)}
        data = feed_messages.encode(reply)
        sums = FeedSums()
        began_s = time.process_time()
        for _ in range(20):
            read = feed_messages.decode(data)
            table = feed_statement.as_units(read.totals)
            sums.take_table("d", Level.ALL, table, read.counted, 0.0)
        each_ms = (time.process_time() - began_s) / 20 * 1000
        print(accounts, len(data), round(each_ms, 2))

    print("routers accounts request_ms relay_cores (3 requests/s each)")
    for routers in (30, 300):
        for accounts in (0, 16, 74, 10_000):
            rig = FeedRig()
            relay = rig.add("e0", "d0")
            rig.clock.advance(9.0)
            rounds = 600 // routers
            stated = [figures(accounts, accounts > 0) for _ in range(routers)]
            asked = [
                b"/agent/feed?"
                + urlencode(
                    query(f"r{n}", step, stated[n]).arguments()
                ).encode()
                for step in range(rounds)
                for n in range(routers)
            ]
            began_s = time.process_time()
            for target in asked:
                # Of another run, so that it is answered at once.
                parsed = attrs.evolve(parse_query(target), run=0)
                Deferred.fromCoroutine(relay.serve(parsed))
                rig.clock.advance(0.34 / routers)
            each_s = (time.process_time() - began_s) / len(asked)
            cores = each_s * routers * 3
            print(routers, accounts, round(each_s * 1e3, 3), round(cores, 3))


def measure_losses() -> None:
    """Print how often totals are too small when messages are lost.

    Each direction of a message is lost with the stated probability.  The sum
    of the parts is of the equal demand of 12 routers over their totals.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    print("lost totals too_small least parts_p50 parts_p99 parts_max")
    case = TotalsTest("test_all_routers_get_the_sum_over_all")
    for lost in (0.005, 0.02, 0.05):
        totals: list[float] = []
        parts: list[float] = []
        for seed in range(6):
            rig = case.fleet(6, 2, 12)
            rig.rng.seed(seed)
            rig.advance(3.0)
            rig.lost, rig.repeated = lost, 0.2
            rig.seen.clear()
            for _ in range(600):
                rig.advance(0.1)
                since_s = rig.clock.seconds() - 2.0
                last = {
                    name: total
                    for at_s, name, total in rig.seen[-90:]
                    if at_s > since_s
                }
                parts.append(sum(1.0 / total for total in last.values()))
            totals += rig.totals()
        parts.sort()
        shown = (0.5, 0.99, 1.0)
        print(
            *(lost, len(totals)),
            round(sum(item < 12.0 for item in totals) / len(totals), 4),
            min(totals),
            *(round(parts[int(p * (len(parts) - 1))], 3) for p in shown),
        )


if __name__ == "__main__":
    measure()
    measure_losses()
