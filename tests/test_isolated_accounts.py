"""Accounts that become isolated share no cached part with any other account.

Guards against parts that an account's requests cached before it became
isolated being used for other accounts, and the other way round.
"""

import json
from typing import Any

import attrs
from expression import Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardState
from sequoiawind.platform.configuration import decode_configuration
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.scope_changes import ScopeChanges
from sequoiawind.verdict import Reason, Verdict, may_have_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, Sent, target

ACCOUNTS = ("a", "b", "c")
SHARED = PromptPart(id="5c1e", tokens=800)
NO_ONE: frozenset[str] = frozenset()
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")


def record(version: int, isolated: str = "", **changed: Any) -> bytes:
    """Return the operator's record in which some accounts are isolated."""
    route = {
        "name": "draft",
        "host": "h",
        "path_prefix": "/draft/",
        "kind": "streaming",
        "service": "llm",
        "max_attempts": 3,
        "resumable": True,
        "timeout_ms": 20_000,
    }
    engine = {
        "kv_capacity_tokens": 90_000,
        "models": [{"name": "m"}],
        "moves": True,
    }
    tenants = [
        {
            "name": name,
            "api_keys": [f"key-{name}"],
            "isolated": name in isolated,
        }
        for name in ACCOUNTS
    ]
    fields = {
        "version": version,
        "routes": [route],
        "services": [{"name": "llm", "engine": engine}],
        "tenants": tenants,
    }
    return json.dumps({**fields, **changed}).encode()


@attrs.define(kw_only=True, eq=False)
class Caches:
    """What the targets of all routers have cached, and for whom."""

    # Accounts by target, salt and part.
    makers: dict[tuple[str, str, str], set[str]] = attrs.field(factory=dict)

    def read(self, sent: Sent) -> set[str]:
        """Read a prompt; return the accounts whose shared part it uses."""
        order = sent.order
        name = order.source.partition(":")[0] or order.target.name
        key = (order.target.name, order.salt, SHARED.id)
        found = self.makers.get(key) or self.makers.get((name, *key[1:]))
        self.makers[key] = found or {order.account}
        return found or set()


@attrs.define(kw_only=True, eq=False)
class Router:
    """A router before two targets that others use too."""

    caches: Caches
    rig: ForwardRig = attrs.field(factory=ForwardRig)

    def __attrs_post_init__(self) -> None:
        """Register the targets."""
        self.rig.add(target("e1", "llm"), target("e2", "llm"))

    def configure(self, version: int, isolated: str = "", **f: Any) -> None:
        """Put a configuration in force."""
        self.rig.configure(decode_configuration(record(version, isolated, **f)))

    def submit(self, account: str, **fields: Any) -> FakeCaller:
        """Submit a request with the part that all requests share."""
        own = PromptPart(id=f"own-{account}", tokens=400)
        prompt = Prompt(
            model="m", tokens=1_200, max_tokens=9, parts=(SHARED, own)
        )
        key = f"key-{account}" if account else ""
        return self.rig.submit(
            "draft", **{"key": key, "prompt": prompt, **fields}
        )

    def ask(self, account: str, **fields: Any) -> set[str]:
        """Let a request run; return the accounts whose part it uses."""
        before = len(self.rig.port.sent)
        self.submit(account, **fields)
        (sent,) = self.rig.port.sent[before:]
        used = self.caches.read(sent)
        sent.answer(200, b"id: 1\ndata: x\n\n")
        return used


