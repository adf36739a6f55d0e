"""Routers and agents as their programs wire them, on one virtual clock.

Only sockets are replaced: calls between processes, and to the store, pass
through a network on which VMs can be cut off from each other and from the
store.
"""

import base64
import json
import random
import struct
from collections.abc import Callable, Coroutine
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import attrs
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind import (
    event_loop,
    feed_reader,
    forward_agent_program,
    forward_program,
    forward_readers,
    forward_router_program,
    freshness,
    timing,
)
from sequoiawind.feed_messages import FEED_PATH
from sequoiawind.forward_agent_program import ForwardAgentProgram
from sequoiawind.forward_router_program import ForwardRouterProgram
from sequoiawind.http1_client import (
    CONNECT_TIMEOUT_S,
    AnswerSink,
    Http1Client,
    OutgoingRequest,
)
from sequoiawind.http1_connection import DEFAULT_KEEP_ALIVE_S
from sequoiawind.http_request import HttpRequest
from sequoiawind.options import (
    Address,
    BoundsOptions,
    EntryOptions,
    ForwardAgentSettings,
    ForwardRouterSettings,
    NodeOptions,
)
from sequoiawind.platform import names
from sequoiawind.platform.store_pages import encode_record
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.status_watcher import STATUS_PATH
from sequoiawind.verdict import Reason, may_have_run, not_run

STORE = "10.200.0.1"
STORE_PORT = 8784
AGENT_PORT = 7340
TARGET_PORT = 8080
# One way, in seconds.
LATENCY_S = 0.001
# What a sender may send before it is acknowledged, and the size of a packet
# that opens a connection, in bytes.
WINDOW_BYTES = 65_536
HANDSHAKE_BYTES = 60
# How long a cache without news waits before it answers, in seconds.
CACHE_WAIT_S = 0.9
# Cached parts that an answer of a cache has at most, and the length of their
# names: longer than those of engines, so that fewer entries fill a link.
PARTS_PER_PAGE = 500
PART_NAME_BYTES = 250


@attrs.define(kw_only=True, eq=False)
class VirtualCall:
    """A call that can be cancelled."""

    is_cancelled: bool = False

    def cancel(self) -> None:
        """Let the call's sink receive nothing more."""
        self.is_cancelled = True


@attrs.define(kw_only=True, eq=False)
class VirtualLink:
    """The link of one VM, on which what it receives waits in one queue."""

    clock: Clock
    bytes_per_s: float = float("inf")
    # When all that waits now will have arrived, in seconds of the clock.
    free_s: float = 0.0

    def pass_s(self, size: int) -> float:
        """Queue bytes; return when they will have arrived, from now on."""
        now_s = self.clock.seconds()
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        return self.free_s - now_s


@attrs.define(kw_only=True, eq=False)
class VirtualClient:
    """Makes the calls of one VM; takes the place of an `Http1Client`."""

    host: str
    fleet: "VirtualFleet"
    link: VirtualLink
    # When kept connections became idle, in seconds of the clock, by address.
    idle_s: dict[str, list[float]] = attrs.field(factory=dict)
    collected_bytes: int = 0

    @property
    def reactor(self) -> Clock:
        """The virtual clock."""
        return self.fleet.clock

    def call(
        self, address: str, request: OutgoingRequest, sink: AnswerSink
    ) -> VirtualCall:
        """Send a request over the network."""
        call = VirtualCall()
        Deferred.fromCoroutine(self.exchange(address, request, sink, call))
        return call

    async def exchange(
        self,
        address: str,
        request: OutgoingRequest,
        sink: AnswerSink,
        call: VirtualCall,
    ) -> None:
        """Connect, send a request, and deliver its answer."""
        if not await self.connect(address):
            if not call.is_cancelled:
                sink.failed(not_run(Reason.CONNECT_FAILED, "no connection"))
            return
        await timing.sleep(self.reactor, LATENCY_S)
        if call.is_cancelled or self.is_cut(address):
            return
        status, body = await self.fleet.answer(address, request)
        await timing.sleep(self.reactor, LATENCY_S)
        if call.is_cancelled or self.is_cut(address):
            return
        if not self.fleet.listens(address):
            sink.failed(may_have_run(Reason.CONNECTION_LOST, "reset"))
            return
        sink.head(status, [])
        for start in range(0, len(body), WINDOW_BYTES):
            window = body[start : start + WINDOW_BYTES]
            await timing.sleep(self.reactor, self.link.pass_s(len(window)))
            if call.is_cancelled or self.is_cut(address):
                return
            sink.data(window)
        self.idle_s.setdefault(address, []).append(self.reactor.seconds())
        sink.done()

    async def connect(self, address: str) -> bool:
        """Use a kept connection or open one; return whether there is one."""
        now_s = self.reactor.seconds()
        idle_s = self.idle_s.get(address, [])
        if idle_s and now_s - idle_s.pop() < DEFAULT_KEEP_ALIVE_S:
            return self.fleet.listens(address)
        if self.is_cut(address):
            await timing.sleep(self.reactor, CONNECT_TIMEOUT_S)
            return False
        wait_s = 2 * LATENCY_S + self.link.pass_s(HANDSHAKE_BYTES)
        await timing.sleep(self.reactor, min(wait_s, CONNECT_TIMEOUT_S))
        return wait_s < CONNECT_TIMEOUT_S and self.fleet.listens(address)

    def is_cut(self, address: str) -> bool:
        """Whether nothing passes between this VM and an address."""
        return self.fleet.is_cut(self.host, address.rpartition(":")[0])


