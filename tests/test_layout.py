"""Tests of the package layout: imports between modules, and module length."""

import ast
import re
from pathlib import Path

from testtools import TestCase

import sequoiawind

PACKAGE = Path(sequoiawind.__file__).parent
DECISION_MODULES = (
    "admission",
    "agent",
    "cache_index",
    "chunk_order",
    "claimant",
    "claims",
    "config_fold",
    "config_follower",
    "cache_watcher",
    "exchange",
    "exchange_attempt",
    "feed_statement",
    "feed_sums",
    "fleet",
    "forward_agent",
    "forward_attempt",
    "forward_plan",
    "forwarder",
    "forwarding",
    "freshness",
    "prompt_cache",
    "record_follower",
    "repeat_window",
    "request_execution",
    "rollout",
    "stream_move",
    "target_choice",
    "keys",
    "limits",
    "load/account_bucket",
    "load/account_charge",
    "load/account_limits",
    "load/account_work",
    "load/admission",
    "load/controller",
    "load/estimate_error",
    "load/fair_order",
    "load/overload",
    "load/pace_sums",
    "load/probing",
    "load/return_times",
    "load/target_pace",
    "load/waiting",
    "load/work_model",
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
MAX_ADAPTER_LINES = 250
# Patterns of the platform's names, which only its adapter may contain.
PLATFORM_NAMES = (
    r"(?i)[^-]sequoiawind-(attempt|deadline|tenant|cache-salt|expect|server)",
    r"/api/",
    r"keyed\.(op|servers|status)",
    r"traffic_split|boot_epoch|api_keys|path_prefix|kv_store_addr",
    r"\btenants?\b|\bzones?\b",
)


class LayoutTest(TestCase):
    """Decision code is free of transports and adapters; modules are short."""

    def test_decisions_import_no_transport(self) -> None:
        for name in DECISION_MODULES:
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

    def test_platform_names_stay_in_the_adapter(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            if file.parent.name == "platform":
                continue
            text = file.read_text(encoding="utf-8")
            for pattern in PLATFORM_NAMES:
                found = re.search(pattern, text)
                self.assertEqual(None, found, (file.name, pattern))

    def test_adapter_is_short_without_timers_or_randomness(self) -> None:
        for file in (PACKAGE / "platform").glob("*.py"):
            text = file.read_text(encoding="utf-8")
            lines = len(text.splitlines())
            self.assertTrue(lines <= MAX_ADAPTER_LINES, (file.name, lines))
            for word in ("callLater", "random", "sleep"):
                self.assertNotIn(word, text, file.name)

    def test_decisions_under_load_read_no_clock(self) -> None:
        # The time of day jumps on some VMs, and tests set the time.
        for file in (PACKAGE / "load").glob("*.py"):
            for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Import):
                    names = {alias.name for alias in node.names}
                    self.assertFalse(names & {"time", "datetime"}, file.name)
                elif isinstance(node, ast.ImportFrom):
                    clocks = {"time", "datetime", "sequoiawind.freshness"}
                    self.assertNotIn(node.module, clocks, file.name)

    def test_decisions_import_no_adapter(self) -> None:
        for name in DECISION_MODULES:
            text = (PACKAGE / f"{name}.py").read_text(encoding="utf-8")
            self.assertNotIn("sequoiawind.platform", text, name)
