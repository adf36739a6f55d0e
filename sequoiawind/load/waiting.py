"""Whether a request for which no target is ready may go on waiting.

Answers the load of pools whose targets all shed, load weights or state limits:
what cannot be sent in time is refused while its caller can still come back.
"""

from typing import Final

import attrs

from sequoiawind import messages
from sequoiawind.verdict import Failure, Reason, not_run

# Share of its time limit for which a request waits for a target to be ready.
WAIT_SHARE: Final = 0.3
# Retry-after of a refusal because no target is available, in seconds: about
# the time for which a target sheds load, loads weights or restarts.
BUSY_RETRY_AFTER_S: Final = 0.4


@attrs.frozen(kw_only=True)
class WaitState:
    """What the decision depends on; times in seconds."""

    # How long the request has waited.
    waited_s: float
    # From its arrival to its deadline.
    time_limit_s: float
    # Its caller has a part of the answer.
    has_answer_begun: bool
    # It continues a stream that began elsewhere.
    is_resumed_stream: bool
    # When targets' limits leave room; None if something else keeps it waiting.
    room_in_s: float | None
    # Whether any target may take it, ready or not.
    has_targets: bool


def refusal(state: WaitState) -> Failure | None:
    """Return why a request must not wait any longer; None if it may."""
    limit_s = WAIT_SHARE * state.time_limit_s
    if state.has_answer_begun:
        # Ending the answer is no better for its caller than the deadline.
        limit_s = float("inf")
    room_in_s = state.room_in_s
    if room_in_s is not None and state.waited_s + room_in_s > limit_s:
        return not_run(Reason.TARGET_LIMIT, messages.TARGET_LIMIT, room_in_s)
    if state.waited_s < limit_s and state.has_targets:
        return None
    text = messages.NO_TARGET
    if state.is_resumed_stream:
        text = messages.ORIGIN_GONE
    return not_run(Reason.NO_TARGET, text, BUSY_RETRY_AFTER_S)
