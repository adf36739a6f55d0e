"""Mutants: the program with one mechanism broken at a time.

The soak run must report a violation for each of them; a check that cannot
fail proves nothing.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final
from unittest import mock

import attrs
from expression import Ok

from sequoiawind import (
    agent,
    claims,
    commands,
    config_fold,
    exchange,
    openai_format,
    prefix,
    retries,
    router,
)
from sequoiawind.blackboard import Blackboard
from sequoiawind.chunk_order import ChunkOrder
from sequoiawind.claimant import Claimant, ClaimStream
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.exchange_attempt import AttemptSink
from sequoiawind.lab import memory_network, soak
from sequoiawind.limits import AccountLimits
from sequoiawind.verdict import not_run

# Number of seeds after which a mutant counts as undetected.
MAX_SEEDS: Final = 20


@attrs.frozen(kw_only=True)
class Mutant:
    """One broken mechanism, and the soak run that must detect it."""

    name: str
    # The object and attribute to replace, and by what.
    owner: Any
    attribute: str
    replacement: Any
    # Runs one seed of that soak; returns its violations and counts.
    run_seed: Callable[[int], tuple[list[str], dict[str, int]]] = soak.run_seed

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Break the mechanism inside a `with` block."""
        with mock.patch.object(self.owner, self.attribute, self.replacement):
            yield


async def acquire_without_log(self: Claimant, claim: claims.Claim) -> Any:
    """Treat every claim as won."""
    return Ok(None)


async def never_read_back(
    self: Claimant, stream: ClaimStream, claim: Any, appended: Any
) -> bool:
    """Treat this router's claim as the first one without reading the log."""
    stream.table.entries[claim.key] = claims.ClaimEntry(
        claim=claim, offset=-1, time_s=0.0
    )
    return True


async def release_always(
    self: router.ActiveRequest, claim: claims.Claim, ended: Any
) -> None:
    """Release a claim even if its action may have run."""
    if ended.reply is not None:
        self.router.claimant.record_outcome(claim, ended.reply)
    else:
        await self.router.claimant.release(claim)
    self.finish(ended)


def take_any_chunk(self: ChunkOrder, index: int, data: bytes) -> list[bytes]:
    """Pass chunks on in the order of their arrival."""
    self.passed.append(data)
    self.expected = index + 1
    self.is_whole = data == openai_format.DONE
    return [data]


def take_foreign_chunk(
    self: AttemptSink, attempt_id: str, index: int, data: bytes
) -> None:
    """Accept chunks of other attempts."""
    if not self.is_over:
        self.exchange.take_chunk(index, data)


def always_answered(self: exchange.Exchange, ended: Any) -> bool:
    """Treat every end as the end of a complete answer."""
    return True


def never_refuse(self: agent.Agent, attempt: Any) -> None:
    """Admit work while draining."""


def lost_is_not_run(reason: Any, detail: str = "", retry: Any = None) -> Any:
    """Treat a lost connection as proof that nothing ran."""
    return not_run(reason, detail, retry)


def chain_without_salt(
    salt: str,
    prompt: bytes,
    block_bytes: int = 1024,
    limit: int = 256,
    original: Callable[..., list[int]] = prefix.chain,
) -> list[int]:
    """Hash blocks without account, model and version."""
    return original("", prompt, block_bytes, limit)


def offer_any(self: Blackboard, folded: Any) -> bool:
    """Accept any configuration, also an older one."""
    self.folded = folded
    return True


def apply_by_address(state: Any, record: Any) -> Any:
    """Make the fold depend on a memory address, so that processes differ."""
    if id(state) % 32 < 16:
        return config_fold.apply(commands.Admit(target="e0"), state)
    return Ok(state)


async def accept_unread(
    self: ConfigFollower, command: Any, actor: str, based_on: int = -1
) -> Any:
    """Report a command as accepted as soon as it has been sent."""
    record = config_fold.make_record(actor, actor, command, based_on)
    await self.log.append("config", [record])
    decision = config_fold.Decision(
        id=actor, offset=self.board.folded.next_offset + 1000
    )
    return Ok(decision)


def never_release(self: Any, account: str) -> None:
    """Never release an open request."""


MUTANTS: Final = (
    Mutant(
        name="claims are won without the log",
        owner=Claimant,
        attribute="acquire",
        replacement=acquire_without_log,
    ),
    Mutant(
        name="claims are not read back",
        owner=Claimant,
        attribute="read_back",
        replacement=never_read_back,
    ),
    Mutant(
        name="claims are released without proof",
        owner=router.ActiveRequest,
        attribute="close_claim",
        replacement=release_always,
    ),
    Mutant(
        name="may-have-run is retried for every kind",
        owner=retries,
        attribute="may_retry",
        replacement=lambda failure, is_idempotent: True,
    ),
    Mutant(
        name="chunks are passed on in the order of arrival",
        owner=ChunkOrder,
        attribute="take",
        replacement=take_any_chunk,
    ),
    Mutant(
        name="chunks of other attempts are taken",
        owner=AttemptSink,
        attribute="chunk",
        replacement=take_foreign_chunk,
    ),
    Mutant(
        name="an answer without its end counts as complete",
        owner=exchange.Exchange,
        attribute="is_answered",
        replacement=always_answered,
    ),
    Mutant(
        name="a lost connection counts as not run",
        owner=memory_network,
        attribute="may_have_run",
        replacement=lost_is_not_run,
    ),
    Mutant(
        name="a draining agent admits work",
        owner=agent.Agent,
        attribute="refusal",
        replacement=never_refuse,
    ),
    Mutant(
        name="block hashes have no salt",
        owner=prefix,
        attribute="chain",
        replacement=chain_without_salt,
    ),
    Mutant(
        name="a configuration may revert",
        owner=Blackboard,
        attribute="offer_config",
        replacement=offer_any,
    ),
    Mutant(
        name="commands count as accepted when sent",
        owner=ConfigFollower,
        attribute="submit",
        replacement=accept_unread,
    ),
    Mutant(
        name="the fold depends on the process",
        owner=config_fold,
        attribute="apply_record",
        replacement=apply_by_address,
    ),
    Mutant(
        name="limits are not released",
        owner=AccountLimits,
        attribute="release",
        replacement=never_release,
    ),
)


def find_violation(mutant: Mutant) -> tuple[int, str]:
    """Run seeds of a mutant's soak until one reports a violation.

    Returns:
      The seed and its first violation; -1 and an empty text if no seed
      reports one.
    """
    with mutant.applied():
        for seed in range(MAX_SEEDS):
            violations, _ = mutant.run_seed(seed)
            if violations:
                return seed, violations[0]
    return -1, ""
