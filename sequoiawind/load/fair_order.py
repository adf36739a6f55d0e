"""The order in which the waiting requests of one router are served.

Self-clocked fair queueing (Golestani, "A self-clocked fair queueing scheme for
broadband applications", INFOCOM 1994) over client accounts within a priority.
It answers the load of an account that sends many times as much as others: its
requests wait for each other, not those of the others for them.

Virtual time is measured in work.  An account that begins to wait starts at the
current virtual time, and this start is kept while it waits, so that a large
request is not overtaken for ever by small ones.
"""

from collections.abc import Iterable, Sequence
from typing import Final, Generic, TypeVar

import attrs

# Share of its time limit after which a request's own work no longer counts
# against it.  Requests wait for at most 0.3 of it (`waiting.WAIT_SHARE`).
OVERTAKEN_SHARE: Final = 0.25

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class WaitingItem(Generic[T]):
    """A waiting request; times in seconds of the clock."""

    request: T
    account: str
    # 0 is the most urgent.
    priority: int
    arrived_s: float
    # Its deadline.
    ends_s: float
    # Its cost for a target, in prompt tokens to prefill or another unit that
    # is the same for all requests of a priority.
    work: float

    def has_waited_long(self, now_s: float) -> bool:
        """Whether its own work no longer counts against it."""
        limit_s = self.ends_s - self.arrived_s
        return now_s - self.arrived_s > OVERTAKEN_SHARE * limit_s


@attrs.define(kw_only=True)
class PriorityQueue:
    """Virtual times of one priority, in units of work."""

    # That of the request served last.
    now: float = 0.0
    # Where the next request of each waiting account starts.
    starts: dict[str, float] = attrs.field(factory=dict)

    def keep(self, accounts: Iterable[str]) -> None:
        """Start accounts that began to wait; forget those that don't wait."""
        self.starts = {
            account: self.starts.get(account, self.now) for account in accounts
        }


@attrs.define(kw_only=True)
class FairOrder:
    """Orders waiting requests; its state is that of waiting accounts only."""

    queues: dict[int, PriorityQueue] = attrs.field(factory=dict)

    def ordered(
        self, waiting: Sequence[WaitingItem[T]], now_s: float
    ) -> list[WaitingItem[T]]:
        """Return waiting requests in the order in which to serve them.

        The most urgent priorities come first; within one, accounts share by
        work.  The requests of one account stay in the order of deadlines.

        Args:
          waiting: All waiting requests of this router.
          now_s: The time, in seconds of the clock.
        """
        by_priority: dict[int, dict[str, list[WaitingItem[T]]]] = {}
        for item in sorted(waiting, key=lambda item: item.ends_s):
            accounts = by_priority.setdefault(item.priority, {})
            accounts.setdefault(item.account, []).append(item)
        self.queues = {
            priority: self.queues.get(priority) or PriorityQueue()
            for priority in by_priority
        }
        result: list[WaitingItem[T]] = []
        for priority in sorted(by_priority):
            accounts = by_priority[priority]
            queue = self.queues[priority]
            queue.keep(accounts)
            tagged: list[tuple[float, float, WaitingItem[T]]] = []
            for account, items in accounts.items():
                tag = queue.starts[account]
                for item in items:
                    start, tag = tag, tag + max(0.0, item.work)
                    key = start if item.has_waited_long(now_s) else tag
                    tagged.append((key, item.ends_s, item))
            # Stable, so that one account's requests keep their order even if
            # two of them have the same tag.
            tagged.sort(key=lambda entry: entry[:2])
            result.extend(item for _, _, item in tagged)
        return result

    def served(self, account: str, priority: int, work: float) -> None:
        """Count the work of a request that was sent to a target.

        Requests that were sent without waiting, of accounts that do not wait,
        are not counted: there was room for them.
        """
        queue = self.queues.get(priority)
        if queue is None or account not in queue.starts:
            return
        finish = queue.starts[account] + max(0.0, work)
        queue.starts[account] = finish
        queue.now = max(queue.now, finish)
