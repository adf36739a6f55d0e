"""Short seeds of the soak run, and the layout of the modules."""

import ast
from pathlib import Path

from testtools import TestCase

from sequoiawind import soak

PACKAGE = Path(soak.__file__).parent
# Modules that decide; they may know the ports but no transport.
DECISIONS = (
    "admission",
    "agent",
    "cache_index",
    "chunk_order",
    "claimant",
    "claims",
    "config_fold",
    "config_follower",
    "exchange",
    "keys",
    "limits",
    "load_slots",
    "members",
    "placement",
    "placer",
    "retries",
    "router",
    "sharing",
)
TRANSPORTS = ("treq", "klein", "twisted.web", "sequoiawind.http", "socket")
MAX_LINES = 500


class SoakTest(TestCase):
    """No promise is broken under random faults."""

    def test_seeds(self) -> None:
        for seed in range(20):
            violations, counts = soak.run_seed(seed)
            self.assertEqual([], violations, f"seed {seed}")
            self.assertTrue(counts["told_done"] > 50, counts)


class LayoutTest(TestCase):
    """Decisions know no transport; modules stay small."""

    def test_decisions_import_no_transport(self) -> None:
        for name in DECISIONS:
            text = (PACKAGE / f"{name}.py").read_text(encoding="utf-8")
            for node in ast.walk(ast.parse(text)):
                names: list[str] = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ast.ImportFrom):
                    module = node.module or ""
                    names = [f"{module}.{alias.name}" for alias in node.names]
                for imported in names:
                    self.assertFalse(
                        imported.startswith(TRANSPORTS), (name, imported)
                    )

    def test_module_length(self) -> None:
        for file in PACKAGE.glob("*.py"):
            lines = len(file.read_text(encoding="utf-8").splitlines())
            self.assertTrue(lines <= MAX_LINES, (file.name, lines))
