"""Which agents relay the knowledge of the fleet, and to whom.

Any agent relays when it is asked to, so nothing has to be agreed: each process
ranks the agents of its failure domain by rendezvous hashing and reads from the
first one that answers.  Processes that see different fleets may use different
relays, which costs a few messages and breaks nothing.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from sequoiawind.forward_state import ForwardTarget

# Agents of a failure domain for each relay that is used at the same time.
AGENTS_PER_RELAY: Final = 24
# Relays of other failure domains that are tried after those of the own one.
OTHER_RELAYS: Final = 4


def agent_address(target: ForwardTarget, port: int) -> str:
    """Return the address of the agent beside a target."""
    return f"{target.address.rpartition(':')[0]}:{port}"


def has_agent(target: ForwardTarget) -> bool:
    """Whether a target may have an agent: only those that serve models do."""
    return bool(target.versions)


def ranked(
    targets: Iterable[ForwardTarget], domain: str
) -> list[ForwardTarget]:
    """Return the targets of a failure domain, the preferred relay first."""
    return sorted(
        (item for item in targets if item.domain == domain and has_agent(item)),
        key=lambda item: (xxh3_64_intdigest(item.address.encode()), item.name),
    )


def relay_count(targets: Iterable[ForwardTarget], domain: str) -> int:
    """Return how many relays of a failure domain are used at a time."""
    agents = sum(item.domain == domain and has_agent(item) for item in targets)
    return max(1, -(-agents // AGENTS_PER_RELAY))


def relays_for(
    reader: str, domain: str, targets: Sequence[ForwardTarget]
) -> list[ForwardTarget]:
    """Return the relays that a process may read from, preferred ones first.

    Args:
      reader: Name of the process; the readers of a failure domain with several
        relays begin with different ones.
      domain: Its failure domain.
      targets: The known targets.
    """
    own = ranked(targets, domain)
    count = relay_count(own, domain)
    if count > 1:
        first = xxh3_64_intdigest(reader.encode()) % count
        own = own[first:count] + own[:first] + own[count:]
    others = [item for item in targets if item.domain != domain]
    others = [item for item in others if has_agent(item)]
    others.sort(
        key=lambda item: xxh3_64_intdigest(f"{reader}/{item.address}".encode())
    )
    return own + others[:OTHER_RELAYS]
