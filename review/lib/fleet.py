"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from lib import http

ROOT = Path(__file__).resolve().parents[2]
# What the platform renders from the deploy templates, by site.  The memory is
# that of the site's smallest `front` machine.
SITES = {
    "nordlys-ops": {
        "memory_mb": 150,
        "max_fds": 4100,
        "in_force_ms": 2000,
        "drain_ms": 2000,
        "settle_ms": 3000,
        "weights_ms": 6000,
        "repeat_allowance": 54,
    },
    "binario-sicula-grown": {
        "memory_mb": 136,
        "max_fds": 1638,
        "in_force_ms": 3000,
        "drain_ms": 3000,
        "settle_ms": 4000,
        "weights_ms": 12000,
        "repeat_allowance": 84,
    },
}
BOUNDS = """
[bounds]
revoke_ms = 5000
in_force_ms = {in_force_ms}
drain_ms = {drain_ms}
grace_s = 8
settle_ms = {settle_ms}
weights_ms = {weights_ms}
repeat_ratio = 0.2
repeat_allowance = {repeat_allowance}
repeat_window_s = 10
"""
ROUTER = """store = "{store}"

[node]
name = "{name}"
ip = "{ip}"
failure_domain = "{zone}"
agent_port = {agent_port}
metrics_port = {metrics_port}

[entry]
callers = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
{bounds}
[load]
account_limits = true
pace = true
admission = true
fairness = true

[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}

[lease]
lease_ms = 3000
partitions = 16
"""
AGENT = """target = "{target}"
store = "{store}"

[node]
name = "{name}"
ip = "{ip}"
failure_domain = "{zone}"
agent_port = {agent_port}
metrics_port = {metrics_port}
{bounds}"""


def free_port() -> int:
    """Return a TCP port that is free on the loopback addresses."""
    with socket.socket() as found:
        found.bind(("0.0.0.0", 0))
        return int(found.getsockname()[1])


class Program:
    """One process of the project."""

    def __init__(
        self, *, role: str, name: str, settings: str, folder: Path
    ) -> None:
        """Write the settings of a process that is not started yet."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"][role]["run"].split(" ")
        self.name = name
        self.file = folder / f"{name}.toml"
        self.file.write_text(settings)
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        names = ("PATH", "HOME", "LANG")
        variables = {key: os.environ[key] for key in names if key in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["SEQUOIAWIND_CONFIG"] = str(self.file)
        command = [sys.executable, *self.command[1:]]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """The programs of one small deployment; a context manager."""

    def __init__(self, site: str) -> None:
        """Choose ports and make a folder.

        Args:
          site: The site whose bounds and machines are used.
        """
        self.site = SITES[site]
        self.bounds = BOUNDS.format(**self.site)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.programs: list[Program] = []
        self.agent_port = free_port()
        self.metrics_port = free_port()
        self.front_port = free_port()
        self.ready_port = free_port()

    def __enter__(self) -> "Fleet":
        """Return the fleet; SIGTERM also ends its processes."""
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes and remove the folder."""
        for program in self.programs:
            program.end()
        self.folder.cleanup()

    def router(
        self, name: str, ip: str, store: str, zone: str = "zone-a"
    ) -> Program:
        """Return a router that is not started yet."""
        settings = ROUTER.format(
            store=store,
            name=name,
            ip=ip,
            zone=zone,
            agent_port=self.agent_port,
            metrics_port=self.metrics_port,
            front_port=self.front_port,
            ready_port=self.ready_port,
            memory_mb=self.site["memory_mb"],
            max_fds=self.site["max_fds"],
            bounds=self.bounds,
        )
        return self.add("router", name, settings)

    def agent(
        self, name: str, ip: str, store: str, target: str, zone: str = "zone-a"
    ) -> Program:
        """Return an agent that is not started yet."""
        settings = AGENT.format(
            target=target,
            store=store,
            name=name,
            ip=ip,
            zone=zone,
            agent_port=self.agent_port,
            metrics_port=self.metrics_port,
            bounds=self.bounds,
        )
        return self.add("agent", name, settings)

    def add(self, role: str, name: str, settings: str) -> Program:
        """Add a process."""
        folder = Path(self.folder.name)
        program = Program(
            role=role, name=name, settings=settings, folder=folder
        )
        self.programs.append(program)
        return program

    async def wait_ready(self, ip: str, timeout_s: float = 20.0) -> bool:
        """Wait until a router reports that it is ready."""
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            if await self.is_ready(ip):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, ip: str) -> bool:
        """Return what a router answers to the balancer's check."""
        try:
            reader, writer = await asyncio.open_connection(ip, self.ready_port)
        except OSError:
            return False
        writer.write(http.request("GET", "/api/ready", {"Host": "ready"}))
        try:
            reply = await asyncio.wait_for(http.read_message(reader), 1.0)
        except TimeoutError:
            reply = None
        writer.close()
        return reply is not None and reply.status == 200