class IsolationTest(TestCase):
    """Changes of the accounts that are isolated."""

    def setUp(self) -> None:
        super().setUp()
        self.caches = Caches()
        self.router = Router(caches=self.caches)

    def test_parts_made_before_the_isolation(self) -> None:
        self.router.configure(7)
        self.assertEqual(NO_ONE, self.router.ask("a"))
        self.assertEqual({"a"}, self.router.ask("b"))
        self.router.configure(9, "a")
        for account in ("b", "a", "c", "b"):
            used = self.router.ask(account)
            self.assertFalse("a" in used | {account} and used - {account})

    def test_isolation_that_changes_again_and_again(self) -> None:
        for steps in (
            ("", "a", "", "a"),
            ("a", "", "a", "ab", "b", "a", ""),
            ("ab", "abc", "a", "bc", "", "abc"),
            ("", "a", "b", "c", "a"),
        ):
            caches = Caches()
            routers = [Router(caches=caches)]
            for number, isolated in enumerate(steps):
                # One that starts late, or has restarted, knows no more.
                routers.append(Router(caches=caches))
                for router in routers:
                    router.configure(10 * number + 10, isolated)
                for account in (*ACCOUNTS, *reversed(ACCOUNTS)):
                    for router in routers:
                        used = router.ask(account)
                        kept_apart = set(isolated) & (used | {account})
                        self.assertFalse(
                            kept_apart and used - {account}, (steps, number)
                        )

    def test_others_go_on_sharing(self) -> None:
        for number, isolated in enumerate(("", "a", "", "a")):
            self.router.configure(number + 10, isolated)
            self.router.ask("b")
            other = Router(caches=self.caches)
            other.configure(number + 10, isolated)
            self.assertIn("b", other.ask("c"), isolated)
            self.router.ask("a")
            self.assertEqual({isolated or "b"}, self.router.ask("a"))

    def test_isolated_account_loses_all_keys(self) -> None:
        self.router.configure(7, "a")
        self.router.ask("b")
        tenants = [
            {"name": "a", "api_keys": [], "isolated": True},
            {"name": "b", "api_keys": ["key-b"]},
            {"name": "c", "api_keys": ["key-c"]},
        ]
        self.router.configure(8, tenants=tenants)
        # The accounts that share are the same as before.
        self.assertEqual({"b"}, self.router.ask("c"))

    def test_request_that_waits_for_a_target(self) -> None:
        self.router.configure(7)
        self.router.ask("a")
        fleet, clock = self.router.rig.fleet, self.router.rig.clock
        for name in ("e1", "e2"):
            fleet.record_status(
                name, TargetStatus(is_loading=True), clock.seconds()
            )
        before = len(self.router.rig.port.sent)
        self.router.submit("b")
        self.assertEqual(before, len(self.router.rig.port.sent))
        self.router.configure(9, "a")
        for name in ("e1", "e2"):
            fleet.record_status(name, TargetStatus(), clock.seconds())
        self.router.rig.forwarder.waiting.serve()
        self.router.rig.advance(0.3)
        self.assertEqual(
            NO_ONE, self.caches.read(self.router.rig.port.sent[before])
        )

    def test_request_that_is_sent_again_after_its_route_has_gone(self) -> None:
        self.router.configure(7)
        self.router.ask("b")
        self.router.submit("a")
        first = self.router.rig.port.sent[-1]
        self.router.configure(9, "a", routes=[])
        first.sink.failed(LOST)
        second = self.router.rig.port.sent[-1]
        self.assertIsNot(first, second)
        self.assertEqual(NO_ONE, self.caches.read(second))

    def test_run_that_is_moved(self) -> None:
        self.router.configure(7)
        self.router.ask("a")
        self.router.submit("b")
        port, fleet = self.router.rig.port, self.router.rig.fleet
        first = port.sent[-1]
        first.begin(200, b"id: 1\ndata: x\n\n")
        self.router.configure(9, "a")
        name = first.order.target.name
        fleet.record_status(name, TargetStatus(is_loading=True), 0.0)
        self.router.rig.forwarder.status_changed(name)
        port.move_answers[-1].callback(Ok("ip:1/h"))
        self.router.rig.advance(0.1)
        self.assertEqual("ip:1/h", port.sent[-1].order.moved_from)
        self.assertNotEqual(first.order.salt, port.sent[-1].order.salt)

    def test_key_that_passes_to_another_account(self) -> None:
        self.router.configure(7)
        self.router.submit("a")
        first = self.router.rig.port.sent[-1]
        tenants = [
            {"name": "b", "api_keys": ["key-a"], "isolated": True},
            {"name": "c", "api_keys": ["key-c"]},
        ]
        self.router.configure(9, routes=[], tenants=tenants)
        first.sink.failed(LOST)
        self.assertEqual("b", self.router.rig.port.sent[-1].order.account)

    def test_public_route_while_the_configuration_may_be_old(self) -> None:
        public = json.loads(record(1))["routes"][0] | {"public": True}
        self.router.configure(7, "a", routes=[public])
        self.router.ask("b")
        # Nobody confirms the configuration any more.
        self.router.rig.clock.advance(10.0)
        self.assertEqual(NO_ONE, self.router.ask("a"))
        self.assertEqual(NO_ONE, self.router.ask("b"))
        self.assertEqual(NO_ONE, self.router.ask(""))
        self.assertEqual({""}, self.router.ask("a"))


class WaitingRequestTest(TestCase):
    """Requests that wait at targets while the isolated accounts change."""

    def begin(self, kind: str, isolated: str = "a") -> tuple[Router, Sent]:
        """Send a request of b; isolate an account, and let time pass."""
        router = Router(caches=Caches())
        scopes = ScopeChanges(
            forwarder=router.rig.forwarder,
            clock=router.rig.clock,
            in_force_s=lambda: 2.0,
        )
        route = json.loads(record(1))["routes"][0]
        routes = [route | {"resumable": kind == "draft"}]
        for version, accounts in ((7, ""), (9, isolated)):
            if version == 9:
                router.ask("a")
                self.caller = router.submit("b")
                sent = router.rig.port.sent[-1]
                if kind == "begun":
                    sent.begin(200, b"id: 1\ndata: x\n\n")
            router.configure(version, accounts, routes=routes)
            state = router.rig.board.state
            assert isinstance(state, ForwardState)
            scopes.configured(state)
        router.rig.advance(1.75)
        self.assertFalse(sent.call.is_cancelled)
        router.rig.advance(0.1)
        return router, sent

    def test_request_that_may_be_repeated_is_sent_again(self) -> None:
        router, sent = self.begin("draft")
        self.assertTrue(sent.call.is_cancelled)
        again = router.rig.port.sent[-1]
        self.assertIsNot(sent, again)
        self.assertNotEqual(sent.order.salt, again.order.salt)
        again.answer(200, b"id: 1\ndata: x\n\n")
        self.assertTrue(self.caller.is_ended)

    def test_request_that_may_run_once_only_is_ended(self) -> None:
        router, sent = self.begin("brief")
        self.assertTrue(sent.call.is_cancelled)
        self.assertIs(sent, router.rig.port.sent[-1])
        assert self.caller.failure is not None
        self.assertEqual(Reason.SCOPE_CHANGED, self.caller.failure.reason)
        self.assertEqual(Verdict.MAY_HAVE_RUN, self.caller.failure.verdict)

    def test_answers_that_have_begun_go_on(self) -> None:
        for kind, isolated in (("begun", "a"), ("brief", ""), ("draft", "")):
            router, sent = self.begin(kind, isolated)
            self.assertFalse(sent.call.is_cancelled)
            self.assertIs(sent, router.rig.port.sent[-1])