@attrs.define(kw_only=True, eq=False)
class VirtualStore:
    """The keyed topics of the store."""

    clock: Clock
    topics: dict[str, list[tuple[str, bytes]]] = attrs.field(factory=dict)
    waiting: list[Deferred[None]] = attrs.field(factory=list)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, and end the waits for one."""
        self.topics.setdefault(topic, []).append((key, value))
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            if not item.called:
                item.callback(None)

    async def answer(self, target: str) -> tuple[int, bytes]:
        """Answer a read; nothing may be appended."""
        url = urlsplit(target)
        query = {name: item[0] for name, item in parse_qs(url.query).items()}
        records = self.topics.setdefault(query["topic"], [])
        if url.path == "/api/log-newest":
            return 200, self.newest(records)
        if url.path != "/api/log-read":
            return 503, b""
        start = int(query["from"])
        wait_s = int(query["wait_ms"]) / 1000
        if start >= len(records) and wait_s:
            changed: Deferred[None] = Deferred()
            self.waiting.append(changed)
            timer = self.clock.callLater(
                wait_s, lambda: changed.called or changed.callback(None)
            )
            await changed
            if timer.active():
                timer.cancel()
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = encode_record(KeyedRecord(key=key, value=value))
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def newest(self, records: list[tuple[str, bytes]]) -> bytes:
        """Return the newest record of each key."""
        offsets = {key: place for place, (key, _) in enumerate(records)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(records[place][1]).decode(),
                "offset": place,
            }
            for key, place in offsets.items()
        ]
        return json.dumps({"items": items, "end": len(records)}).encode()


@attrs.define(kw_only=True)
class VirtualRouter(ForwardRouterProgram):
    """A router whose calls pass through the virtual network."""

    fleet_of_test: "VirtualFleet"

    def make_client(self) -> Http1Client:
        """Return the client of the virtual network."""
        return self.fleet_of_test.make_client(self.options.node.ip)


@attrs.define(kw_only=True)
class VirtualAgent(ForwardAgentProgram):
    """An agent whose calls pass through the virtual network."""

    fleet_of_test: "VirtualFleet"

    def make_client(self) -> Http1Client:
        """Return the client of the virtual network."""
        return self.fleet_of_test.make_client(self.options.node.ip)


@attrs.define(kw_only=True, eq=False)
class VirtualFleet:
    """The processes of a test, their network and their store."""

    test: TestCase
    bounds: BoundsOptions
    random: "random.Random"
    clock: Clock = attrs.field(factory=Clock)
    store: VirtualStore = attrs.field(init=False)
    routers: list[VirtualRouter] = attrs.field(factory=list)
    agents: dict[str, VirtualAgent] = attrs.field(factory=dict)
    # Pairs of hosts between which nothing passes.
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    # Links by host.
    links: dict[str, VirtualLink] = attrs.field(factory=dict)
    # Hosts whose agents have ended; their targets go on.
    ended_agents: set[str] = attrs.field(factory=set)
    # Parts that each target's cache holds.
    cached_parts: int = 0
    # Tokens of each of them.
    part_tokens: int = 100
    # When each revision was acknowledged, in seconds of the clock.
    acknowledged_s: dict[int, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Let all programs use the virtual clock."""
        self.store = VirtualStore(clock=self.clock)
        self.test.patch(event_loop, "reactor", self.clock)
        for module in (
            feed_reader,
            forward_agent_program,
            forward_program,
            forward_readers,
            forward_router_program,
            freshness,
        ):
            self.test.patch(module, "suspended_clock_s", self.clock.seconds)

    def make_client(self, host: str) -> Http1Client:
        """Return the client of a VM."""
        link = self.links[host] = VirtualLink(clock=self.clock)
        return cast(
            Http1Client, VirtualClient(host=host, fleet=self, link=link)
        )

    def start(self, domains: int, agents: int, routers: int) -> None:
        """Start the processes.

        Args:
          domains: Number of failure domains.
          agents: Number of agents of each.
          routers: Number of routers of each.
        """
        for domain in range(domains):
            for number in range(agents):
                self.add_agent(f"10.{domain}.0.{number + 1}", f"d{domain}")
        for domain in range(domains):
            for number in range(routers):
                self.add_router(f"10.{domain}.1.{number + 1}", f"d{domain}")

    def add_agent(self, host: str, domain: str) -> None:
        """Register a target, and start its agent."""
        entry = {
            "service": "llm",
            "address": f"{host}:{TARGET_PORT}",
            "state": "ready",
            "zone": domain,
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
            "models": [{"name": "m", "version": 1}],
        }
        data = json.dumps(entry).encode()
        self.store.put(names.TARGETS_TOPIC, f"i-{host}", data)
        options = ForwardAgentSettings(
            node=NodeOptions(name=f"a-{host}", ip=host, failure_domain=domain),
            store=Address(host=STORE, port=STORE_PORT),
            target=Address(host=host, port=TARGET_PORT),
            bounds=self.bounds,
        )
        agent = VirtualAgent(options=options, fleet_of_test=self)
        agent.random.seed(self.random.random())
        self.agents[host] = agent
        agent.start()

    def add_router(self, host: str, domain: str) -> None:
        """Start a router."""
        address = Address(host=host, port=1)
        options = ForwardRouterSettings(
            node=NodeOptions(name=f"r-{host}", ip=host, failure_domain=domain),
            store=Address(host=STORE, port=STORE_PORT),
            entry=EntryOptions(callers=address, ready=address),
            bounds=self.bounds,
        )
        router = VirtualRouter(options=options, fleet_of_test=self)
        router.random.seed(self.random.random())
        router.freshness.now = self.clock.seconds
        self.routers.append(router)
        router.start(lambda: None)
        router.feed_reader.age_clock = self.clock.seconds

    def listens(self, address: str) -> bool:
        """Whether connections to an address are accepted."""
        host, _, port = address.rpartition(":")
        return port != str(AGENT_PORT) or host not in self.ended_agents

    async def answer(
        self, address: str, request: OutgoingRequest
    ) -> tuple[int, bytes]:
        """Answer a call to an address."""
        target = request.request_target
        path, _, query = target.decode().partition("?")
        host, _, port = address.rpartition(":")
        if host == STORE:
            return await self.store.answer(target.decode())
        agent = self.agents.get(host)
        if agent is None or port != str(AGENT_PORT):
            if path != names.CACHE_EVENTS_TARGET.decode():
                return 503, b""
            since = int(parse_qs(query)["since"][0])
            return 200, await self.cache_page(host, since)
        pages: dict[bytes, Callable[..., Coroutine[Any, Any, bytes]]] = {
            FEED_PATH: agent.feed_body,
            STATUS_PATH: agent.status_body,
        }
        call = HttpRequest(
            method=b"GET",
            request_target=target,
            headers=[],
            body=b"",
            arrived_s=self.clock.seconds(),
            read_s=self.clock.seconds(),
        )
        return 200, await pages[path.encode()](call)

    async def cache_page(self, host: str, since: int) -> bytes:
        """Return a page of the parts in a target's cache, or wait for one."""
        end = min(since + PARTS_PER_PAGE, self.cached_parts)
        if since >= end:
            await timing.sleep(self.clock, CACHE_WAIT_S)
        events = [
            [
                number,
                "+",
                "salt",
                f"{number:0{PART_NAME_BYTES}}",
                self.part_tokens,
                "m",
            ]
            for number in range(since, end)
        ]
        page = {"boot_epoch": 1, "next_token": end, "events": events}
        return json.dumps(page).encode()

    # Faults and changes.

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two hosts."""
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two hosts, without a reset."""
        self.cuts.add(frozenset((one, other)))

    def configure(self, revision: int) -> None:
        """Write a configuration to the store, which acknowledges it."""
        record = {"version": revision, "services": [{"name": "llm"}]}
        data = json.dumps(record).encode()
        self.store.put(names.OPERATOR_TOPIC, names.CONFIG_KEY, data)
        self.acknowledged_s[revision] = self.clock.seconds()

    def run(self, seconds: float, step_s: float = 0.01) -> None:
        """Let time pass."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)

    def watch_caches(self, router: VirtualRouter) -> None:
        """Let a router follow all caches, as if it had sent prompts there."""
        for host in self.agents:
            router.forwarder.caches.watch(
                f"i-{host}", f"{host}:{TARGET_PORT}", 1_000_000
            )

    def oldest_missing_s(self, router: VirtualRouter) -> float:
        """Return for how long a router has lacked an acknowledged change."""
        revision = router.board.state.revision
        missing = [
            acknowledged_s
            for newer, acknowledged_s in self.acknowledged_s.items()
            if newer > revision
        ]
        return self.clock.seconds() - min(missing, default=self.clock.seconds())
