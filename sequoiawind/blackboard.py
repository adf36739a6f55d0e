"""The blackboard: state that the controllers of one process share.

Controllers communicate by reading and writing it and never call each other.
Comments on the fields name the components that write them.
"""

from collections import OrderedDict

import attrs

from sequoiawind import config_fold, defaults, invariants
from sequoiawind.config_fold import Folded
from sequoiawind.lifecycle import Phase
from sequoiawind.limits import AccountLimits
from sequoiawind.members import Members
from sequoiawind.retries import RetryBudgets
from sequoiawind.sharing import SharingTracker
from sequoiawind.state import Account, Operator, State


@attrs.define(kw_only=True)
class RequestNote:
    """The data on one request that `explain request` shows."""

    request_id: str
    account: str
    route: str
    kind: str
    # When the request arrived, in seconds of the clock.
    began_s: float
    state: str = "running"
    verdict: str = ""
    reason: str = ""
    # Why no further attempt followed a failed one; empty if none failed.
    not_retried: str = ""
    # Names, in the order of the attempts.
    targets_tried: list[str] = attrs.field(factory=list)
    # Id of the last attempt.
    attempt_id: str = ""
    # Blocks of the prefix that the prompt was placed by, and the number of
    # targets over which that prefix is spread.
    depth_blocks: int = 0
    holders: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    # Dropped chunks: those of other attempts, and repeated ones.
    foreign_chunks: int = 0
    repeated_chunks: int = 0
    # In seconds of the clock; negative before the event.
    first_chunk_s: float = -1.0
    ended_s: float = -1.0


@attrs.define(kw_only=True)
class Blackboard:
    """State shared by the controllers of one process."""

    # Written by the configuration follower, the peer client (a first
    # configuration) and, in forwarding processes, the operator reader.
    folded: Folded = attrs.field(factory=Folded)
    # When the configuration was last known to be current, in seconds of the
    # clock; negative if never.
    config_checked_s: float = -1.0
    # Written by the exchanges, the placer and the watcher of the VM list.
    members: Members = attrs.field(factory=Members)
    # Written by the router's request path; `limits` also by the exchange of
    # demand with other routers.
    limits: AccountLimits = attrs.field(factory=AccountLimits)
    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    sharing: SharingTracker = attrs.field(factory=SharingTracker)
    requests: OrderedDict[str, RequestNote] = attrs.field(factory=OrderedDict)
    # Written by the lifecycle.
    phase: Phase = attrs.field(factory=Phase)
    # Accounts and operators of `folded` by token digest.
    accounts_by_digest: dict[str, Account] = attrs.field(factory=dict)
    operators_by_digest: dict[str, Operator] = attrs.field(factory=dict)

    @property
    def state(self) -> State:
        """The configuration in force."""
        return self.folded.state

    def put_config(self, folded: Folded) -> None:
        """Put a newer configuration in force.

        Raises:
          InvariantError: The configuration is older than the one in force.
        """
        old = self.folded.state
        invariants.revision_forward(old.revision, folded.state.revision)
        self.folded = folded
        if folded.state is old:
            return
        self.accounts_by_digest = {
            account.token_digest: account
            for account in folded.state.accounts.values()
        }
        self.operators_by_digest = {
            operator.token_digest: operator
            for operator in folded.state.operators.values()
        }

    def offer_config(self, folded: Folded) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        if folded.next_offset <= self.folded.next_offset:
            return False
        self.put_config(folded)
        return True

    def note_request(self, note: RequestNote) -> None:
        """Add a request; evict the oldest ones beyond the limit."""
        self.requests[note.request_id] = note
        while len(self.requests) > defaults.MAX_EXPLAINED_REQUESTS:
            self.requests.popitem(last=False)

    def snapshot(self) -> str:
        """Return a snapshot of the configuration as JSON."""
        return config_fold.snapshot(self.folded)
