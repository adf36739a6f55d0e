"""Odd entries in the store stop no process that reads it.

Another writer may leave entries that are deeply nested, have numbers that are
too large, or name ports out of range.
"""

import json
import random
from collections.abc import Iterator
from typing import Any

import structlog
from expression import Result
from structlog.testing import capture_logs
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind import claims, commands, config_fold, defaults, http_client
from sequoiawind.fleet import Fleet
from sequoiawind.forward_readers import TargetReader
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.load_slots import SlotQueue
from sequoiawind.options import BoundsOptions
from sequoiawind.platform import names
from sequoiawind.platform.engine_wire import EventsRecord, ReportRecord
from sequoiawind.platform.targets import decode_target
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.verdict import Failure, Verdict
from sequoiawind.wire import WireError, decode
from tests.virtual_fleet import STORE, VirtualFleet

ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.9.9.9:8080",
    "state": "ready",
    "zone": "d0",
    "version": "v1",
    "slots": 8,
    "cold_left_ms": 0,
    "seq": 3,
    "born": 1,
    "models": [{"name": "m", "version": 1}],
}
# The fields that each entry has; those of `REQUIRED[4:]` decide nothing.
REQUIRED = (
    "service",
    "address",
    "state",
    "slots",
    "zone",
    "version",
    "cold_left_ms",
    "seq",
)
HUGE = 10**400
NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_ADDRESSES = (
    "10.9.9.9:99999",
    "10.9.9.9:0",
    "10.9.9.9:-1",
    "10.9.9.9:\u00b2",
    "10.9.9.9:\u0663",
    "10.9.9.9:" + "9" * 5_000,
    "10.9.9.9:",
    "10.9.9:80",
    "no host:80",
    "host.example:80",
    "10.9.9.9\r\nx-header: 1:80",
    "\u0000:80",
    ":80",
    "80",
    "",
)

# Addresses that no URL may have.
INVALID_ADDRESSES = (
    "10.9.9.9:\u00b2",
    "10.9.9.9:" + "9" * 5_000,
    "no host:80",
    "10.9.9.9\r\nx-header: 1:80",
    "\u0000:80",
)
# Fields of commands and claims.
FIELDS = (
    "table",
    "name",
    "fields",
    "key",
    "claim_id",
    "router",
    "valid_until_s",
    "priority",
    "weight",
)


def entry(**fields: object) -> bytes:
    """Return an entry with some fields changed."""
    return json.dumps({**ENTRY, **fields}).encode()


def without(*names: str) -> bytes:
    """Return an entry that lacks some fields."""
    kept = {name: item for name, item in ENTRY.items() if name not in names}
    return json.dumps(kept).encode()


def odd_entries() -> Iterator[bytes]:
    """Yield entries that name no usable target."""
    yield from (entry(address=address) for address in ODD_ADDRESSES)
    yield NESTED
    yield entry()[:-1] + b', "more": ' + NESTED + b"}"
    yield entry(models=None).replace(b"null", NESTED)
    for name in REQUIRED:
        # Another writer may leave out any field, or several.
        yield entry(**{name: None})
        yield entry(**{name: {}})
        yield without(name)
        yield without(*(other for other in REQUIRED[4:] if other != name))
    for name in ("slots", "born", "seq"):
        yield entry(**{name: HUGE})
        yield entry(**{name: 2**64})
        yield entry(**{name: -(2**63)})
        yield entry(**{name: "8"})
        yield entry(**{name: None}).replace(b"null", b"9" * 5_000)
        yield entry(**{name: None}).replace(b"null", b"1e400")
    for version in (HUGE, 2**64, -1):
        yield entry(models=[{"name": "m", "version": version}])
    yield from (b"", b"{", b"null", b"[]", b"\xff\xfe", b'"\\ud800"', b"\x00")


