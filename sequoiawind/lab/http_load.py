"""Sends a workload to real routers over HTTP and measures the answers."""

import itertools
import time
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults

from sequoiawind import http_client, openai_format, sse, timing
from sequoiawind.event_loop import reactor
from sequoiawind.http_server import JSON_TYPE
from sequoiawind.lab import engine_model, workload
from sequoiawind.lab.workload import Prompt
from sequoiawind.verdict import Failure


@attrs.define(kw_only=True)
class Results:
    """The measurements of a run."""

    # Seconds from sending to the first chunk.
    first_chunk_s: list[float] = attrs.field(factory=list)
    # Seconds between consecutive chunks.
    between_s: list[float] = attrs.field(factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    answered: int = 0
    wrong: int = 0
    refusals: Counter[str] = attrs.field(factory=Counter)

    @property
    def hit_rate(self) -> float:
        """The share of prompt tokens that were cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)

    def lines(self) -> list[str]:
        """Return the results as text."""
        waits = [
            f"{name} {workload.quantile(self.first_chunk_s, share):.3f} s"
            for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99))
        ]
        refused = ", ".join(
            f"{reason} {count}"
            for reason, count in sorted(self.refusals.items())
        )
        return [
            f"answered {self.answered}, wrong answers {self.wrong}",
            f"time to first token: {', '.join(waits)}",
            f"between tokens: p95 {self.between_p95_ms():.1f} ms",
            f"prefix hit rate {self.hit_rate:.3f}, recomputed tokens "
            f"{self.prompt_tokens - self.cached_tokens}",
            f"refusals by reason: {refused or 'none'}",
        ]

    def between_p95_ms(self) -> float:
        """Return the p95 of the time between chunks, in milliseconds."""
        return workload.quantile(self.between_s, 0.95) * 1000.0


@attrs.define(kw_only=True)
class LoadRun:
    """Sends each prompt at its time, to the routers in turn."""

    client: HTTPClient
    # Addresses as host:port.
    routers: Sequence[str]
    # Model named in every request.
    model: str
    results: Results = attrs.field(factory=Results)

    async def run(self, prompts: Iterable[Prompt]) -> Results:
        """Send all prompts and wait for their answers."""
        began_s = time.monotonic()
        calls: list[Deferred[None]] = []
        for prompt, router in zip(
            prompts, itertools.cycle(self.routers), strict=False
        ):
            pause_s = began_s + prompt.time_s - time.monotonic()
            if pause_s > 0.0:
                await timing.sleep(reactor, pause_s)
            calls.append(Deferred.fromCoroutine(self.send(prompt, router)))
        await gatherResults(calls)
        return self.results

    async def send(self, prompt: Prompt, router: str) -> None:
        """Send one prompt, authorized by its account's token."""
        body = {
            "model": self.model,
            "prompt": prompt.text,
            "max_tokens": prompt.answer_tokens,
            "stream": True,
        }
        answer = Answer(results=self.results, prompt=prompt)
        call = http_client.EventCall(
            client=self.client,
            url=f"http://{router}{openai_format.TEXT_PATH}",
            body=openai_format.encode(body),
            headers={
                "Content-Type": JSON_TYPE,
                "Authorization": f"Bearer {prompt.account}-token",
            },
            on_event=answer.event,
            on_refused=answer.refused,
            on_lost=answer.stream_ended,
        )
        call.start()
        await answer.done


@attrs.define(kw_only=True, eq=False)
class Answer:
    """Measures and checks one streamed answer."""

    results: Results
    prompt: Prompt
    began_s: float = attrs.field(factory=time.monotonic)
    # Time of the last chunk; negative before the first.
    last_s: float = -1.0
    chunks: list[bytes] = attrs.field(factory=list)
    # Code of the error event; empty if there was none.
    error: str = ""
    done: Deferred[None] = attrs.field(factory=Deferred)

    def event(self, event: sse.Event) -> None:
        """Record a chunk and its time, or the code of an error event."""
        now_s = time.monotonic()
        if event.data.startswith(b'{"error"'):
            error = openai_format.decode(event.data)["error"]
            self.error = str(error["code"])
            return
        if self.last_s < 0.0:
            self.results.first_chunk_s.append(now_s - self.began_s)
        else:
            self.results.between_s.append(now_s - self.last_s)
        self.last_s = now_s
        self.chunks.append(event.data)

    def refused(self, failure: Failure) -> None:
        """Count a request that got no event stream."""
        self.results.refusals[refusal_code(failure)] += 1
        self.done.callback(None)

    def stream_ended(self) -> None:
        """Check the answer once its stream has ended."""
        self.check()
        self.done.callback(None)

    def check(self) -> None:
        """Compare the answer with the expected one and count its tokens."""
        if self.error:
            self.results.refusals[self.error] += 1
            return
        text = openai_format.joined_text(openai_format.TEXT_PATH, self.chunks)
        expected = engine_model.expected_answer(
            self.prompt.text, self.prompt.answer_tokens
        )
        self.results.answered += 1
        if text != expected or self.chunks[-1] != openai_format.DONE:
            self.results.wrong += 1
            return
        usage = openai_format.usage_of(self.chunks[-2])
        if usage is not None:
            self.results.prompt_tokens += usage.prompt_tokens
            self.results.cached_tokens += usage.cached_tokens


def refusal_code(failure: Failure) -> str:
    """Return the code in a router's error reply, or else the reason."""
    marker = '"code":"'
    if marker in failure.detail:
        return failure.detail.split(marker)[1].split('"')[0]
    return failure.reason.value
