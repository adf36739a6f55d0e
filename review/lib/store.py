"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from lib import http

LENGTH = struct.Struct(">I")
END_AND_FIRST = struct.Struct(">QQ")
MAX_READ_BYTES = 1024 * 1024
PAGE_ITEMS = 500


@dataclass(kw_only=True)
class Group:
    """The members of a group, which share the partitions of a topic."""

    generation: int = 0
    # Member, and when it joined last, in seconds of the steady clock.
    members: dict[str, float] = field(default_factory=dict)
    # Member, and the generation that it has named last.
    named: dict[str, int] = field(default_factory=dict)
    # Holder of each partition.
    owners: dict[int, str] = field(default_factory=dict)


class Store:
    """Topics with partitions of records; keyed topics have one partition."""

    def __init__(self, partitions: int = 16) -> None:
        """Create an empty store."""
        self.partitions = partitions
        self.records: dict[tuple[str, int], list[bytes]] = {}
        self.changed = asyncio.Event()
        self.groups: dict[str, Group] = {}
        # Called with each call; returns the bytes to answer in place of the
        # store's own, or b"" to close the connection.  None: as usual.
        self.intercept: Callable[[http.Message], Awaitable[bytes | None]]
        self.intercept = self.pass_all
        self.servers: list[asyncio.AbstractServer] = []

    async def pass_all(self, call: http.Message) -> bytes | None:
        """Let the store answer."""
        return None

    # What the operator and the servers do.

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a keyed record; without a value its key is dropped."""
        body = b"" if value is None else json.dumps(value).encode()
        self.append(topic, 0, [bytes([len(key)]) + key.encode() + body])

    def append(self, topic: str, part: int, contents: list[bytes]) -> int:
        """Append records; return the offset of the first one."""
        log = self.records.setdefault((topic, part), [])
        log.extend(contents)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return len(log) - len(contents)

    # The calls of the system.

    async def listen(self, host: str, port: int) -> None:
        """Serve at an address."""
        self.servers.append(await asyncio.start_server(self.serve, host, port))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while call := await http.read_message(reader):
                await asyncio.sleep(0.004)
                reply = await self.intercept(call)
                if reply is None:
                    reply = await self.reply(call)
                if not reply:
                    break
                writer.write(reply)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def reply(self, call: http.Message) -> bytes:
        """Return the answer to a call."""
        parts = urlsplit(call.target)
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        name = parts.path.removeprefix("/api/")
        if name == "log-newest":
            return self.newest(query)
        if name == "log-read":
            return await self.read(query)
        if name == "log-append":
            return self.take_append(query, call.body)
        if name == "log-join":
            return self.join(json.loads(call.body))
        if name == "log-leave":
            body = json.loads(call.body)
            self.group(body["group"]).members.pop(body["member"], None)
            return http.answer(200, b"{}")
        return http.answer(404)

    def newest(self, query: dict[str, str]) -> bytes:
        """Return the newest record of each key."""
        log = self.records.get((query["topic"], 0), [])
        found: dict[str, tuple[bytes, int]] = {}
        for offset, content in enumerate(log):
            key = content[1 : 1 + content[0]].decode()
            found.pop(key, None)
            if value := content[1 + content[0] :]:
                found[key] = (value, offset)
        after = query.get("after", "")
        keys = sorted(key for key in found if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found[key][0]).decode(),
                "offset": found[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > PAGE_ITEMS,
            "end": len(log),
        }
        return http.answer(200, json.dumps(page).encode())

    async def read(self, query: dict[str, str]) -> bytes:
        """Return the records from an offset on, waiting for one."""
        log = self.records.setdefault((query["topic"], int(query["part"])), [])
        start = int(query["from"])
        if start > len(log):
            return http.answer(410, b'{"first":0}')
        ends_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(log) <= start and (left_s := ends_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        body = END_AND_FIRST.pack(len(log), 0)
        for content in log[start:]:
            if len(body) > MAX_READ_BYTES:
                break
            body += LENGTH.pack(len(content)) + content
        return http.answer(200, body)

    def take_append(self, query: dict[str, str], body: bytes) -> bytes:
        """Append the records of a call."""
        topic, part = query["topic"], int(query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return http.answer(403)
        end = len(self.records.get((topic, part), []))
        if "at" in query and int(query["at"]) != end:
            return http.answer(412, json.dumps({"end": end}).encode())
        contents = []
        while body:
            (length,) = LENGTH.unpack_from(body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        offset = self.append(topic, part, contents)
        reply = {"offset": offset, "end": offset + len(contents)}
        return http.answer(200, json.dumps(reply).encode())

    def group(self, name: str) -> Group:
        """Return a group."""
        return self.groups.setdefault(name, Group())

    def join(self, body: dict[str, object]) -> bytes:
        """Join a group, or stay in it; return the member's partitions."""
        group, member = self.group(str(body["group"])), str(body["member"])
        now_s = time.monotonic()
        ttl_s = int(str(body["ttl_ms"])) / 1000
        before = set(group.members)
        group.members[member] = now_s
        for name, joined_s in list(group.members.items()):
            if now_s - joined_s > ttl_s:
                del group.members[name]
        if set(group.members) != before:
            group.generation += 1
        group.named[member] = int(str(body["generation"]))
        order = sorted(group.members)
        for part in range(self.partitions):
            due = order[part % len(order)]
            holder = group.owners.get(part, due)
            # A holder gives a partition up when it names this generation.
            is_free = (
                holder not in group.members
                or group.named.get(holder, 0) >= group.generation
            )
            if holder == due or is_free:
                group.owners[part] = due
        (topic,) = body["topics"]  # type: ignore[misc]
        rows = [
            [topic, part, 0]
            for part, holder in group.owners.items()
            if holder == member and order[part % len(order)] == member
        ]
        reply = {"generation": group.generation, "parts": rows}
        return http.answer(200, json.dumps(reply).encode())
