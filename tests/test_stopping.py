"""A daemon that stops lets the answers that it has begun leave first."""

import json
import socket
import threading
import time
import urllib.request
from collections.abc import Callable
from typing import Any
from unittest import mock

from expression import Ok
from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind import query, wire
from sequoiawind.admin import Admin
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.wire import Reply
from tests import live

# More than the kernel holds for a peer that does not read.
BODY = b"x" * 2_500_000
RECEIVE_BUFFER_B = 4096
TRIES = 1000
PAUSE_S = 0.01
WAIT_TIMEOUT_S = 20


def wait_until(condition: Callable[[], bool]) -> bool:
    """Return whether a condition in the reactor's thread comes true."""
    for _ in range(TRIES):
        if live.in_reactor(condition):
            return True
        time.sleep(PAUSE_S)
    return False


class StoppingTest(TestCase):
    """What a daemon counts as work in flight."""

    def test_answer_that_its_caller_has_not_read(self) -> None:
        system = live.shared()
        program = system.routers[0]
        self.assertTrue(wait_until(program.is_idle))
        large = Reply(
            status=200, content_type="a/b", body=wire.encode_body(BODY)
        )
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_B)
        sock.settimeout(WAIT_TIMEOUT_S)
        address = live.address_of(program.port)
        sock.connect((address.host, address.port))
        with sock, mock.patch.object(PlainModel, "reply", return_value=large):
            answered = self.count_ends(program)
            sock.sendall(
                b"GET /status/K7 HTTP/1.0\r\nAuthorization: Bearer "
                + live.TOKEN.encode()
                + b"\r\n\r\n"
            )
            self.assertTrue(wait_until(lambda: bool(answered)))
            self.assertFalse(live.in_reactor(program.is_idle))
            answer = b""
            while part := sock.recv(65_536):
                answer += part
        self.assertTrue(answer.endswith(BODY))
        self.assertTrue(wait_until(program.is_idle))

    def count_ends(self, program: Any) -> list[Any]:
        """Return a list that gets an entry at the end of each request."""
        ends: list[Any] = []
        patch = mock.patch.object(
            program.router, "on_end", lambda note, ended: ends.append(ended)
        )
        patch.start()
        self.addCleanup(patch.stop)
        return ends

    def test_statement_without_an_answer(self) -> None:
        system = live.shared()
        program = system.routers[0]
        running: Deferred[Any] = Deferred()
        asked = threading.Event()

        async def run(admin: Admin, text: str, operator: Any) -> Any:
            asked.set()
            return await running

        answers: list[int] = []

        def ask() -> None:
            request = urllib.request.Request(
                f"{system.url()}/admin/statements",
                data=json.dumps({"statement": "show targets"}).encode(),
                headers={"Authorization": f"Bearer {live.OPERATOR_TOKEN}"},
            )
            with urllib.request.urlopen(
                request, timeout=WAIT_TIMEOUT_S
            ) as reply:
                answers.append(reply.status)

        with mock.patch.object(Admin, "run", run):
            thread = threading.Thread(target=ask)
            thread.start()
            self.assertTrue(asked.wait(WAIT_TIMEOUT_S))
            is_idle = live.in_reactor(program.is_idle)
            live.in_reactor(
                running.callback,
                Ok(query.Answer(revision=1, expected=1, answered=1)),
            )
            thread.join()
        self.assertFalse(is_idle)
        self.assertEqual([200], answers)
        self.assertTrue(wait_until(program.is_idle))
