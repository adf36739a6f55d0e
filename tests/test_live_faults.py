"""Faults on real sockets: engines crash, connections are cut, senders stall."""

import socket
import threading
import time
from typing import Any
from unittest import mock

import klein
import openai
from testtools import TestCase

from sequoiawind import defaults, http_ports, http_server
from sequoiawind.lab import engine_model
from tests import live

PROMPT = "The origin of the catch of the vessel Amal? " * 40
TOKENS = 300
TRIES = 400
PAUSE_S = 0.01


class StreamTest(TestCase):
    """Faults during a stream: it is completed, or ends with its caller."""

    def setUp(self) -> None:
        super().setUp()
        self.system = live.shared()
        self.calls: list[http_ports.AgentHttpCall] = []
        original = http_ports.AgentPort.open

        def opened(port: Any, *args: Any) -> Any:
            call = original(port, *args)
            self.calls.append(call)
            return call

        patch = mock.patch.object(http_ports.AgentPort, "open", opened)
        patch.start()
        self.addCleanup(patch.stop)

    def stream_with(self, fault: Any) -> str:
        """Return an answer during which a fault was injected."""
        client = openai.OpenAI(
            base_url=f"{self.system.url()}/v1",
            api_key=live.TOKEN,
            max_retries=0,
        )
        parts: list[str] = []
        chunks = client.completions.create(
            model="polar", prompt=PROMPT, max_tokens=TOKENS, stream=True
        )
        for chunk in chunks:
            parts.append(chunk.choices[0].text)
            if len(parts) == 20:
                live.in_reactor(fault)
        return "".join(parts)

    def check(self, fault: Any) -> None:
        expected = engine_model.expected_answer(PROMPT, TOKENS)
        self.assertEqual(expected, self.stream_with(fault))

    def test_answer_is_complete_after_an_engine_crash(self) -> None:
        def crash() -> None:
            for engine in self.system.engines:
                if engine.batch:
                    engine.crash()

        self.check(crash)
        self.assertTrue(len(self.calls) >= 2)

    def test_cut_between_router_and_agent_is_resumed(self) -> None:
        def cut() -> None:
            self.calls[-1].stream.receiver.abort()

        self.check(cut)
        first = self.system.agents[0].metrics.events.labels("resumed")
        second = self.system.agents[1].metrics.events.labels("resumed")
        self.assertTrue(first._value.get() + second._value.get() >= 1)

    def test_caller_disconnect_stops_the_engine(self) -> None:
        client = openai.OpenAI(
            base_url=f"{self.system.url()}/v1", api_key=live.TOKEN
        )
        chunks = client.completions.create(
            model="polar", prompt=PROMPT, max_tokens=4000, stream=True
        )
        next(iter(chunks))
        chunks.close()
        for _ in range(TRIES):
            if not any(engine.batch for engine in self.system.engines):
                return
            time.sleep(PAUSE_S)
        self.fail("the engine did not stop after the caller disconnected")


class SlowSenderTest(TestCase):
    """Stalled senders are disconnected; other callers are not affected."""

    def test_stalled_bodies_time_out_and_delay_no_other_caller(self) -> None:
        system = live.shared()
        host, port = system.url().removeprefix("http://").split(":")
        with mock.patch.object(defaults, "BODY_TIMEOUT_S", 0.3):
            socks = [
                socket.create_connection((host, int(port)), timeout=20)
                for _ in range(20)
            ]
            for sock in socks:
                sock.sendall(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    b"Content-Length: 100\r\n\r\n{"
                )
            answers: list[bytes] = []
            threads = [
                threading.Thread(
                    target=lambda s=sock: answers.append(s.recv(100))
                )
                for sock in socks
            ]
            for thread in threads:
                thread.start()
            client = openai.OpenAI(
                base_url=f"{system.url()}/v1", api_key=live.TOKEN
            )
            answer = client.completions.create(
                model="polar", prompt="x", max_tokens=2
            )
            for thread in threads:
                thread.join()
            for sock in socks:
                sock.close()
        refusals = system.routers[0].metrics.refusals
        counted = refusals.labels("body_timeout")._value.get()
        self.assertEqual(20, counted)
        expected = engine_model.expected_answer("x", 2)
        self.assertEqual(expected, answer.choices[0].text)
        self.assertEqual(
            {b"HTTP/1.1 408 Request Time-out"},
            {answer.split(b"\r\n")[0] for answer in answers},
        )


class HalfOpenTest(TestCase):
    """A connection on which no more data arrives is closed."""

    def test_unfinished_head_times_out(self) -> None:
        live.start_reactor_thread()
        with mock.patch.object(defaults, "IDLE_TIMEOUT_S", 0.3):
            port = live.in_reactor(
                http_server.listen, klein.Klein(), live.ANY_PORT
            )
        address = live.address_of(port)
        with socket.create_connection(
            (address.host, address.port), timeout=20
        ) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost:")
            self.assertEqual(b"", sock.recv(100))
        live.in_reactor(port.stopListening)


class RestartTest(TestCase):
    """A router that starts during a log outage is configured by a peer."""

    def test_configuration_from_a_peer(self) -> None:
        system = live.shared()
        peer = live.address_of(system.routers[0].port)
        system.log.is_down = True
        try:
            program = live.in_reactor(system.add_router, "late", (peer,))
            for _ in range(TRIES):
                if program.board.phase.is_ready:
                    break
                time.sleep(PAUSE_S)
            client = openai.OpenAI(
                base_url=f"http://{live.address_of(program.port)}/v1",
                api_key=live.TOKEN,
                max_retries=0,
            )
            answer = client.completions.create(
                model="polar", prompt="late", max_tokens=2
            )
        finally:
            system.log.is_down = False
        expected = engine_model.expected_answer("late", 2)
        self.assertEqual(expected, answer.choices[0].text)
        self.assertEqual(system.routers[0].board.state, program.board.state)
