"""Tracks which prompt parts the caches of targets and cache stores hold.

A cache store holds cached parts for the targets of a pool.  A router knows
immediately what it has sent where; only the caches know what they have evicted
and what other routers sent.  Changes arrive late and with gaps, so they guide
placement and never decide whether a cached part may be used.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs
import structlog
from expression import Result
from twisted.internet.defer import Deferred, DeferredSemaphore

from sequoiawind import supervise, timing
from sequoiawind.feed_cover import FeedCover
from sequoiawind.forward_ports import CacheChanges, CachePort
from sequoiawind.ports import Clock
from sequoiawind.prompt_cache import HeldParts, PartIndex
from sequoiawind.verdict import Failure, Reason

Logger = structlog.typing.FilteringBoundLogger

# How long a cache may wait for a change, in seconds (long poll); requests with
# a shorter wait count as probes.
WAIT_S: Final = 0.9
# Time allowed for a response, in seconds, in addition to the wait.
RESPONSE_MARGIN_S: Final = 0.5
# Pause between two requests, in seconds, so that one response carries several
# changes.
POLL_PAUSE_S: Final = 0.05
# Pause after a failed request, and after a cache that accepts no more watchers,
# in seconds.
RETRY_S: Final = 0.5
BUSY_RETRY_S: Final = 5.0
# Caches that are read from their beginning at the same time, and how long such
# a request may wait, in seconds.  All caches at once would fill a thin link for
# seconds, and with it delay what a router must read in time.
MAX_CATCHING_UP: Final = 4
CATCH_UP_WAIT_S: Final = 0.2
# Changes in one response from which a cache is taken to have more.
BEHIND_CHANGES: Final = 200


@attrs.define(kw_only=True)
class WatchedCache:
    """A cache, the parts it holds, and how far its changes have been read."""

    # Empty if the cache is only known from a relay.
    address: str
    held: HeldParts
    # Changes when the cache restarts; None before the first response.
    epoch: int | None = None
    # Number of the next change to read.
    next_number: int = 0
    # Whether the last request got a response, if only that it is busy; or
    # whether a relay says so.
    is_alive: bool = False
    # Generation of the parts that a relay tells of; None if none does.
    generation: int | None = None
    # Whether there may be many changes that have not been read.
    is_behind: bool = True

    def apply(self, update: CacheChanges) -> None:
        """Apply changes; after a restart or a gap, clear the parts first."""
        if update.epoch != self.epoch or update.has_gap:
            self.held.clear()
        self.epoch = update.epoch
        self.next_number = update.next_number
        self.is_behind = len(update.changes) >= BEHIND_CHANGES
        for change in update.changes:
            self.held.changed(change.salt, change.part, change.tokens)


@attrs.define(kw_only=True)
class CacheWatcher:
    """Controller that keeps the held parts of all caches current."""

    port: CachePort
    clock: Clock
    random: random.Random
    log: Logger
    # Caches by the name of their target or cache store.
    caches: dict[str, WatchedCache] = attrs.field(factory=dict)
    # Holders of each part over all caches.
    index: PartIndex = attrs.field(factory=PartIndex)
    # While it is given, a relay tells of the caches.
    cover: FeedCover | None = None
    catching_up: DeferredSemaphore = attrs.field(
        factory=lambda: DeferredSemaphore(MAX_CATCHING_UP)
    )
    # Whether the target with a name wants no requests now.
    is_paused: Callable[[str], bool] = attrs.field(default=lambda name: False)

    def watch(self, name: str, address: str, capacity_tokens: int) -> None:
        """Start watching a cache unless it is watched already."""
        known = self.caches.get(name)
        if known is not None and known.address:
            return
        if known is None:
            known = self.add(name, address, capacity_tokens)
        known.address = address
        Deferred.fromCoroutine(self.follow(name, known))

    def add(
        self, name: str, address: str, capacity_tokens: int
    ) -> WatchedCache:
        """Add a cache and return it."""
        cache = self.caches[name] = WatchedCache(
            address=address,
            held=HeldParts(
                capacity_tokens=capacity_tokens, name=name, index=self.index
            ),
        )
        return cache

    def forget(self, name: str) -> None:
        """Stop watching a cache."""
        cache = self.caches.pop(name, None)
        if cache is not None:
            cache.held.clear()

    def clear(self) -> None:
        """Drop what is known of all caches."""
        for cache in self.caches.values():
            cache.held.clear()

    def set_generation(
        self, name: str, capacity_tokens: int, generation: int, is_alive: bool
    ) -> None:
        """Record a cache's generation; a new one begins with no parts."""
        if name not in self.caches:
            self.add(name, "", capacity_tokens)
        cache = self.caches[name]
        if cache.generation != generation:
            cache.held.clear()
            cache.generation = generation
        cache.is_alive = is_alive

    def part_changed(
        self, name: str, generation: int, salt: str, part: str, tokens: int
    ) -> None:
        """Record how many tokens of a part a cache holds now.

        Parts of another generation than the cache's are ignored.
        """
        cache = self.caches.get(name)
        if cache is not None and cache.generation == generation:
            cache.held.changed(salt, part, tokens)

    async def follow(self, name: str, cache: WatchedCache) -> None:
        """Poll one cache until it is forgotten."""

        async def step() -> bool:
            await self.poll(name, cache)
            return self.caches.get(name) is cache

        await supervise.repeat(step, f"cache {name}", self.clock, self.log)

    async def poll(self, name: str, cache: WatchedCache) -> None:
        """Poll a cache once, and pause."""
        if self.cover is not None and self.cover.is_given():
            cache.epoch, cache.next_number = None, 0
            cache.is_behind = True
            await self.cover.wait_until_lost()
            return
        if self.is_paused(name):
            await timing.sleep(self.clock, RETRY_S)
            return
        if not cache.is_behind:
            result = await self.read(cache, WAIT_S)
        else:
            await self.catching_up.acquire()
            try:
                if self.cover is not None and self.cover.is_given():
                    return
                result = await self.read(cache, CATCH_UP_WAIT_S)
            finally:
                self.catching_up.release()
        if result.is_ok():
            self.mark_alive(name, cache)
            cache.apply(result.ok)
            pause_s = POLL_PAUSE_S
        else:
            pause_s = self.mark_failed(name, cache, result.error)
        jittered_s = timing.jittered(pause_s, 0.2, self.random)
        await timing.sleep(self.clock, jittered_s)

    async def read(
        self, cache: WatchedCache, wait_s: float
    ) -> Result[CacheChanges, Failure]:
        """Request the next changes of a cache."""
        cache.generation = None
        return await self.port.cache_changes(
            cache.address,
            cache.next_number,
            wait_s,
            wait_s + RESPONSE_MARGIN_S,
        )

    def mark_alive(self, name: str, cache: WatchedCache) -> None:
        """Record that a cache answers."""
        if not cache.is_alive:
            cache.is_alive = True
            self.log.info("cache reachable", cache=name, epoch=cache.epoch)

    def mark_failed(
        self, name: str, cache: WatchedCache, failure: Failure
    ) -> float:
        """Record a failed request; return the pause before the next."""
        if failure.reason is Reason.TARGET_BUSY:
            self.mark_alive(name, cache)
            return BUSY_RETRY_S
        cache.is_behind = True
        if cache.is_alive:
            cache.is_alive = False
            cache.held.clear()
            self.log.warning("cache lost", cache=name, detail=failure.detail)
        return RETRY_S
