"""The answers that the router writes for callers, from odd chunks too."""

import json
from typing import Any

import attrs
from testtools import TestCase

from sequoiawind import openai_format
from sequoiawind.openai_format import CHAT_PATH, DONE, TEXT_PATH
from sequoiawind.router import usage_of
from sequoiawind.router_http import Caller
from sequoiawind.wire import Ended, Usage

USAGE = {"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4}
# The form in which the public API reference sends the usage of a stream.
USAGE_CHUNK = openai_format.encode(
    {"id": "c1", "model": "m", "choices": [], "usage": USAGE}
)
MALFORMED = (
    [DONE],
    [b"{", DONE],
    [b"[]", DONE],
    [b'"usage"', DONE],
    [b"{}", DONE],
    [b'{"choices": [{}]}', DONE],
    [b'{"id": "c1", "choices": [7]}', DONE],
    [b'{"id": 1, "model": 2, "choices": [], "usage": 5}', DONE],
    [
        b'{"id": "c1", "model": "m", "choices": [],'
        b' "usage": {"prompt_tokens_details": 7}}',
        DONE,
    ],
)


@attrs.define(kw_only=True, eq=False)
class FakeRequest:
    """Records what is written to a caller."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    finished: int = 0

    def setResponseCode(self, status: int) -> None:
        """Record the status."""
        self.status = status

    def setHeader(self, name: str, value: str) -> None:
        """Record a header."""
        self.headers[name] = value

    def write(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    def finish(self) -> None:
        """Record the end."""
        self.finished += 1


def answer(path: str, chunks: list[bytes]) -> FakeRequest:
    """Return what a caller without a stream gets for chunks."""
    request: Any = FakeRequest()
    caller = Caller(
        request=request, request_id="q1", path=path, is_streamed=False
    )
    for data in chunks:
        caller.chunk(data)
    caller.ended(Ended())
    return request


class WholeAnswerTest(TestCase):
    """A caller always gets an answer, or a failure that says so."""

    def test_usage_in_a_chunk_of_its_own(self) -> None:
        for path in (TEXT_PATH, CHAT_PATH):
            token = openai_format.token_chunk(path, "c1", "m", "hello")
            written = answer(path, [token, USAGE_CHUNK, DONE])
            self.assertEqual((200, 1), (written.status, written.finished))
            body = json.loads(written.body)
            self.assertEqual(3, body["usage"]["prompt_tokens"])
            self.assertIn("hello", str(body["choices"]))

    def test_malformed_chunks(self) -> None:
        for path in (TEXT_PATH, CHAT_PATH):
            for chunks in MALFORMED:
                written = answer(path, chunks)
                result = (written.status, written.finished)
                self.assertEqual((502, 1), result, chunks)
                verdict = written.headers["X-Sequoiawind-Verdict"]
                self.assertEqual("may_have_run", verdict, chunks)

    def test_malformed_usage_is_not_counted(self) -> None:
        for chunks in MALFORMED:
            self.assertEqual(Usage(), usage_of(chunks), chunks)
