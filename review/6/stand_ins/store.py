"""The platform's store: keyed topics, logs of the system's own, and groups."""

import asyncio
import base64
import json
import struct
import time
from typing import Final

import attrs

from stand_ins.http import HttpServer, Reply, Request

KEYED: Final = "keyed."
OPERATOR_TOPIC: Final = "keyed.op"
SERVERS_TOPIC: Final = "keyed.servers"
# Time of an answer, in seconds, as the sheets state it.
ANSWER_S: Final = 0.004
LENGTH: Final = struct.Struct(">I")
END_AND_FIRST: Final = struct.Struct(">QQ")
JSON: Final = {"Content-Type": "application/json"}


@attrs.define(kw_only=True, eq=False)
class Group:
    """The members of a group, and the generation of their partitions."""

    generation: int = 1
    # When each member's time ends, in seconds of the clock.
    ends_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class Store:
    """The store; `server` is where processes reach it."""

    host: str
    partitions: int = 16
    server: HttpServer = attrs.field(init=False)
    # Records by topic; those of keyed topics begin with the key.
    topics: dict[str, list[bytes]] = attrs.field(factory=dict)
    groups: dict[str, Group] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    # The header `Store-Era` of all answers.
    era: int = 1

    def __attrs_post_init__(self) -> None:
        """Create the server."""
        self.server = HttpServer(host=self.host, handler=self.answer)

    # What the operator and the engines write.

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a record to a keyed topic; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name + data])

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records; return the end of the topic."""
        found = self.topics.setdefault(topic, [])
        found += records
        self.changed.set()
        self.changed = asyncio.Event()
        return len(found)

    def return_from(self, topic: str, end: int) -> None:
        """Return from a copy in which a topic ended earlier."""
        del self.topics[topic][end:]
        self.era += 1

    # Answers.

    async def answer(self, request: Request) -> Reply:
        """Answer a call."""
        await asyncio.sleep(ANSWER_S)
        reply = await self.answer_call(request)
        headers = {**reply.headers, "Store-Era": str(self.era)}
        return attrs.evolve(reply, headers=headers)

    async def answer_call(self, request: Request) -> Reply:
        """Answer a call, without the era."""
        query = request.query
        if request.path == "/api/log-newest":
            return self.newest(query["topic"])
        if request.path == "/api/log-read":
            return await self.read(query)
        if request.path == "/api/log-append":
            return self.append_call(query, request.body)
        if request.path == "/api/log-join":
            return self.join(json.loads(request.body))
        if request.path == "/api/log-leave":
            return self.leave(json.loads(request.body))
        return Reply(status=404)

    def newest(self, topic: str) -> Reply:
        """Return the newest record of each key, on one page."""
        newest: dict[str, tuple[int, bytes]] = {}
        records = self.topics.get(topic, [])
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "has_more": False, "end": len(records)}
        return Reply(status=200, headers=JSON, body=json.dumps(page).encode())

    async def read(self, query: dict[str, str]) -> Reply:
        """Return the records from an offset on, waiting for a first one."""
        topic, start = query["topic"], int(query["from"])
        ends_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(self.topics.get(topic, ())) == start:
            left_s = ends_s - time.monotonic()
            if left_s <= 0.0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        if start > len(records):
            body = json.dumps({"first": 0}).encode()
            return Reply(status=410, headers=JSON, body=body)
        body = END_AND_FIRST.pack(len(records), 0) + b"".join(
            LENGTH.pack(len(record)) + record for record in records[start:]
        )
        return Reply(status=200, body=body)

    def append_call(self, query: dict[str, str], body: bytes) -> Reply:
        """Append the records of a call, if the topic ends where it must."""
        topic = query["topic"]
        if topic in (OPERATOR_TOPIC, SERVERS_TOPIC):
            return Reply(status=403)
        end = len(self.topics.get(topic, ()))
        if "at" in query and int(query["at"]) != end:
            text = json.dumps({"end": end}).encode()
            return Reply(status=412, headers=JSON, body=text)
        records: list[bytes] = []
        while body:
            (length,) = LENGTH.unpack_from(body)
            records.append(body[LENGTH.size : LENGTH.size + length])
            body = body[LENGTH.size + length :]
        answer = {"offset": end, "end": self.append(topic, records)}
        text = json.dumps(answer).encode()
        return Reply(status=200, headers=JSON, body=text)

    def join(self, call: dict[str, object]) -> Reply:
        """Keep a member in its group; return the partitions that it holds."""
        group = self.groups.setdefault(str(call["group"]), Group())
        now_s, member = time.monotonic(), str(call["member"])
        before = set(group.ends_s)
        group.ends_s[member] = now_s + int(str(call["ttl_ms"])) / 1000
        for name, ends_s in list(group.ends_s.items()):
            if ends_s < now_s:
                del group.ends_s[name]
        if set(group.ends_s) != before:
            group.generation += 1
        members = sorted(group.ends_s)
        place, topics = members.index(member), call["topics"]
        assert isinstance(topics, list)
        parts = [
            [topic, part, 0]
            for topic in topics
            for part in range(self.partitions)
            if part % len(members) == place
        ]
        answer = {"generation": group.generation, "parts": parts}
        text = json.dumps(answer).encode()
        return Reply(status=200, headers=JSON, body=text)

    def leave(self, call: dict[str, object]) -> Reply:
        """Take a member out of its group."""
        group = self.groups.setdefault(str(call["group"]), Group())
        if group.ends_s.pop(str(call["member"]), None) is not None:
            group.generation += 1
        return Reply(status=200, headers=JSON, body=b"{}")
