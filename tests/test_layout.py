"""How the package is laid out: who imports whom, and module length."""

import ast
from pathlib import Path

from testtools import TestCase

import sequoiawind

PACKAGE = Path(sequoiawind.__file__).parent
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
        for file in PACKAGE.rglob("*.py"):
            lines = len(file.read_text(encoding="utf-8").splitlines())
            self.assertTrue(lines <= MAX_LINES, (file.name, lines))

    def test_product_imports_no_lab(self) -> None:
        for file in PACKAGE.glob("*.py"):
            text = file.read_text(encoding="utf-8")
            self.assertNotIn("sequoiawind.lab", text, file.name)

    def test_adapter_imports_no_lab(self) -> None:
        for file in (PACKAGE / "platform").glob("*.py"):
            text = file.read_text(encoding="utf-8")
            self.assertNotIn("sequoiawind.lab", text, file.name)
