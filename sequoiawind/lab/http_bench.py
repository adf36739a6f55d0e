"""Benchmarks of real daemons on one machine.

The time that router and agent add is the difference to calling the engine
stand-in directly, in the same run.  Relaying is measured in chunks per second
of the router's and of the agents' processor time.
"""

import os
import time
from collections.abc import Sequence
from typing import Final

import attrs
import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults

from sequoiawind import http_client
from sequoiawind.lab import workload
from sequoiawind.lab.http_load import LoadRun, Results
from sequoiawind.lab.workload import Prompt

RATE_PER_S: Final = 100.0
SECONDS: Final = 10.0
SHORT_ANSWER_TOKENS: Final = 4
PROMPT_TOKENS: Final = 1024
# Number of different prompt prefixes, so that the load reaches all engines.
TOPICS: Final = 12
STREAMS: Final = 200
STREAM_TOKENS: Final = 1000
ACCOUNT: Final = "nordlys-0"


@attrs.define(kw_only=True)
class Bench:
    """One run of all benchmarks."""

    router: str
    engines: Sequence[str]
    # All agents: the processor time of relaying is summed over them.
    agents: Sequence[str]
    model: str
    client: HTTPClient = attrs.field(factory=http_client.make_client)

    async def run(self) -> list[str]:
        """Run all benchmarks and return the results as lines of text."""
        lines = [f"cores {os.cpu_count()}"]
        lines += await self.idle_memory()
        lines += await self.added_time()
        lines += await self.relaying()
        return lines

    async def idle_memory(self) -> list[str]:
        """Measure the memory of the idle daemons."""
        router_mb = await self.metric(self.router, "resident_memory_bytes")
        agent_mb = await self.metric(self.agents[0], "resident_memory_bytes")
        return [
            f"idle memory: router {router_mb / 1e6:.1f} MB, "
            f"agent {agent_mb / 1e6:.1f} MB"
        ]

    async def added_time(self) -> list[str]:
        """Measure the time to the first token, direct and routed.

        Both loads run at the same time, at the same rate.
        """
        runs = [self.load_run(*self.engines), self.load_run(self.router)]
        await gatherResults(
            [
                Deferred.fromCoroutine(run.run(steady_prompts(number)))
                for number, run in enumerate(runs)
            ]
        )
        direct, routed = (run.results for run in runs)
        lines = [first_chunk_line("direct", direct)]
        lines.append(first_chunk_line("routed", routed))
        added = [
            quantile_ms(routed, share) - quantile_ms(direct, share)
            for share in (0.5, 0.99)
        ]
        lines.append(f"added: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms")
        return lines

    async def relaying(self) -> list[str]:
        """Measure how many chunks router and agents relay per CPU second."""
        router_before_s = await self.cpu_s([self.router])
        agents_before_s = await self.cpu_s(self.agents)
        began_s = time.monotonic()
        run = self.load_run(self.router)
        await run.run(stream_prompts())
        lasted_s = time.monotonic() - began_s
        # Each answer has a chunk with the usage and an end marker as well.
        chunks = run.results.answered * (STREAM_TOKENS + 2)
        lines = [
            f"{STREAMS} streams: {run.results.answered} answered, "
            f"{run.results.wrong} wrong, refused "
            f"{dict(run.results.refusals)}, {chunks / lasted_s:.0f} chunks/s "
            "with this one load process"
        ]
        router_s = await self.cpu_s([self.router]) - router_before_s
        agents_s = await self.cpu_s(self.agents) - agents_before_s
        for name, used_s in (("router", router_s), ("agents", agents_s)):
            lines.append(
                f"{name}: {chunks / max(used_s, 1e-9):.0f} chunks for each "
                "second of processor time"
            )
        return lines

    async def cpu_s(self, addresses: Sequence[str]) -> float:
        """Return the processor time that daemons have used, in seconds."""
        total_s = 0.0
        for address in addresses:
            total_s += await self.metric(address, "cpu_seconds_total")
        return total_s

    def load_run(self, *addresses: str) -> LoadRun:
        """Return a load run that sends to addresses in turn."""
        return LoadRun(client=self.client, routers=addresses, model=self.model)

    async def metric(self, address: str, name: str) -> float:
        """Return a process metric of a daemon; 0 if it has none."""
        response = await self.client.get(f"http://{address}/metrics")
        text = (await treq.content(response)).decode()
        for line in text.splitlines():
            if line.startswith(f"process_{name} "):
                return float(line.split()[1])
        return 0.0


def steady_prompts(run_number: int) -> list[Prompt]:
    """Return prompts with short answers at a steady rate.

    Args:
      run_number: Part of the prompts, so that those of two runs differ.
    """
    return [
        Prompt(
            number=number,
            time_s=number / RATE_PER_S,
            account=ACCOUNT,
            text=workload.level(f"bench {number % TOPICS}", PROMPT_TOKENS)
            + f"{run_number} {number}",
            answer_tokens=SHORT_ANSWER_TOKENS,
        )
        for number in range(int(RATE_PER_S * SECONDS))
    ]


def stream_prompts() -> list[Prompt]:
    """Return prompts whose long answers are streamed concurrently."""
    return [
        Prompt(
            number=number,
            time_s=0.0,
            account=ACCOUNT,
            text=f"stream {number}",
            answer_tokens=STREAM_TOKENS,
        )
        for number in range(STREAMS)
    ]


def quantile_ms(results: Results, share: float) -> float:
    """Return a quantile of the time to the first token, in ms."""
    return workload.quantile(results.first_chunk_s, share) * 1000.0


def first_chunk_line(name: str, results: Results) -> str:
    """Return a line of text on the answers and times to the first token."""
    return (
        f"{name}: {results.answered} answered, time to first token p50 "
        f"{quantile_ms(results, 0.5):.2f} ms, p99 "
        f"{quantile_ms(results, 0.99):.2f} ms"
    )
