"""A soak of routers as processes: stops and changes beside kept connections.

Callers use their connections until the process is gone, send some requests in
halves and some pipelined.  Meanwhile routers get SIGTERM and SIGHUP, one after
the other and both at once, are started again, and the operator raises and
lowers limits and isolates accounts.  By hand: `python -m tests.soak_of_stops
FIRST_SEED COUNT SECONDS`.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack, suppress
from pathlib import Path

import attrs

from tests.platform_standin import SEAL, Handler, Store, Target, configuration
from tests.test_forward_processes import free_ports

ROUTERS = 2
CALLERS = 10
ACCOUNTS = ("acme", "bolt", "crab")
# What the settings state; the soak kills a process only much later, so that a
# busy machine is no fault.
GRACE_S = 4.0
KILL_S = 30.0
# Time in which a router must be ready, for the same reason.
START_S = 30.0
IN_FORCE_S = 1.5
# Until when an account's former neighbours may still be served beside it: the
# bound on revoked keys, and the time that a request may take to arrive.
ISOLATED_S = 4.0
SMALL_HEAD, LARGE_HEAD = 600, 6_000
LOW, HIGH = 2_000, 8_000
SETTINGS = """
store = "{store}"
[node]
name = "{name}"
ip = "127.0.0.1"
agent_port = {agent}
metrics_port = {metrics}
[bounds]
revoke_ms = 3000
in_force_ms = 1500
grace_s = {grace}
[entry]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
"""


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
    processes: list[asyncio.subprocess.Process] = attrs.field(factory=list)
    # Ports of the routers that run, by number.
    ports: dict[int, int] = attrs.field(factory=dict)

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
        if call.headers.get("Sequoiawind-Expect-Instance") == self.id:
            self.soak.run_at(self, call)
        time.sleep(self.random.choice((0.0, 0.0, 0.1, 0.5, 2.0, 5.0)))
        with suppress(ConnectionError):
            Target.run(self, call, body)


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller, with a connection that it keeps."""

    soak: Soak
    random: "random.Random"

    def request(self, is_late: bool) -> tuple[str, str, bytes]:
        """Return a request: its id, its route, and its bytes.

        Args:
          is_late: Whether it is sent later, maybe under a lower limit.
        """
        soak = self.soak
        soak.requests += 1
        name = f"q{soak.requests}"
        route = self.random.choice(("book", "read", "brief", "draft"))
        since_s = time.monotonic() - soak.limit_s
        is_raised = soak.limit == HIGH and since_s > IN_FORCE_S + 0.5
        is_large = is_raised and not is_late
        lines = [
            f"POST /{route}/x HTTP/1.1",
            "Host: h.example",
            f"Authorization: Token key-{self.random.choice(ACCOUNTS)}",
            f"Sequoiawind-Attempt-Id: {name}",
            f"Sequoiawind-Deadline-Ms: {self.random.choice((1500, 6000))}",
            f"X-Trace: {'t' * (LARGE_HEAD if is_large else SMALL_HEAD)}",
            "Content-Length: 4",
        ]
        if route in ("brief", "draft"):
            lines += [
                "Sequoiawind-Model: m",
                "Sequoiawind-Token-Count: 100,10",
                f"Sequoiawind-Prompt-Prefix: aa:80,{soak.requests:x}:20",
            ]
        return name, route, "\r\n".join([*lines, "", "body"]).encode()

    async def run(self) -> None:
        """Send requests until the end, on new connections as need be."""
        soak = self.soak
        while time.monotonic() < soak.ends_s:
            port = self.random.choice(list(soak.ports.values()) or [0])
            try:
                pair = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            while time.monotonic() < soak.ends_s and await self.use(*pair):
                await asyncio.sleep(self.random.choice((0.0, 0.2, 1.0)))
            pair[1].close()

    async def use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request or two; return whether the connection is kept."""
        cut = self.random.choice((0, 0, 30, 300, 700))
        sent = [self.request(is_late=False)]
        if self.random.random() < 0.2:
            sent.append(self.request(is_late=cut > 0))
        data = b"".join(item[2] for item in sent)
        started = time.monotonic()
        try:
            if cut:
                writer.write(data[:cut])
                await writer.drain()
                await asyncio.sleep(self.random.uniform(0.0, 2.5))
            writer.write(data[cut:])
            await writer.drain()
        except ConnectionError:
            return False
        if time.monotonic() - started > 2.9:
            # It may have met the time allowed for a head.
            return False
        for number, (name, route, _) in enumerate(sent):
            place = f"place {number}, cut {cut}, {len(data)} bytes"
            is_kept = await self.answered(reader, name, route, place)
            if not is_kept:
                for later, _, _ in sent[number + 1 :]:
                    self.soak.check(not self.soak.ran[later], f"LOST {later}")
                return False
        return True

    async def answered(
        self, reader: asyncio.StreamReader, name: str, route: str, place: str
    ) -> bool:
        """Read an answer, and check it; return whether another may follow."""
        soak = self.soak
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            # A request that crosses the close is not passed on.
            soak.check(not soak.ran[name], f"LOST {route} {name}: no answer")
            soak.counts["crossed the close"] += 1
            return False
        head = raw.decode("latin-1").lower()
        status = int(head[9:12])
        is_whole = await self.read_body(reader, head)
        soak.counts[f"{status}{'' if is_whole else ' broken off'}"] += 1
        if status == 200:
            soak.check(SEAL.lower() in head, f"MIXED {name}")
            stream = route in ("brief", "draft")
            soak.check(is_whole or stream, f"LOST {route} {name}: cut")
        soak.check(status in (200, 502, 503, 504), f"DENIED {status}: {place}")
        if status == 503:
            repeats = route in ("read", "draft")
            soak.check(repeats or not soak.ran[name], f"REFUSED {name}")
        soak.check(
            route in ("read", "draft") or soak.ran[name] < 2, f"TWICE {name}"
        )
        return is_whole and "connection: close" not in head

    async def read_body(self, reader: asyncio.StreamReader, head: str) -> bool:
        """Read a body; return whether it is whole."""
        try:
            if "chunked" not in head:
                length = int(head.partition("content-length: ")[2].split()[0])
                await reader.readexactly(length)
                return True
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        return True


async def is_ready(port: int) -> bool:
    """Wait until a router reports that it is ready; return whether it does."""
    ends_s = time.monotonic() + START_S
    while time.monotonic() < ends_s:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            if head[9:12] == b"200":
                return True
        await asyncio.sleep(0.1)
    return False


async def serve(soak: Soak, number: int, folder: Path) -> None:
    """Run a router, stop it, and start it again until the end."""
    choice = random.Random(f"router-{soak.seed}-{number}")
    while time.monotonic() < soak.ends_s:
        callers, ready, agent, metrics = free_ports(4)
        file = folder / f"router{number}.toml"
        file.write_text(
            SETTINGS.format(
                store=soak.store.address,
                name=f"r{number}",
                agent=agent,
                metrics=metrics,
                grace=GRACE_S,
                callers=callers,
                ready=ready,
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sequoiawind.forward_router_main",
            str(file),
            stdout=asyncio.subprocess.DEVNULL,
        )
        soak.processes.append(process)
        # A signal before the program handles it would end the process.
        soak.check(await is_ready(ready), f"router {number} is not ready")
        soak.ports[number] = callers
        for _ in range(choice.randrange(4)):
            await asyncio.sleep(choice.uniform(0.2, 1.0))
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(choice.uniform(0.0, 3.0))
        process.terminate()
        if choice.random() < 0.3:
            await asyncio.sleep(0.5)
            process.terminate()
        await asyncio.sleep(2.0)
        # The balancer has noticed.
        soak.ports.pop(number, None)
        try:
            await asyncio.wait_for(process.wait(), KILL_S)
        except TimeoutError:
            soak.check(False, f"router {number} did not end")
            process.kill()
            await process.wait()
        soak.check(process.returncode == 0, f"exit {process.returncode}")
        soak.counts["stops"] += 1


async def play(soak: Soak, folder: Path) -> None:
    """Run routers, callers and the operator beside each other."""

    async def operate() -> None:
        while time.monotonic() < soak.ends_s:
            await asyncio.sleep(soak.random.uniform(0.3, 4.0))
            soak.change()

    callers = [
        Caller(soak=soak, random=random.Random(f"{soak.seed}-{number}"))
        for number in range(CALLERS)
    ]
    try:
        await asyncio.gather(
            *(serve(soak, number, folder) for number in range(ROUTERS)),
            *(caller.run() for caller in callers),
            operate(),
        )
    finally:
        for process in soak.processes:
            if process.returncode is None:
                process.kill()


def run_seed(seed: int, seconds: float) -> Soak:
    """Run the soak for a time; return it with its violations and counts."""
    soak = Soak(seed=seed)
    with ExitStack() as stack, tempfile.TemporaryDirectory() as folder:
        stack.enter_context(soak.store)
        for name, pool in (("a1", "app"), ("a2", "app"), ("e1", "llm")):
            target = NotingTarget(id=name, soak=soak, events=3)
            stack.enter_context(target)
            soak.targets.append(target)
            soak.store.put("keyed.servers", name, target.entry(pool))
        soak.configure()
        soak.ends_s = time.monotonic() + seconds
        asyncio.run(play(soak, Path(folder)))
    return soak


def main() -> int:
    """Run some seeds; return 1 if any found a violation."""
    first, count, seconds = (int(item) for item in sys.argv[1:4])
    is_red = False
    for seed in range(first, first + count):
        soak = run_seed(seed, seconds)
        is_red |= bool(soak.violations)
        found = ", ".join(f"{k} {v}" for k, v in sorted(soak.counts.items()))
        print(f"seed {seed}: {soak.violations[:5]} {found}", flush=True)
    return int(is_red)


if __name__ == "__main__":
    sys.exit(main())
