"""Whether requests need keys is configured, not read off the number of keys."""

import json
import random
from typing import Any

from testtools import TestCase

from sequoiawind import tokens
from sequoiawind.load.account_limits import AccountLimits
from sequoiawind.load.controller import LoadController
from sequoiawind.platform.configuration import decode_configuration
from sequoiawind.verdict import Reason, forwarded_status, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
# A configuration that does not name the client accounts at all.
ABSENT: Any = object()


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return an account as the operator writes it."""
    return {"name": name, "api_keys": list(keys), **fields}


def record(
    version: int, tenants: Any, public: bool = False, is_route: bool = True
) -> bytes:
    """Return the operator's record."""
    route = {
        "name": "read",
        "host": "h",
        "path_prefix": "/read/",
        "kind": "idempotent",
        "service": "app",
        "max_attempts": 3,
        "public": public,
    }
    fields = {
        "version": version,
        "routes": [route] if is_route else [],
        "services": [{"name": "app"}],
        "tenants": tenants,
    }
    if tenants is ABSENT:
        del fields["tenants"]
    return json.dumps(fields).encode()


class KeylessTest(TestCase):
    """No account has a key."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = ForwardRig()
        self.rig.add(target("t1"), target("t2"))
        self.version = 1

    def configure(self, tenants: Any, **fields: Any) -> None:
        """Put a newer configuration in force."""
        self.version += 1
        value = record(self.version, tenants, **fields)
        self.rig.configure(decode_configuration(value))

    def status(self, key: str) -> int:
        """Submit a request; return the status of a refusal, or 200."""
        failure = self.rig.submit("read", key=key).failure
        return 200 if failure is None else forwarded_status(failure)

    def test_no_key_is_good_once_the_last_one_is_revoked(self) -> None:
        # Guards against all requests being served without a key.
        first, last = tenant("a", "k1", "k2"), tenant("b", "k3")
        for tenants, good in (
            ([first, last], {"k1", "k2", "k3"}),
            ([tenant("a", "k2"), last], {"k2", "k3"}),
            ([tenant("a"), last], {"k3"}),
            ([tenant("a"), tenant("b")], set()),
            ([], set()),
            ([tenant("a", "k1"), tenant("b")], {"k1"}),
            ([tenant("a", "")], set()),
        ):
            self.configure(tenants)
            for key in ("k1", "k2", "k3", "never", ""):
                expected = 200 if key in good else 401
                self.assertEqual(expected, self.status(key), (tenants, key))

    def test_router_that_starts_without_any_key(self) -> None:
        for tenants in ([], [tenant("a")]):
            rig = ForwardRig()
            rig.add(target("t1"))
            rig.configure(decode_configuration(record(2, tenants)))
            failure = rig.submit("read", key="k1").failure
            assert failure is not None
            self.assertEqual(401, forwarded_status(failure))

    def test_public_routes_need_none(self) -> None:
        self.configure([tenant("a")], public=True)
        self.assertEqual([200, 200], [self.status(key) for key in ("k1", "")])

    def test_configuration_without_accounts_needs_none(self) -> None:
        self.configure(ABSENT)
        self.assertEqual([200, 200], [self.status(key) for key in ("k1", "")])
        self.configure([tenant("a")])
        self.assertEqual([401, 401], [self.status(key) for key in ("k1", "")])

    def begin(self, key: str) -> FakeCaller:
        """Submit a request that a target gets."""
        return self.rig.submit("read", key=key)

    def check_not_repeated(self, caller: FakeCaller) -> None:
        """Check that a request is not sent again when its target is lost."""
        sends = len(self.rig.port.sent)
        self.rig.port.sent[-1].sink.failed(LOST)
        self.assertEqual(sends, len(self.rig.port.sent))
        self.assertTrue(caller.failure)

    def test_request_is_not_repeated_with_the_last_key_revoked(self) -> None:
        # Guards against a repeat without an account.
        for is_route in (True, False):
            self.configure([tenant("a", "k1")])
            caller = self.begin("k1")
            self.configure([tenant("a")], is_route=is_route)
            self.check_not_repeated(caller)

    def test_request_is_not_repeated_once_its_route_needs_a_key(self) -> None:
        # Guards against an anonymous request that outlives what allowed it.
        for before, fields in (
            ([tenant("a", "k1")], {"public": True}),
            (ABSENT, {}),
        ):
            for key in ("", "never"):
                self.configure(before, **fields)
                caller = self.begin(key)
                self.configure([tenant("a", "k1")])
                self.check_not_repeated(caller)

    def test_request_of_a_route_that_is_gone_stays_anonymous(self) -> None:
        self.configure([tenant("a", "k1")], public=True)
        self.begin("")
        self.configure([tenant("a", "k1")], is_route=False)
        self.rig.port.sent[-1].sink.failed(LOST)
        self.assertEqual(2, len(self.rig.port.sent))

    def test_revoked_key_of_an_isolated_account_shares_nothing(self) -> None:
        # Guards against its request using the parts of other accounts on a
        # public route, while no account has a key.
        for tenants in ([tenant("a", isolated=True)], []):
            self.configure(tenants, public=True)
            forwarding = self.rig.forwarder.submit(
                self.rig.request("read", key="k1"), FakeCaller()
            )
            assert forwarding is not None
            scope = self.rig.forwarder.planner.cache_scope(forwarding.plan)
            state: Any = self.rig.board.state
            self.assertNotEqual(state.shared_scope, scope)

    def test_empty_key_has_no_holder(self) -> None:
        self.configure([tenant("a", "")])
        known = self.rig.board.accounts_by_digest
        self.assertIs(None, tokens.holder_of("", known))


class LimitTest(TestCase):
    """An account keeps its debt while it has no keys."""

    def test_account_whose_keys_return_gets_no_second_burst(self) -> None:
        limited = {"rate_per_s": 10.0, "burst": 100.0}
        limits = AccountLimits(
            age_clock=lambda: 0.0, random=random.Random(1), started_s=0.0
        )
        load = LoadController(limits=limits)
        spent = []
        for version, keys in enumerate((["k1"], [], ["k1"]), 1):
            value = record(version, [tenant("a", *keys, **limited)])
            state = decode_configuration(value)
            load.configured(state)
            for account in state.accounts.values():
                limit: Any = account
                while limits.admit(limit.limit, 1.0, 1.0) is None:
                    spent.append(version)
        self.assertEqual({1}, set(spent))
