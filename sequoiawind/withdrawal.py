"""Withdraws requests that wait at targets under conditions that have ended.

Attempts whose answer has begun go on.  The others are cancelled, and their
requests are sent again if they may be.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sequoiawind.verdict import Failure

if TYPE_CHECKING:
    from sequoiawind.forward_attempt import ForwardAttempt
    from sequoiawind.forwarding import Forwarding


def withdraw(
    forwarding: "Forwarding",
    is_outdated: "Callable[[Forwarding, ForwardAttempt], bool]",
    why: Failure,
) -> None:
    """Withdraw the attempts of a request that are outdated and not begun.

    Args:
      forwarding: The request.
      is_outdated: Whether one of its attempts must not begin any more.
      why: The failure of such an attempt.
    """

    def must_end(attempt: "ForwardAttempt") -> bool:
        has_begun = attempt.answer is not None
        return not (attempt.is_over or has_begun) and is_outdated(
            forwarding, attempt
        )

    kept = forwarding.silence.kept
    for attempt in [item for item in kept if must_end(item)]:
        kept.remove(attempt)
        attempt.cancel()
    current = forwarding.current
    if current is None or not must_end(current):
        return
    current.cancel()
    forwarding.forwarder.on_attempt_failed(forwarding, current, why)
    forwarding.last_failure = why
    forwarding.record_verdict(why)
    forwarding.attempts.use()
    if forwarding.has_head:
        forwarding.tried.withdrawn(current.view.target.name)
    if not forwarding.silence.lost(current):
        # Ends the request if it may not be repeated.
        forwarding.next_target()