class DecodeTest(TestCase):
    """Entries that name no target are told apart from others."""

    def test_odd_entries_name_no_target(self) -> None:
        for value in odd_entries():
            decoded = decode_target("i-odd", value)
            self.assertTrue(decoded.is_error(), value[:200])

    def test_sound_entry_names_a_target(self) -> None:
        found = decode_target("i-1", entry()).ok
        self.assertEqual("10.9.9.9:8080", found.address)
        self.assertEqual({"m": 1}, found.versions)

    def test_numbers_of_targets_that_are_too_large_are_refused(self) -> None:
        for name in ("seq", "waiting", "running", "kv_used", "born"):
            for value in (HUGE, 2**64):
                body = json.dumps({name: value}).encode()
                self.assertRaises(WireError, decode, body, ReportRecord)
        for change in ([1, "+", "s", "p", HUGE, "m"], [HUGE, "+", "s", "p"]):
            page = {"boot_epoch": 1, "next_token": 2, "events": [change]}
            body = json.dumps(page).encode()
            self.assertRaises(WireError, decode, body, EventsRecord)


class IdentityTest(TestCase):
    """Entries of another writer that lack nothing."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.fleet = Fleet()
        self.reader = TargetReader(
            fleet=self.fleet,
            decode=decode_target,
            clock=self.clock,
            log=structlog.get_logger(),
        )
        self.offset = 0

    def write(self, **fields: object) -> None:
        """Write an entry under the target's name."""
        self.offset += 1
        stamp = (1, self.offset)
        value = entry(**fields)
        self.reader.changed(KeyedRecord(key="i-1", value=value, stamp=stamp))

    def pools(self) -> list[str]:
        """Return the pools that the target serves."""
        return [view.target.pool for view in self.fleet.views.values()]

    def test_target_is_not_used_for_another_service(self) -> None:
        # Guards against calls at a model engine, until its next heartbeat.
        self.write()
        for fields in ({"service": "app"}, {"address": "10.9.9.8:8080"}):
            for _ in range(3):
                self.write(**fields)
                self.assertEqual([], self.pools())
                self.clock.advance(0.4)
            self.write()
            self.assertEqual(["llm"], self.pools())

    def test_first_entry_may_be_the_foreign_one(self) -> None:
        self.write(service="app")
        for _ in range(5):
            self.write()
            self.clock.advance(1.2)
        self.assertEqual(["llm"], self.pools())

    def test_another_start_may_serve_another_pool(self) -> None:
        self.write()
        self.write(service="app", born=2)
        self.assertEqual(["app"], self.pools())


class ReadersTest(TestCase):
    """Routers, agents and relays go on following the store."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = VirtualFleet(
            test=self, bounds=BoundsOptions(), random=random.Random(1)
        )
        self.fleet.configure(1)
        self.fleet.start(domains=2, agents=2, routers=1)
        self.fleet.run(6.0)

    def check_following(self, topic: str, key: str) -> None:
        """Write odd entries, then a change and a target; check both arrive."""
        with capture_logs() as lines:
            for revision, value in enumerate(odd_entries(), 2):
                self.fleet.store.put(topic, key, value)
                self.fleet.configure(revision)
                self.fleet.run(0.1)
            name = f"i-10.0.0.99-{key}"
            sound = entry(address="10.0.0.99:8080")
            self.fleet.store.put(names.TARGETS_TOPIC, name, sound)
            self.fleet.run(4.0)
        failed = [
            line["traceback"]
            for line in lines
            if line["event"] in ("controller step failed", "page failed")
        ]
        self.assertEqual([], failed)
        for program in (*self.fleet.routers, *self.fleet.agents.values()):
            self.assertEqual(revision, program.board.state.revision)
            self.assertIn(name, program.fleet.views)

    def test_odd_entries_of_targets(self) -> None:
        self.check_following(names.TARGETS_TOPIC, "i-odd")

    def test_odd_entry_in_the_place_of_a_sound_one(self) -> None:
        self.check_following(names.TARGETS_TOPIC, "i-10.0.0.1")
        for router in self.fleet.routers:
            self.assertNotIn("i-10.0.0.1", router.fleet.views)

    def test_odd_entries_of_the_operator(self) -> None:
        self.check_following(names.OPERATOR_TOPIC, names.CONFIG_KEY)
        self.check_following(
            names.OPERATOR_TOPIC, names.VERSION_KEY_PREFIX + "m"
        )

    def test_odd_entries_in_the_topic_of_crashes(self) -> None:
        for kind in ("crash", "answer", "test", "other"):
            self.check_following(names.CRASHES_TOPIC, f"{kind}/odd")

    def test_odd_entries_read_without_relays(self) -> None:
        self.fleet.ended_agents.update(self.fleet.agents)
        self.check_following(names.TARGETS_TOPIC, "i-odd")

    def test_odd_entries_read_from_relays_alone(self) -> None:
        for router in self.fleet.routers:
            self.fleet.cut(router.options.node.ip, STORE)
        self.check_following(names.TARGETS_TOPIC, "i-odd")

    def test_relays_serve_beside_caches_with_numbers_too_large(self) -> None:
        for router in self.fleet.routers:
            self.fleet.cut(router.options.node.ip, STORE)
        self.fleet.part_tokens = HUGE
        self.fleet.cached_parts = 10
        self.fleet.configure(2)
        self.fleet.run(4.0)
        for router in self.fleet.routers:
            self.assertTrue(router.feed.is_live)
            self.assertEqual(2, router.board.state.revision)

    def test_odd_entries_at_the_start(self) -> None:
        for number, value in enumerate(odd_entries()):
            self.fleet.store.put(names.TARGETS_TOPIC, f"i-{number}", value)
        self.fleet.add_agent("10.1.0.9", "d1")
        self.fleet.add_router("10.1.1.9", "d1")
        self.fleet.run(4.0)
        self.check_following(names.TARGETS_TOPIC, "i-odd")


def odd_records() -> Iterator[str]:
    """Yield odd records of the system's own log, some in its own form."""
    for value in odd_entries():
        yield value.decode("utf-8", "replace")
    nested = NESTED.decode()
    for verb in (*commands.VERBS.values(), *claims.VERBS.values()):
        for odd in (nested, str(HUGE), "9" * 5_000, "1e400", str(2**64), "-1"):
            fields = ", ".join(f'"{name}": {odd}' for name in FIELDS)
            for body in (odd, f"{{{fields}}}", f'{{"fields": {{{fields}}}}}'):
                yield (
                    f'{{"v": {defaults.RECORD_VERSION}, "id": "c", '
                    f'"actor": "a", "verb": "{verb}", "body": {body}}}'
                )


