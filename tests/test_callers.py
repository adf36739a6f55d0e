"""Callers on real sockets: the stock OpenAI client, refusals, bad input."""

import json
import socket
import time
import urllib.error
import urllib.request
from typing import Any

import openai
from testtools import TestCase

from sequoiawind import keys
from sequoiawind.lab import engine_model
from sequoiawind.openai_format import TEXT_PATH
from tests import live

PROMPT = "The weather window at station K7 opens when? " * 60


def client(token: str = live.TOKEN, number: int = 0) -> openai.OpenAI:
    """Return the stock OpenAI client, with only address and key set."""
    base = live.shared().url(number)
    return openai.OpenAI(base_url=f"{base}/v1", api_key=token, max_retries=0)


def call(
    path: str, data: bytes | None, headers: dict[str, str], number: int = 0
) -> tuple[int, dict[str, str], bytes]:
    """Make a call and return status, headers and body."""
    request = urllib.request.Request(
        live.shared().url(number) + path, data=data, headers=headers
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status, dict(reply.headers), reply.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def send_raw(data: bytes) -> bytes:
    """Send bytes to a router; return its answer up to the close."""
    host, port = live.shared().url().removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        answer = b""
        while part := sock.recv(65536):
            answer += part
    return answer


AUTH = {"Authorization": f"Bearer {live.TOKEN}"}


class StockClientTest(TestCase):
    """The stock OpenAI client works with only base_url and api_key set."""

    def test_models(self) -> None:
        names = [model.id for model in client().models.list()]
        self.assertEqual(["polar"], names)

    def test_whole_text(self) -> None:
        answer = client().completions.create(
            model="polar", prompt=PROMPT, max_tokens=8
        )
        expected = engine_model.expected_answer(PROMPT, 8)
        self.assertEqual(expected, answer.choices[0].text)
        self.assertEqual(8, answer.usage.completion_tokens)

    def test_streamed_text(self) -> None:
        chunks = client().completions.create(
            model="polar", prompt=PROMPT, max_tokens=8, stream=True
        )
        text = "".join(chunk.choices[0].text for chunk in chunks)
        self.assertEqual(engine_model.expected_answer(PROMPT, 8), text)

    def test_whole_chat(self) -> None:
        answer = client().chat.completions.create(
            model="polar",
            messages=[{"role": "user", "content": "When?"}],
            max_tokens=5,
        )
        expected = engine_model.expected_answer("<user>When?", 5)
        self.assertEqual(expected, answer.choices[0].message.content)

    def test_streamed_chat(self) -> None:
        chunks = client().chat.completions.create(
            model="polar",
            messages=[{"role": "user", "content": "متى؟"}],
            max_tokens=5,
            stream=True,
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        self.assertEqual(engine_model.expected_answer("<user>متى؟", 5), text)

    def test_cached_prefix_is_reported(self) -> None:
        prompt = "A long dossier on one vessel. " * 200
        for _ in range(2):
            answer = client().completions.create(
                model="polar", prompt=prompt, max_tokens=2
            )
        self.assertGreater(answer.usage.prompt_tokens_details.cached_tokens, 0)

    def test_wrong_key(self) -> None:
        error = self.assertRaises(
            openai.AuthenticationError,
            client("wrong").completions.create,
            model="polar",
            prompt="x",
        )
        self.assertEqual("unauthenticated", error.code)

    def test_unknown_model(self) -> None:
        error = self.assertRaises(
            openai.NotFoundError,
            client().completions.create,
            model="other",
            prompt="x",
        )
        self.assertEqual("no_route", error.code)

    def test_rate_limit_has_a_retry_after_header(self) -> None:
        small = client("small-token")
        errors: list[openai.RateLimitError] = []
        for _ in range(3):
            try:
                small.completions.create(
                    model="polar", prompt="x", max_tokens=1
                )
            except openai.RateLimitError as error:
                errors.append(error)
        self.assertNotEqual([], errors)
        self.assertGreaterEqual(
            int(errors[0].response.headers["Retry-After"]), 1
        )


class BadInputTest(TestCase):
    """Bad input gets an error reply and does not disturb other callers."""

    def check_status(self, expected: int, body: bytes) -> None:
        status, headers, _ = call(TEXT_PATH, body, AUTH)
        self.assertEqual(expected, status)
        self.assertEqual("not_run", headers["X-Sequoiawind-Verdict"])

    def test_not_json(self) -> None:
        self.check_status(400, b"{")

    def test_not_utf8(self) -> None:
        self.check_status(400, b'{"model": "\xff"}')

    def test_wrong_types(self) -> None:
        for body in (
            [],
            {"model": 5, "prompt": "x"},
            {"model": "polar", "prompt": 5},
            {"model": "polar", "prompt": "x", "max_tokens": "many"},
            {"model": "polar", "prompt": "x", "max_tokens": 0},
            {"model": "polar", "prompt": "x", "max_tokens": True},
            {"model": "polar", "prompt": "x", "n": 2},
        ):
            self.check_status(400, json.dumps(body).encode())

    def test_announced_body_too_large(self) -> None:
        answer = send_raw(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 99999999\r\n\r\n"
        )
        self.assertIn(b" 413 ", answer.split(b"\r\n")[0])

    def test_chunked_body_too_large(self) -> None:
        part = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        # Beyond the limit more than the buffers of two sockets hold.
        answer = send_raw(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + part * 16
        )
        self.assertIn(b" 413 ", answer.split(b"\r\n")[0])
        self.assertEqual(1, answer.count(b"HTTP/1.1"))
        self.assertTrue(answer.endswith(b"\r\n\r\n"))

    def test_header_too_long(self) -> None:
        answer = send_raw(
            b"GET /healthz HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 40000
        )
        self.assertIn(b" 431 ", answer.split(b"\r\n")[0])

    def test_peer_paths_need_the_secret(self) -> None:
        for path in ("/peer/report", "/peer/config"):
            self.assertEqual(401, call(path, None, {})[0])

    def test_health_and_metrics(self) -> None:
        self.assertEqual(200, call("/readyz", None, {})[0])
        body = call("/metrics", None, {})[2].decode()
        self.assertIn('sequoiawind_refusals_total{reason="rate_limit"}', body)
        self.assertIn('sequoiawind_retries_total{reason="draining"}', body)


class PlainServiceTest(TestCase):
    """Plain services, and actions that must run at most once."""

    def book(
        self, key: str, body: bytes, number: int = 0
    ) -> tuple[int, dict[str, str], bytes]:
        headers = {**AUTH, "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        return call("/bookings/drop", body, headers, number)

    def new_key(self, age_s: float = 0.0) -> str:
        return keys.make_key(time.time() - age_s, time.time_ns())

    def executions(self, key: str) -> int:
        count: int = live.shared().plain.by_key[f"nordlys/{key}"]
        return count

    def test_lookup_is_forwarded(self) -> None:
        status, headers, body = call("/status/K7", b"{}", AUTH)
        self.assertEqual(200, status)
        self.assertEqual("done", headers["X-Sequoiawind-Verdict"])
        self.assertEqual("/status/K7", json.loads(body)["path"])

    def test_repeated_key_gets_the_first_answer(self) -> None:
        key = self.new_key()
        first = self.book(key, b"{}", 0)
        second = self.book(key, b"{}", 1)
        self.assertEqual(200, first[0])
        self.assertEqual(first[2], second[2])
        self.assertEqual(1, self.executions(key))

    def test_key_with_another_body(self) -> None:
        key = self.new_key()
        self.book(key, b"{}")
        status, headers, _ = self.book(key, b'{"litres": 1}', 1)
        self.assertEqual(422, status)
        self.assertEqual("not_run", headers["X-Sequoiawind-Verdict"])

    def test_unusable_keys(self) -> None:
        for key in (
            "",
            "K7",
            "9b2c6d3e-7a34-4c53-8e4f-0123456789ab",
            self.new_key(age_s=7200.0),
            self.new_key(age_s=-600.0),
        ):
            status, headers, _ = self.book(key, b"{}")
            self.assertEqual(400, status, key)
            self.assertEqual("not_run", headers["X-Sequoiawind-Verdict"])
            self.assertEqual(0, self.executions(key))


class OperatorTest(TestCase):
    """Operators over HTTP."""

    def run_statement(
        self, text: str, token: str = live.OPERATOR_TOKEN
    ) -> tuple[int, Any]:
        status, _, body = call(
            "/admin/statements",
            json.dumps({"statement": text}).encode(),
            {"Authorization": f"Bearer {token}"},
        )
        return status, json.loads(body)

    def test_show_counts_the_daemons_that_answered(self) -> None:
        status, answer = self.run_statement("show targets order by name")
        self.assertEqual(200, status)
        self.assertEqual(answer["expected"], answer["answered"])
        self.assertEqual("e0", answer["rows"][0][0])

    def test_command_is_accepted_and_in_force(self) -> None:
        status, answer = self.run_statement("reprioritise kind status to 4")
        self.assertEqual(200, status)
        self.assertTrue(answer["is_accepted"])
        kinds = live.shared().routers[0].board.state.kinds
        self.assertEqual(4, kinds["status"].priority)

    def test_viewer_may_not_command(self) -> None:
        status, _ = self.run_statement("admit target e0", "viewer-token")
        self.assertEqual(403, status)

    def test_caller_is_no_operator(self) -> None:
        status, _ = self.run_statement("show targets", live.TOKEN)
        self.assertEqual(401, status)

    def test_syntax_error_marks_its_position(self) -> None:
        status, answer = self.run_statement("show tagets")
        self.assertEqual(400, status)
        self.assertIn("     ^", answer["message"])
