"""SIGHUP while a daemon starts, before it can handle the signal.

Guards against daemons that end by themselves as the settings file changes while
they still import their modules.
"""

import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from tests.test_forward_processes import SETTINGS, free_ports

WAIT_TIMEOUT_S = 30.0
SIGNALS = 20
MODULES = (
    "forward_router_main",
    "forward_agent_main",
    "router_main",
    "agent_main",
)


def handles(process: subprocess.Popen[bytes], name: str) -> bool:
    """Whether a process ignores or catches SIGHUP.

    Args:
      process: The process.
      name: Its set of signals in the kernel: SigIgn or SigCgt.
    """
    text = Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(rf"{name}:\s*([0-9a-f]+)", text)
    assert found is not None
    return bool(int(found[1], 16) >> (signal.SIGHUP - 1) & 1)


class StartTest(TestCase):
    """Each program, from its start on."""

    def start(self, module: str, settings: str) -> subprocess.Popen[bytes]:
        """Start a program, as a shell would that ignores no signal."""
        process = subprocess.Popen(
            [sys.executable, "-m", f"sequoiawind.{module}", settings],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env=dict(os.environ),
            preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_until_prepared(self, process: subprocess.Popen[bytes]) -> None:
        """Wait until SIGHUP does not end a process."""
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while not handles(process, "SigIgn"):
            self.assertFalse(handles(process, "SigCgt"))
            self.assertTrue(time.monotonic() < ends_s)
            time.sleep(0.001)

    def test_programs_are_prepared_before_their_imports(self) -> None:
        for module in MODULES:
            # Without its settings file a program ends after its imports.
            process = self.start(module, "no-such-file")
            self.wait_until_prepared(process)
            process.send_signal(signal.SIGHUP)
            self.assertEqual(2, process.wait(WAIT_TIMEOUT_S), module)

    def test_router_that_gets_many_goes_on(self) -> None:
        names = ("store", "agent", "metrics", "callers", "ready")
        ports = dict(zip(names, free_ports(5), strict=True))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / "settings.toml"
        file.write_text(SETTINGS.format(**ports, revoke=5000, grace=8.0))
        process = self.start("forward_router_main", str(file))
        self.wait_until_prepared(process)
        sent = 0
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while sent < SIGNALS or not handles(process, "SigCgt"):
            process.send_signal(signal.SIGHUP)
            sent += 1
            time.sleep(0.02)
            self.assertIs(None, process.poll())
            self.assertTrue(time.monotonic() < ends_s)
