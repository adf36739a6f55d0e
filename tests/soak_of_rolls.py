"""A soak of routers that are stopped in turn, twice, beside model engines.

Six routers and nine engines with agents run as processes and in one event loop
at addresses of their own.  Callers of several accounts use kept and new
connections, bodies in chunks, halves, slow readers and pauses, as the form
says; some take cut streams up at another router.  Each stream that ends without
a whole answer around the SIGTERM of its router is judged by the users' rule,
and each router must end by itself before SIGKILL.  By hand:
`python -m tests.soak_of_rolls FORM FIRST_SEED COUNT`.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from contextlib import suppress
from pathlib import Path

import attrs

from tests.model_engine import ModelEngine, Work
from tests.platform_standin import Store, configuration
from tests.rolls_caller import Caller
from tests.rolls_state import (
    ACCOUNTS,
    AGENT,
    CROSS_S,
    FORMS,
    GRACE_S,
    LAST_S,
    ROUTER,
    SENT_S,
    WINDOW_S,
    ZONES,
    Form,
    Router,
    Sent,
    Stop,
)

# Time by which SIGHUP or a further SIGTERM comes before or after SIGTERM.
BESIDE_S = 0.3


@attrs.define(kw_only=True, eq=False)
class Roll:
    """One run of the soak."""

    form: Form
    seed: int
    folder: Path
    random: "random.Random" = attrs.field(init=False)
    store: Store = attrs.field(factory=Store)
    routers: list[Router] = attrs.field(factory=list)
    engines: dict[str, ModelEngine] = attrs.field(factory=dict)
    works: dict[str, list[Work]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # The agents' processes, by name, with their settings.
    agents: dict[str, tuple[asyncio.subprocess.Process, str]] = attrs.field(
        factory=dict
    )
    # All processes that may run, to be ended with the run.
    processes: list[asyncio.subprocess.Process] = attrs.field(factory=list)
    requests: list[Sent] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    is_over: bool = False
    # First two numbers of the addresses of this run.
    net: str = attrs.field(factory=lambda: f"127.{20 + os.getpid() % 200}")

    def __attrs_post_init__(self) -> None:
        """Seed the choices."""
        self.random = random.Random(f"rolls-{self.seed}")

    async def start(self) -> None:
        """Start the engines, agents and routers."""
        for number in range(12):
            zone, is_model = ZONES[number % 3], number < 9
            engine = ModelEngine(
                name=f"i-{number}",
                host=f"{self.net}.2.{number + 1}",
                zone=zone,
                slots=self.form.slots if is_model else 6,
                random=random.Random(f"engine-{self.seed}-{number}"),
                peers=self.engines,
                works=self.works,
                pool="llm" if is_model else "app",
                refusals=self.form.refusals,
            )
            await engine.listen()
            self.store.put("keyed.servers", engine.name, engine.entry())
            if is_model:
                text = AGENT.format(
                    store=self.store.address,
                    target=engine.address,
                    name=f"side-{number}",
                    host=engine.host,
                    zone=zone,
                )
                process = await self.spawn(
                    "forward_agent_main", engine.name, text
                )
                self.agents[engine.name] = process, text
        self.configure()
        for number in range(6):
            name, host = f"front-{number}", f"{self.net}.1.{number + 1}"
            text = ROUTER.format(
                store=self.store.address,
                name=name,
                host=host,
                zone=ZONES[number % 3],
            )
            settings = self.folder / f"{name}.toml"
            settings.write_text(text)
            router = Router(name=name, host=host, settings=settings)
            router.process = await self.spawn("forward_router_main", name, text)
            self.routers.append(router)

    async def spawn(
        self, program: str, name: str, settings: str
    ) -> asyncio.subprocess.Process:
        """Start a process; its output is kept in the folder."""
        self.processes = [p for p in self.processes if p.returncode is None]
        file = self.folder / f"{name}.toml"
        file.write_text(settings)
        with file.with_suffix(".log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"sequoiawind.{program}",
                str(file),
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    def configure(self) -> None:
        """Write the configuration."""
        config = configuration(1)
        services = config["services"]
        assert isinstance(services, list)
        services[1]["engine"]["moves"] = True
        config["tenants"] = [
            {"name": name, "api_keys": [f"key-{name}"]} for name in ACCOUNTS
        ]
        self.store.put("keyed.op", "config", config)

    async def name_weights(self) -> None:
        """Name newer weights at intervals."""
        version = 1
        while self.form.weights_s:
            await asyncio.sleep(self.form.weights_s)
            version += 1
            record = {"model": "m", "version": version}
            self.store.put("keyed.op", "version/m", record)

    async def watch(self, router: Router) -> None:
        """Ask a router each second whether it is ready, as a balancer does."""
        while True:
            is_ready = False
            with suppress(OSError, asyncio.IncompleteReadError):
                pair = await asyncio.open_connection(router.host, 8789)
                pair[1].write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await pair[0].readuntil(b"\r\n\r\n")
                is_ready = head[9:12] == b"200"
                pair[1].close()
            router.misses = 0 if is_ready else router.misses + 1
            await asyncio.sleep(1.0)

    async def signal(self, router: Router, number: signal.Signals) -> None:
        """Send a signal to a router, unless it has just ended."""
        process = router.process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    async def stop(self, router: Router) -> None:
        """Stop a router, kill it if it does not end, and start it again."""
        process = router.process
        assert process is not None
        if self.random.random() < self.form.hups:
            await self.signal(router, signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, BESIDE_S))
        began_s = time.monotonic()
        router.stopped_s.append(began_s)
        await self.signal(router, signal.SIGTERM)
        if self.random.random() < self.form.repeats:
            await asyncio.sleep(self.random.uniform(0.0, BESIDE_S))
            await self.signal(router, signal.SIGTERM)
        try:
            left_s = began_s + GRACE_S - time.monotonic()
            await asyncio.wait_for(process.wait(), left_s)
        except TimeoutError:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        status = process.returncode
        assert status is not None
        seconds = time.monotonic() - began_s
        self.stops.append(
            Stop(router=router.name, seconds=seconds, status=status)
        )
        text = router.settings.read_text()
        router.process = await self.spawn(
            "forward_router_main", router.name, text
        )

    async def stop_agents(self) -> None:
        """Stop agents one after the other, and start them again."""
        while self.form.stops_agents:
            for name in self.agents:
                process, text = self.agents[name]
                with suppress(ProcessLookupError):
                    process.terminate()
                await process.wait()
                process = await self.spawn("forward_agent_main", name, text)
                self.agents[name] = process, text
                await asyncio.sleep(1.0)
            await asyncio.sleep(1.0)

    async def play(self) -> None:
        """Play two rounds of stops."""
        with self.store:
            await self.start()
            tasks = [asyncio.create_task(self.watch(r)) for r in self.routers]
            tasks.append(asyncio.create_task(self.name_weights()))
            tasks.append(asyncio.create_task(self.stop_agents()))
            try:
                while any(router.misses for router in self.routers) or not all(
                    router.process for router in self.routers
                ):
                    await asyncio.sleep(0.1)
                await asyncio.sleep(3.0)
                callers = [
                    asyncio.create_task(Caller(roll=self, number=n).run())
                    for n in range(self.form.callers)
                ]
                await asyncio.sleep(3.0)
                for _ in range(2):
                    began_s = time.monotonic()
                    stops = []
                    for router in self.random.sample(self.routers, 6):
                        stops.append(asyncio.create_task(self.stop(router)))
                        await asyncio.sleep(self.form.gap_s)
                    await asyncio.gather(*stops)
                    left_s = began_s + self.form.round_s - time.monotonic()
                    await asyncio.sleep(max(2.0, left_s))
                self.is_over = True
                await asyncio.gather(*callers)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                for process in self.processes:
                    with suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()

    def verdict(self, sent: Sent) -> str:
        """Return how a request has ended, by the users' rule."""
        if sent.is_disordered:
            return "LOST order"
        if sent.is_whole:
            return f"{sent.status}"
        works = self.works[sent.name]
        router = next(r for r in self.routers if r.name == sent.router)
        around = [
            stop_s
            for stop_s in router.stopped_s
            if stop_s <= sent.ended_s
            and min(sent.ended_s, sent.sent_s + SENT_S) <= stop_s + WINDOW_S
        ]
        where = "calm" if not around else "stop"
        if sent.ended_s - sent.sent_s >= sent.deadline_s - 0.05:
            return "deadline"
        if not works and sent.ended_s - sent.sent_s <= CROSS_S:
            return "crossed"
        for stop_s in around:
            is_at_work = any(w.ended_s >= stop_s + LAST_S for w in works)
            if is_at_work and sent.sent_s <= stop_s + SENT_S:
                return "excused"
        return f"LOST {where}"

    def tell(self, sent: Sent) -> str:
        """Return what is known of a request, with times since its sending."""
        router = next(r for r in self.routers if r.name == sent.router)
        stops = [f"{s - sent.sent_s:.2f}" for s in router.stopped_s]
        works = [
            f"{w.engine} {w.began_s - sent.sent_s:.2f}"
            f"..{w.ended_s - sent.sent_s:.2f} {w.end}"
            for w in self.works[sent.name]
        ]
        return (
            f"{sent.name} {sent.route} {sent.shape} {sent.router} status"
            f" {sent.status} resumes {sent.resumes or None} event"
            f" {sent.last_event} end {sent.ended_s - sent.sent_s:.2f} stops"
            f" {stops} works {works}"
        )