class ClientTest(TestCase):
    """Calls to odd addresses fail as not run."""

    def test_calls_between_processes(self) -> None:
        client = http_client.make_client()
        for address in INVALID_ADDRESSES:
            url = f"http://{address}/x"
            call = http_client.JsonClient(client=client).call("GET", url, str)
            results: list[Result[str, Failure]] = []
            Deferred.fromCoroutine(call).addCallback(results.append)
            self.assertIs(Verdict.NOT_RUN, results[0].error.verdict, address)
            refused: list[Failure] = []
            stream = http_client.EventCall(
                client=client,
                url=url,
                body=b"",
                headers={},
                on_event=lambda event: None,
                on_refused=refused.append,
                on_lost=lambda: None,
            )
            stream.start()
            self.assertIs(Verdict.NOT_RUN, refused[0].verdict, address)

    def test_calls_to_targets(self) -> None:
        clock = Clock()
        client = Http1Client(reactor=clock)
        request = OutgoingRequest(
            method=b"GET", request_target=b"/", headers=[]
        )
        for port in ("99999", "-1", "\u00b2", "\u0663", "9" * 5_000, ""):
            failures: list[Failure] = []
            fetch(client, f"10.9.9.9:{port}", request, 1.0).addCallback(
                lambda result, found=failures: found.append(result.error)
            )
            clock.advance(0.0)
            self.assertIs(Verdict.NOT_RUN, failures[0].verdict, port)
        self.assertEqual([], clock.getDelayedCalls())


class LogTest(TestCase):
    """The folds of the system's own log go on after odd records."""

    def test_configuration(self) -> None:
        folded = config_fold.Folded()
        for offset, record in enumerate(odd_records()):
            folded = config_fold.fold(folded, offset, record)
        self.assertEqual(-1, folded.state.revision)
        for record in odd_records():
            self.assertIsNone(config_fold.restore(record))

    def test_claims(self) -> None:
        table = claims.ClaimTable()
        for offset, record in enumerate(odd_records()):
            table.fold(offset, 1.0, record)
        self.assertEqual({}, dict(table.entries))

    def test_slots_for_loads(self) -> None:
        queue = SlotQueue()
        for offset, record in enumerate(odd_records()):
            queue.fold(offset, record)
        self.assertEqual([], queue.targets)
