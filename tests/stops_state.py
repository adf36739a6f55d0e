"""What a soak of stopping routers has done, and the rules that it checks."""

import random
import time
from asyncio import Event
from asyncio.subprocess import Process
from collections import Counter
from contextlib import suppress

import attrs

from tests.platform_standin import Handler, Store, Target, configuration

ACCOUNTS = ("acme", "bolt", "crab")
# Until when an account's former neighbours may still be served beside it: the
# bound on revoked keys, and the time that a request may take to arrive.
ISOLATED_S = 4.0
LOW, HIGH = 2_000, 8_000
# A stream that is open at the end of a stop may be broken off if its target is
# at work in the last part of the grace, on a request that was sent within a
# time after SIGTERM.
LAST_SHARE = 1.0 / 6.0
SENT_S = 3.0


@attrs.define(kw_only=True, eq=False)
class Work:
    """What one target does for a request; times by the steady clock."""

    target: str
    began_s: float
    # When it ended, in seconds; infinite while it goes on.
    ended_s: float = float("inf")


@attrs.define(kw_only=True, eq=False)
class Soak:
    """What the processes and the operator have done, and what is wrong."""

    seed: int
    random: "random.Random" = attrs.field(init=False)
    store: Store = attrs.field(factory=Store)
    targets: list[Target] = attrs.field(factory=list)
    revision: int = 1
    limit: int = HIGH
    # Since when the limit on heads is what it is, and accounts are isolated.
    limit_s: float = 0.0
    isolated_s: dict[str, float] = attrs.field(factory=dict)
    # Account by salt and part of what engines have cached.
    parts: dict[tuple[str, str, str], str] = attrs.field(factory=dict)
    ran: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    ends_s: float = 0.0
    requests: int = 0
    processes: list[Process] = attrs.field(factory=list)
    # Ports of the routers that run, by number.
    ports: dict[int, int] = attrs.field(factory=dict)
    # When routers got SIGTERM, and the grace that they have, by port.
    stopped_s: dict[int, float] = attrs.field(factory=dict)
    graces_s: dict[int, float] = attrs.field(factory=dict)
    # What targets have done for requests, by id.
    works: dict[str, list["Work"]] = attrs.field(factory=dict)
    # Set while all routers are to stop.
    stop_all: Event = attrs.field(factory=Event)

    def __attrs_post_init__(self) -> None:
        """Seed the choices."""
        self.random = random.Random(f"stops-{self.seed}")

    def configure(self) -> None:
        """Write a configuration with the limits and accounts as they are."""
        self.revision += 1
        tenants = [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "isolated": name in self.isolated_s,
            }
            for name in ACCOUNTS
        ]
        self.store.put(
            "keyed.op",
            "config",
            {
                **configuration(self.revision),
                "tenants": tenants,
                "limits": {"max_header_bytes": self.limit},
            },
        )

    def change(self) -> None:
        """Change the limit on heads, or the isolation of an account."""
        now_s = time.monotonic()
        if self.random.random() < 0.5:
            self.limit = LOW if self.limit == HIGH else HIGH
            self.limit_s = now_s
            self.counts["limits changed"] += 1
        else:
            name = self.random.choice(ACCOUNTS)
            if self.isolated_s.pop(name, None) is None:
                self.isolated_s[name] = now_s
            self.counts["isolation changed"] += 1
        self.configure()

    def run_at(self, target: Target, call: Handler) -> None:
        """Take note of a request that runs at a target."""
        found = {name.lower(): value for name, value in call.headers.items()}
        self.ran[found["sequoiawind-attempt-id"]] += 1
        if "sequoiawind-prompt-prefix" not in found:
            return
        account = found["sequoiawind-tenant"]
        part = found["sequoiawind-prompt-prefix"].partition(":")[0]
        key = (target.id, found["sequoiawind-cache-salt"], part)
        maker = self.parts.setdefault(key, account)
        now_s = time.monotonic()
        for name in (maker, account) if maker != account else ():
            late_s = now_s - self.isolated_s.get(name, float("inf"))
            self.check(late_s <= ISOLATED_S, f"WALL {maker} for {account}")
        self.counts["parts of others used"] += maker != account

    def may_break_off(self, sent: "Sent", port: int) -> bool:
        """Whether a router may break off a stream now, by the rule."""
        if time.monotonic() >= sent.began_s + sent.deadline_s:
            return True
        stopped_s = self.stopped_s.get(port, float("inf"))
        last_part_s = stopped_s + (1.0 - LAST_SHARE) * self.graces_s[port]
        works = self.works.get(sent.name, [])
        return (
            any(work.ended_s >= last_part_s for work in works)
            and sent.ended_s <= stopped_s + SENT_S
        )

    def check(self, holds: bool, text: str) -> None:
        """Note a violation unless a condition holds."""
        if not holds:
            self.violations.append(text)


@attrs.define(kw_only=True, eq=False)
class NotingTarget(Target):
    """A target that takes its time, and tells the soak what it runs."""

    soak: Soak
    random: "random.Random" = attrs.field(factory=lambda: random.Random(1))

    def run(self, call: Handler, body: bytes) -> None:
        """Run a request if it is meant for this target."""
        name = call.headers.get("Sequoiawind-Attempt-Id", "")
        work = Work(target=self.id, began_s=time.monotonic())
        if call.headers.get("Sequoiawind-Expect-Instance") == self.id:
            self.soak.run_at(self, call)
            self.soak.works.setdefault(name, []).append(work)
        time.sleep(self.random.choice((0.0, 0.0, 0.1, 0.5, 2.0, 5.0)))
        with suppress(ConnectionError):
            Target.run(self, call, body)
        work.ended_s = time.monotonic()


@attrs.define(kw_only=True, eq=False)
class Sent:
    """A request of a caller."""

    name: str
    route: str
    data: bytes
    head_bytes: int
    deadline_s: float
    # When its first byte was sent, and its last one, in seconds.
    began_s: float = 0.0
    ended_s: float = 0.0
