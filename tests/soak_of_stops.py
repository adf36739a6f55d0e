"""A soak of routers as processes: stops and changes beside kept connections.

Callers use their connections until the process is gone, send some requests in
halves, some in chunks and some pipelined.  Some streams last longer than a stop
may.  Meanwhile routers get SIGTERM and SIGHUP, one after the other and all at
once, are started again, and the operator raises and lowers limits and isolates
accounts.  By hand: `python -m tests.soak_of_stops FIRST_SEED COUNT SECONDS`.
"""

import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack, suppress
from pathlib import Path

import attrs

from tests.platform_standin import SEAL
from tests.stops_state import (
    ACCOUNTS,
    HIGH,
    SENT_S,
    NotingTarget,
    Sent,
    Soak,
)
from tests.test_forward_processes import free_ports

ROUTERS = 2
CALLERS = 16
# What the settings of a router may state; the soak kills it after that.
GRACES_S = (4.0, 8.0)
# Events of the streams of each engine, and the pauses before them, in seconds.
STREAMS = {"e1": (12, 0.25), "e2": (24, 0.5), "e3": (24, 0.5)}
# Longest time, in seconds, by which callers send the rest of a request later
# than `SENT_S` after SIGTERM, if they wait for that.
LATE_S = 0.05
# Time for which a caller pauses within a head, and within a body, in seconds.
HEAD_PAUSE_S = 2.5
BODY_PAUSE_S = 4.0
# After which time a request may have been refused as too slow, in seconds, if
# it was held up within its head, or within its body.
HEAD_LIMIT_S = 2.9
LIMIT_S = 9.0
# Time in which a router must be ready; long, as a busy machine is no fault.
START_S = 30.0
# What a program that cannot open a port prints.
PORT_TAKEN = "CannotListenError"
IN_FORCE_S = 1.5
SMALL_HEAD, LARGE_HEAD = 600, 6_000
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
class Caller:
    """One caller, with a connection that it keeps."""

    soak: Soak
    random: "random.Random"

    def request(self, is_late: bool) -> Sent:
        """Return a request.

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
        is_chunked = self.random.random() < 0.3
        body = "4\r\nbody\r\n0\r\n\r\n" if is_chunked else "body"
        deadline_s = self.random.choice((1.5, 6.0, 20.0, 20.0))
        lines = [
            f"POST /{route}/x HTTP/1.1",
            "Host: h.example",
            f"Authorization: Token key-{self.random.choice(ACCOUNTS)}",
            f"Sequoiawind-Attempt-Id: {name}",
            f"Sequoiawind-Deadline-Ms: {int(deadline_s * 1000)}",
            f"X-Trace: {'t' * (LARGE_HEAD if is_large else SMALL_HEAD)}",
            "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 4",
        ]
        if route in ("brief", "draft"):
            lines += [
                "Sequoiawind-Model: m",
                "Sequoiawind-Token-Count: 100,10",
                f"Sequoiawind-Prompt-Prefix: aa:80,{soak.requests:x}:20",
            ]
        head = "\r\n".join([*lines, "", ""])
        return Sent(
            name=name,
            route=route,
            data=(head + body).encode(),
            head_bytes=len(head),
            deadline_s=deadline_s,
        )

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
            while time.monotonic() < soak.ends_s and await self.use(
                *pair, port
            ):
                await asyncio.sleep(self.random.choice((0.0, 0.2, 1.0)))
            pair[1].close()

    async def use(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> bool:
        """Send one request or two; return whether the connection is kept."""
        sent = [self.request(is_late=False)]
        in_body = sent[0].head_bytes + 1
        cut = self.random.choice(
            (0, 0, 30, 300, 700, in_body, in_body, in_body)
        )
        if self.random.random() < 0.2:
            sent.append(self.request(is_late=cut > 0))
        data = b"".join(item.data for item in sent)
        started = time.monotonic()
        pause_s = BODY_PAUSE_S if cut == in_body else HEAD_PAUSE_S
        try:
            if cut:
                writer.write(data[:cut])
                await writer.drain()
                await asyncio.sleep(self.random.uniform(0.0, pause_s))
                if cut == in_body and self.random.random() < 0.5:
                    await self.until_late(port)
            writer.write(data[cut:])
            await writer.drain()
        except ConnectionError:
            return False
        ended = time.monotonic()
        if ended - started > (LIMIT_S if cut == in_body else HEAD_LIMIT_S):
            # It may have met the time allowed for a head, or for a body.
            return False
        for item in sent:
            item.began_s, item.ended_s = started, ended
        for number, item in enumerate(sent):
            place = f"place {number}, cut {cut}, {len(data)} bytes"
            is_kept = await self.answered(reader, item, port, place)
            if not is_kept:
                for later in sent[number + 1 :]:
                    name = later.name
                    self.soak.check(not self.soak.ran[name], f"LOST {name}")
                return False
        return True

    async def until_late(self, port: int) -> None:
        """Wait until a stop no longer excuses a cut, if it soon does not."""
        late_s = SENT_S + self.random.uniform(0.0, LATE_S)
        left_s = self.soak.stopped_s.get(port, 0.0) + late_s - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))

    async def answered(
        self, reader: asyncio.StreamReader, sent: Sent, port: int, place: str
    ) -> bool:
        """Read an answer, and check it; return whether another may follow."""
        soak, name, route = self.soak, sent.name, sent.route
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
            may_break_off = stream and soak.may_break_off(sent, port)
            soak.check(
                is_whole or may_break_off,
                f"LOST {route} {name}: cut, {place}, {self.times(sent, port)}",
            )
        soak.check(status in (200, 502, 503, 504), f"DENIED {status}: {place}")
        if status == 503:
            repeats = route in ("read", "draft")
            soak.check(repeats or not soak.ran[name], f"REFUSED {name}")
        soak.check(
            route in ("read", "draft") or soak.ran[name] < 2, f"TWICE {name}"
        )
        return is_whole and "connection: close" not in head

    def times(self, sent: Sent, port: int) -> str:
        """Return when a request was sent, worked on and cut, in seconds.

        The times are since its router got SIGTERM.
        """
        soak = self.soak
        stopped_s = soak.stopped_s.get(port, float("nan"))
        works = [
            f"{work.target} {work.began_s - stopped_s:.2f}"
            f"..{work.ended_s - stopped_s:.2f}"
            for work in soak.works.get(sent.name, [])
        ]
        return (
            f"{sent.ended_s - stopped_s:.2f} {works}"
            f" {time.monotonic() - stopped_s:.2f}"
        )

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


async def is_ready(port: int, process: asyncio.subprocess.Process) -> bool:
    """Wait until a router reports that it is ready; return whether it does."""
    ends_s = time.monotonic() + START_S
    while time.monotonic() < ends_s and process.returncode is None:
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
        grace_s = soak.graces_s[callers] = choice.choice(GRACES_S)
        soak.stopped_s.pop(callers, None)
        file = folder / f"router{number}.toml"
        file.write_text(
            SETTINGS.format(
                store=soak.store.address,
                name=f"r{number}",
                agent=agent,
                metrics=metrics,
                grace=grace_s,
                callers=callers,
                ready=ready,
            )
        )
        errors, lines = file.with_suffix(".err"), file.with_suffix(".log")
        with errors.open("wb") as stderr, lines.open("ab") as stdout:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sequoiawind.forward_router_main",
                str(file),
                stdout=stdout,
                stderr=stderr,
            )
        soak.processes.append(process)
        # A signal before the program handles it would end the process.
        has_started = await is_ready(ready, process)
        if process.returncode is not None and PORT_TAKEN in errors.read_text():
            # Another program has got the port meanwhile.
            soak.counts["ports taken"] += 1
            continue
        soak.check(has_started, f"router {number} is not ready")
        if process.returncode is not None:
            return
        soak.ports[number] = callers
        for _ in range(choice.randrange(4)):
            await asyncio.sleep(choice.uniform(0.2, 1.0))
            process.send_signal(signal.SIGHUP)
        with suppress(TimeoutError):
            await asyncio.wait_for(
                soak.stop_all.wait(), choice.uniform(0.0, 4.0)
            )
            # All stop at once, or one after the other.
            await asyncio.sleep(choice.choice((0.0, 1.0 + number)))
        if choice.random() < 0.3:
            soak.stop_all.set()
        soak.stopped_s[callers] = time.monotonic()
        process.terminate()
        if choice.random() < 0.3:
            await asyncio.sleep(0.5)
            process.terminate()
        await asyncio.sleep(2.0)
        soak.stop_all.clear()
        # The balancer has noticed.
        soak.ports.pop(number, None)
        try:
            await asyncio.wait_for(process.wait(), grace_s)
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
        for name in ("a1", "a2", *STREAMS):
            pool = "llm" if name in STREAMS else "app"
            events, pause_s = STREAMS.get(name, (0, 0.0))
            target = NotingTarget(
                id=name, soak=soak, events=events, pause_s=pause_s
            )
            stack.enter_context(target)
            soak.targets.append(target)
            soak.store.put("keyed.servers", name, target.entry(pool))
        soak.configure()
        soak.ends_s = time.monotonic() + seconds
        asyncio.run(play(soak, Path(folder)))
        if soak.violations:
            kept = tempfile.mkdtemp(prefix=f"stops-{seed}-")
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            print(f"logs of seed {seed}: {kept}", flush=True)
    return soak


def main() -> int:
    """Run some seeds; return 1 if any found a violation."""
    first, count, seconds = (int(item) for item in sys.argv[1:4])
    is_red = False
    for seed in range(first, first + count):
        soak = run_seed(seed, seconds)
        is_red |= bool(soak.violations)
        found = ", ".join(f"{k} {v}" for k, v in sorted(soak.counts.items()))
        kinds = Counter(text.split(" ")[0] for text in soak.violations)
        first = {text.split(" ")[0]: text for text in soak.violations[::-1]}
        red = f"{dict(kinds)} {list(first.values())}" if kinds else "[]"
        print(f"seed {seed}: {red} {found}", flush=True)
    return int(is_red)


if __name__ == "__main__":
    sys.exit(main())
