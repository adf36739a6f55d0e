"""A small HTTP/1.1 reader and writer for the stand-ins of the review."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024
REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request"}


@dataclass(kw_only=True)
class Message:
    """A request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the body has arrived whole.
    is_complete: bool = True

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(first_line=lines[0], headers=headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole request or answer; None if there is none."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while chunk := await read_chunk(reader):
                message.body += chunk
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_complete = False
    except ConnectionError:
        message.is_complete = False
    return message


def head(first_line: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a head."""
    lines = [first_line, *(f"{key}: {value}" for key, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a whole answer."""
    first_line = f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"
    found = {"Content-Length": str(len(body)), **(headers or {})}
    return head(first_line, found) + body


def request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a whole request."""
    found = dict(headers)
    if body or method == "POST":
        found["Content-Length"] = str(len(body))
    return head(f"{method} {target} HTTP/1.1", found) + body
