"""Processes that are killed, suspended or terminated under load.

The stand-in of the plain service counts how often each key was executed.  No
check depends on timing: each waits for a condition, with a bounded number of
tries.
"""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from testtools import TestCase

from sequoiawind import config_fold, defaults, keys
from sequoiawind.commands import Create
from tests import live

TRIES = 300
PAUSE_S = 0.05
BIN = Path(sys.executable).parent


def free_port() -> int:
    """Return a port that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def call(
    url: str, body: object = None, headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Send a request; status 0 if the connection failed or broke."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=20) as reply:
            return reply.status, dict(reply.headers), reply.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except OSError:
        return 0, {}, b""


class ProcessTest(TestCase):
    """Two routers, two agents, one plain service, one engine, one log.

    The agents are `ap` for the plain service and `ae` for the engine.
    """

    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(self.useTemporaryFolder())
        self.ports = {
            name: free_port()
            for name in ("log", "plain", "engine", "ap", "ae", "r0", "r1")
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addCleanup(self.stop_all)
        self.start_all()

    def useTemporaryFolder(self) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    def start(self, name: str, program: str, *args: str) -> None:
        self.processes[name] = subprocess.Popen(
            [str(BIN / f"sequoiawind-{program}"), *args],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def stop_all(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def settings(self, name: str, head: str) -> str:
        file = self.folder / f"{name}.toml"
        others = [other for other in ("r0", "r1") if other != name]
        peers = ", ".join(f'"{self.address(other)}"' for other in others)
        file.write_text(
            f'{head}\nname = "{name}"\nlisten = "{self.address(name)}"\n'
            f'[platform]\nlog = "{self.address("log")}"\n'
            f'[peers]\nsecret = "{live.SECRET}"\nrouters = [{peers}]\n'
            '[logs]\nlevel = "error"\n',
            encoding="utf-8",
        )
        return str(file)

    def start_router(self, name: str) -> None:
        head = "[router]\nbalancer_wait_s = 0.2"
        self.start(name, "router", self.settings(name, head))

    def start_all(self) -> None:
        for role in ("log", "plain", "engine"):
            self.start(role, "standin", role, "--listen", self.address(role))
        commands = live.base_commands()
        for name, target, service, pool in (
            ("ap", "plain", "plain", "booking"),
            ("ae", "engine", "engine", "briefing"),
        ):
            fields = {"pool": pool, "agent": self.address(name)}
            commands.append(
                Create(table="targets", name=target, fields=dict(fields))
            )
            head = (
                f'[agent]\ntarget = "{target}"\nservice = "{service}"\n'
                f'target_address = "{self.address(target)}"'
            )
            self.start(name, "agent", self.settings(name, head))
        records = [
            config_fold.make_record(f"c{number}", "boot", command)
            for number, command in enumerate(commands)
        ]
        stream = f"http://{self.address('log')}/streams/"
        stream += f"{defaults.CONFIG_STREAM}/records"
        self.wait(lambda: call(stream, {"records": records})[0] == 200)
        for name in ("r0", "r1"):
            self.start_router(name)
        for name in ("r0", "r1", "ap", "ae"):
            self.wait_ready(name)

    def wait_ready(self, name: str) -> None:
        url = f"http://{self.address(name)}/readyz"
        self.wait(lambda: call(url)[0] == 200)

    def wait(self, condition: object) -> None:
        for _ in range(TRIES):
            if condition():
                return
            time.sleep(PAUSE_S)
        self.fail("the condition was not met in time")

    def book(self, router: str, key: str) -> tuple[int, dict[str, str], bytes]:
        return call(
            f"http://{self.address(router)}/bookings/x",
            {"litres": 1},
            {
                "Authorization": f"Bearer {live.TOKEN}",
                "Idempotency-Key": key,
                "Content-Type": "application/json",
            },
        )

    def prompt(self, router: str, tokens: int) -> tuple[int, bytes]:
        status, _, body = call(
            f"http://{self.address(router)}/v1/completions",
            {"model": "polar", "prompt": "x", "max_tokens": tokens},
            {"Authorization": f"Bearer {live.TOKEN}"},
        )
        return status, body

    def executions(self) -> dict[str, int]:
        url = f"http://{self.address('plain')}/executions"
        counts: dict[str, int] = json.loads(call(url)[2])["by_key"]
        return counts

    def test_kill_and_stop_under_load(self) -> None:
        """No booking runs twice if a router is killed, an agent suspended."""
        booking_keys = [
            keys.make_key(time.time(), number) for number in range(60)
        ]
        answers: dict[str, tuple[int, str]] = {}

        def book_all(router: str) -> None:
            for key in booking_keys:
                status, headers, _ = self.book(router, key)
                verdict = headers.get("X-Sequoiawind-Verdict", "")
                if status:
                    answers[f"{router}/{key}"] = (status, verdict)

        threads = [
            threading.Thread(target=book_all, args=(router,))
            for router in ("r0", "r1")
        ]
        for thread in threads:
            thread.start()
        self.wait(lambda: len(answers) > 20)
        self.processes["r0"].kill()
        self.processes["r0"].wait()
        self.processes["ap"].send_signal(signal.SIGSTOP)
        self.start_router("r0")
        self.wait_ready("r0")
        self.processes["ap"].send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        counts = self.executions()
        self.assertEqual({1}, set(counts.values()))
        for name, (status, verdict) in answers.items():
            key = f"nordlys/{name.split('/')[1]}"
            if status == 200:
                self.assertEqual("done", verdict)
                self.assertEqual(1, counts.get(key, 0))

    def test_graceful_shutdown_completes_requests(self) -> None:
        """Requests in flight at SIGTERM are completed; the processes exit."""
        results: list[tuple[int, bytes]] = []
        threads = [
            threading.Thread(
                target=lambda: results.append(self.prompt("r0", 400))
            )
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        metrics = f"http://{self.address('ae')}/metrics"
        self.wait(lambda: b"sequoiawind_agent_running 8.0" in call(metrics)[2])
        for name in ("r0", "ae"):
            self.processes[name].send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual([200] * 8, [status for status, _ in results])
        for _, body in results:
            usage = json.loads(body)["usage"]
            self.assertEqual(400, usage["completion_tokens"])
        for name in ("r0", "ae"):
            self.wait(lambda name=name: self.processes[name].poll() == 0)
