"""The forwarding router as a process: settings, signals, refusals."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

SETTINGS = """
store = "127.0.0.1:{store}"

[node]
name = "n1"
ip = "127.0.0.1"
agent_port = {agent}
metrics_port = {metrics}

[entry]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"

[bounds]
revoke_ms = {revoke}
grace_s = {grace}

[closing]
linger_s = 3600
"""
# Timeout of each wait, in seconds; a wait ends as soon as its condition holds.
WAIT_TIMEOUT_S = 30.0


def free_ports(count: int) -> list[int]:
    """Return ports that no process listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


class RouterProcessTest(TestCase):
    """A router whose store cannot be reached."""

    def setUp(self) -> None:
        super().setUp()
        names = ("store", "agent", "metrics", "callers", "ready")
        self.ports = dict(zip(names, free_ports(5), strict=True))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "settings.toml"
        self.write(revoke=5000)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sequoiawind.forward_router_main"],
            stdout=subprocess.PIPE,
            env={**os.environ, "SEQUOIAWIND_CONFIG": str(self.file)},
        )
        self.addCleanup(self.end)
        self.wait_for("listening")

    def write(self, revoke: int, grace: float = 8.0) -> None:
        text = SETTINGS.format(**self.ports, revoke=revoke, grace=grace)
        self.file.write_text(text, encoding="utf-8")

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()

    def wait_for(self, event: str) -> dict[str, object]:
        """Read log lines up to the next one of an event, and return it."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            found: dict[str, object] = json.loads(line)
            if found["event"] == event:
                return found
        raise AssertionError(f"the process ended without {event!r}")

    def get(self, port: str, target: str) -> http.client.HTTPResponse:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[port], timeout=WAIT_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.request("GET", target)
        response = connection.getresponse()
        response.read()
        return response

    def test_refuses_as_not_run_and_is_not_ready(self) -> None:
        self.assertEqual(503, self.get("ready", "/api/ready").status)
        response = self.get("callers", "/a/b")
        self.assertEqual(503, response.status)
        self.assertTrue(float(response.headers["Retry-After"]) > 0.0)
        refused = self.wait_for("request refused")
        self.assertEqual("no_configuration", refused["reason"])
        self.assertEqual(200, self.get("metrics", "/metrics").status)

    def test_sighup_reloads_the_settings(self) -> None:
        self.write(revoke=4000)
        self.process.send_signal(signal.SIGHUP)
        line = self.wait_for("settings reloaded")
        self.assertEqual(
            (True, False), (line["bounds_changed"], line["restart_needed"])
        )
        self.file.write_text("no settings", encoding="utf-8")
        self.process.send_signal(signal.SIGHUP)
        self.wait_for("settings not reloaded")
        self.assertEqual(503, self.get("callers", "/a/b").status)

    def test_notices_settings_that_change_without_a_signal(self) -> None:
        self.write(revoke=4000)
        line = self.wait_for("settings reloaded")
        self.assertEqual(True, line["bounds_changed"])

    def test_exits_with_status_0_on_sigterm(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.wait_for("stopped")
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while self.process.poll() is None and time.monotonic() < deadline_s:
            time.sleep(0.01)
        self.assertEqual(0, self.process.returncode)

    def test_stop_waits_for_no_refused_caller_beyond_its_time(self) -> None:
        self.write(revoke=5000, grace=1.0)
        self.process.send_signal(signal.SIGHUP)
        self.wait_for("settings reloaded")
        with socket.create_connection(
            ("127.0.0.1", self.ports["callers"]), timeout=WAIT_TIMEOUT_S
        ) as sock:
            sock.sendall(b"malformed\r\n\r\n")
            answer = b""
            while part := sock.recv(65536):
                answer += part
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
            # The caller keeps its side open.
            self.process.send_signal(signal.SIGTERM)
            self.assertEqual(0, self.process.wait(timeout=WAIT_TIMEOUT_S))
