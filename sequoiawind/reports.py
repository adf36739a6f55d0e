"""Reports of daemons on their own state, for operators' queries.

The rows of all daemons together are the tables of the operators' language.
"""

import attrs

from sequoiawind.agent import Agent
from sequoiawind.blackboard import Blackboard, RequestNote

Scalar = str | int | float | bool
Row = dict[str, Scalar]


@attrs.frozen(kw_only=True)
class DaemonReport:
    """The rows that one daemon adds to the operators' tables."""

    daemon: str
    # "router" or "agent".
    role: str
    domain: str
    phase: str
    revision: int
    # Offset of the next configuration record to read.
    next_offset: int
    # Rows by table.
    rows: dict[str, list[Row]] = attrs.field(factory=dict)


def agent_report(
    name: str, domain: str, agent: Agent, board: Blackboard
) -> DaemonReport:
    """Return the report of an agent."""
    return DaemonReport(
        daemon=name,
        role="agent",
        domain=domain,
        phase=board.phase.name,
        revision=board.state.revision,
        next_offset=board.folded.next_offset,
        rows={"targets": [agent_target_row(agent)]},
    )


def agent_target_row(agent: Agent) -> Row:
    """Return the row of an agent's target."""
    state = "running" if agent.queue.running else "warm"
    if agent.drain_reason:
        state = "draining"
    return {
        "name": agent.target,
        "state": state,
        "queue": agent.queue.queued,
        "running": len(agent.queue.running),
        "wait_s": round(agent.queue.wait_s(), 3),
        "blocks": len(agent.index.blocks),
        "gaps": agent.index.gaps,
        "fenced": agent.checks_fencing,
        "incarnation": agent.index.incarnation,
        "version": agent.version,
        "drained": agent.drain_reason,
    }


def router_report(
    name: str,
    domain: str,
    board: Blackboard,
    claim_rows: list[Row],
    now_s: float,
) -> DaemonReport:
    """Return the report of a router."""
    requests = [
        request_row(note, name, now_s) for note in board.requests.values()
    ]
    return DaemonReport(
        daemon=name,
        role="router",
        domain=domain,
        phase=board.phase.name,
        revision=board.state.revision,
        next_offset=board.folded.next_offset,
        rows={"requests": requests, "claims": claim_rows},
    )


def request_row(note: RequestNote, router: str, now_s: float) -> Row:
    """Return the row of a request that a router has handled."""
    end_s = note.ended_s if note.ended_s >= 0.0 else now_s
    first_s = -1.0
    if note.first_chunk_s >= 0.0:
        first_s = round(note.first_chunk_s - note.began_s, 4)
    return {
        "id": note.request_id,
        "router": router,
        "account": note.account,
        "route": note.route,
        "kind": note.kind,
        "state": note.state,
        "verdict": note.verdict,
        "reason": note.reason,
        "targets": ",".join(note.targets_tried),
        "attempts": len(note.targets_tried),
        "depth_blocks": note.depth_blocks,
        "holders": note.holders,
        "prompt_tokens": note.prompt_tokens,
        "cached_tokens": note.cached_tokens,
        "first_chunk_s": first_s,
        "age_s": round(end_s - note.began_s, 4),
    }
