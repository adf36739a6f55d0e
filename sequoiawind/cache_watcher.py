"""What targets and keepers really hold, by the changes that they tell of.

A router knows at once what it sent where; only the caches know what they have
dropped and what other routers sent.  Changes come late and with gaps, so they
guide placement and never decide whether a cached part may be used.
"""

import random
from typing import Final

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import supervise, timing
from sequoiawind.forward_ports import CacheNews, CachePort
from sequoiawind.ports import Clock
from sequoiawind.prompt_cache import HeldParts
from sequoiawind.verdict import Failure, Reason

Logger = structlog.typing.FilteringBoundLogger

# For how long a cache may wait for a change, in seconds; shorter questions
# count as probes.
WAIT_S: Final = 0.9
ANSWER_S: Final = 0.5
# Pause between two questions, so that one answer carries several changes.
PACE_S: Final = 0.05
# Pause after a failure, and after a cache that has watchers enough.
RETRY_S: Final = 0.5
CROWDED_RETRY_S: Final = 5.0


@attrs.define(kw_only=True)
class WatchedCache:
    """A cache and what it holds."""

    address: str
    held: HeldParts
    epoch: int | None = None
    next_number: int = 0
    # Whether it answered the last question, if only that it is crowded.
    is_alive: bool = False

    def take(self, news: CacheNews) -> None:
        """Take in what has changed."""
        if news.epoch != self.epoch or news.has_gap:
            self.held.clear()
        self.epoch = news.epoch
        self.next_number = news.next_number
        for change in news.changes:
            self.held.changed(change.salt, change.part, change.tokens)


@attrs.define(kw_only=True)
class CacheWatcher:
    """The controller that keeps the held parts right."""

    port: CachePort
    clock: Clock
    random: random.Random
    log: Logger
    # Caches by the name of their target or keeper.
    caches: dict[str, WatchedCache] = attrs.field(factory=dict)

    def watch(self, name: str, address: str, capacity_tokens: int) -> None:
        """Begin to watch a cache, unless it is watched."""
        if name in self.caches:
            return
        cache = WatchedCache(
            address=address, held=HeldParts(capacity_tokens=capacity_tokens)
        )
        self.caches[name] = cache
        Deferred.fromCoroutine(self.follow(name, cache))

    def forget(self, name: str) -> None:
        """Stop watching a cache."""
        self.caches.pop(name, None)

    async def follow(self, name: str, cache: WatchedCache) -> None:
        """Ask one cache until it is forgotten."""

        async def step() -> bool:
            await self.ask(name, cache)
            return self.caches.get(name) is cache

        await supervise.repeat(step, f"cache {name}", self.clock, self.log)

    async def ask(self, name: str, cache: WatchedCache) -> None:
        """Ask a cache once, and pause."""
        answered = await self.port.cache_news(
            cache.address, cache.next_number, WAIT_S, WAIT_S + ANSWER_S
        )
        if answered.is_ok():
            self.alive(name, cache)
            cache.take(answered.ok)
            pause_s = PACE_S
        else:
            pause_s = self.unanswered(name, cache, answered.error)
        jittered_s = timing.jittered(pause_s, 0.2, self.random)
        await timing.sleep(self.clock, jittered_s)

    def alive(self, name: str, cache: WatchedCache) -> None:
        """Note that a cache answers."""
        if not cache.is_alive:
            cache.is_alive = True
            self.log.info("cache heard", cache=name, epoch=cache.epoch)

    def unanswered(
        self, name: str, cache: WatchedCache, failure: Failure
    ) -> float:
        """Note a failed question; return the pause before the next."""
        if failure.reason is Reason.TARGET_BUSY:
            self.alive(name, cache)
            return CROWDED_RETRY_S
        if cache.is_alive:
            cache.is_alive = False
            cache.held.clear()
            self.log.warning("cache lost", cache=name, detail=failure.detail)
        return RETRY_S
