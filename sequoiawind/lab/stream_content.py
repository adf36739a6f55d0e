"""What the targets of a soak answer, and what callers check it against."""

import re
from typing import Final

from sequoiawind.forward_plan import ForwardRequest

EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\S+)-(\d+)-(\S+)\n\n")


def stream_id(request: ForwardRequest) -> str:
    """Return the request that began the stream which a request asks for."""
    return request.resumes or request.request_id


def event_count(name: str) -> int:
    """Return the number of events in the stream that a request begins."""
    return 3 + sum(name.encode()) % 40


def event_bytes(name: str, number: int, software: str) -> bytes:
    """Return an event of a stream, as written by a software version."""
    return b"id: %d\ndata: %s-%d-%s\n\n" % (
        number,
        name.encode(),
        number,
        software.encode(),
    )


def whole_events(body: bytes) -> bytes:
    """Return the complete events of a body."""
    return body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""


def last_number(body: bytes) -> int:
    """Return the number of a body's last complete event; 0 if it has none."""
    numbers = EVENT.findall(body)
    return int(numbers[-1][0]) if numbers else 0


def software_versions(body: bytes) -> set[str]:
    """Return the software versions that wrote the events of a body."""
    return {software.decode() for _, _, _, software in EVENT.findall(body)}


def is_whole_stream(name: str, body: bytes) -> bool:
    """Whether a body holds each event of a stream once and in order."""
    found = [
        (int(number), owner.decode())
        for number, owner, _, _ in EVENT.findall(body)
    ]
    expected = [(number, name) for number in range(1, event_count(name) + 1)]
    return found == expected and EVENT.sub(b"", body) == b""