def run_seed(form: str, seed: int, folder: Path) -> Roll:
    """Play one seed; return the run."""
    roll = Roll(form=FORMS[form], seed=seed, folder=folder)
    asyncio.run(roll.play())
    return roll


def main() -> int:
    """Play some seeds of a form.

    Returns:
      1 if any has lost an answer, or a router did not end by itself; else 0.
    """
    form, first, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    is_red = False
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"roll-{form}-{seed}-"))
        roll = run_seed(form, seed, folder)
        counts = Counter(roll.verdict(sent) for sent in roll.requests)
        moves: Counter[str] = Counter()
        for engine in roll.engines.values():
            moves.update(engine.moves)
        ups = Counter(
            roll.verdict(sent) for sent in roll.requests if sent.resumes
        )
        print(f"{form} {seed}: {dict(counts)} moves {dict(moves)} {folder}")
        slowest_s = max(stop.seconds for stop in roll.stops)
        print(f"   taken up {dict(ups)} longest stop {slowest_s:.2f} s")
        for stop in roll.stops:
            if stop.status:
                is_red = True
                print(f"   ENDED {stop}", flush=True)
        for sent in roll.requests:
            if roll.verdict(sent).startswith("LOST"):
                is_red = True
                print("  ", roll.verdict(sent), roll.tell(sent), flush=True)
    return int(is_red)


if __name__ == "__main__":
    sys.exit(main())
