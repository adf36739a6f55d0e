"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Final
from urllib.parse import parse_qs, urlsplit

import attrs

MAX_HEAD_BYTES: Final = 65_536
REASONS: Final = {200: "OK", 202: "Accepted"}


@attrs.frozen(kw_only=True)
class Request:
    """A request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The last value of each name in the query."""
        found = parse_qs(urlsplit(self.target).query)
        return {name: values[-1] for name, values in found.items()}


@attrs.frozen(kw_only=True)
class Reply:
    """A whole answer."""

    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the answer, framed by its length."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body

    async def write(self, writer: asyncio.StreamWriter) -> None:
        """Write the answer."""
        writer.write(self.encode())
        await writer.drain()


@attrs.frozen(kw_only=True)
class Stream:
    """An answer in chunks, each written as it is made."""

    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes]

    async def write(self, writer: asyncio.StreamWriter) -> None:
        """Write the answer."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        async for chunk in self.chunks:
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


Answer = Reply | Stream


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str]
) -> bytes:
    """Return a body that is framed by its length or sent in chunks.

    Raises:
      asyncio.IncompleteReadError: The body was broken off.
    """
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request on a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await read_body(reader, headers)
    return Request(method=method, target=target, headers=headers, body=body)


Handler = Callable[[Request], Awaitable[Answer]]


@attrs.define(kw_only=True, eq=False)
class HttpServer:
    """Answers requests on one address; a context manager."""

    host: str
    port: int = 0
    handler: Handler
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{self.host}:{self.port}"

    async def __aenter__(self) -> "HttpServer":
        """Start to serve."""
        await self.listen()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop serving."""
        self.cut()

    async def listen(self) -> None:
        """Accept connections; the first time on a free port."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Stop to listen, and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handler(request)
                await answer.write(writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def send(address: str, request: Request, timeout_s: float) -> Reply:
    """Send a request on a connection of its own; return the whole answer.

    Raises:
      OSError: There was no connection, or it was reset.
      asyncio.IncompleteReadError: The answer was broken off.
      TimeoutError: There was no whole answer in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{request.method} {request.target} HTTP/1.1"]
            lines += [
                f"{name}: {item}" for name, item in request.headers.items()
            ]
            if request.body:
                lines.append(f"Content-Length: {len(request.body)}")
            head = "\r\n".join([*lines, "", ""]).encode("latin-1")
            writer.write(head + request.body)
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
        finally:
            writer.close()
    return Reply(status=int(first.split(" ")[1]), headers=headers, body=body)
