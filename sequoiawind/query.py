"""Evaluates queries of the operators' language over rows.

The rows come from the configuration and from the daemons' reports; each
answer states how many daemons answered, and which did not.
"""

import operator
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.language import Condition, Show
from sequoiawind.members import Members
from sequoiawind.reports import DaemonReport, Row, Scalar
from sequoiawind.state import State

COMPARISONS: Final[Mapping[str, Callable[[Any, Any], bool]]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "contains": lambda have, part: str(part) in str(have),
}
# Tables whose rows come from the configuration alone.
CONFIG_TABLES: Final = ("accounts", "operators", "routes", "pools", "kinds")
SECRET_FIELDS: Final = frozenset({"token_digest"})


@attrs.frozen(kw_only=True)
class Answer:
    """The answer to an operator."""

    # Revision of the configuration that the answer is based on.
    revision: int
    # Number of daemons that were queried, and of those that answered.
    expected: int
    answered: int
    # Names or addresses of those that did not answer.
    missing: tuple[str, ...] = ()
    # Age of the oldest part of the answer, in seconds: time since the
    # configuration was last known to be current; negative if it never was.
    oldest_s: float = 0.0
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    # Result of a command, or why a query has no rows; else empty.
    message: str = ""
    # Whether a command was accepted; true for a query.
    is_accepted: bool = True


def table_rows(
    table: str,
    state: State,
    members: Members,
    reports: Sequence[DaemonReport],
    now_s: float,
) -> list[Row]:
    """Return all rows of a table."""
    if table in (*CONFIG_TABLES, "policies"):
        return config_rows(state, table)
    if table == "targets":
        return target_rows(state, members, reports, now_s)
    if table == "daemons":
        return [daemon_row(report) for report in reports]
    if table == "orders":
        return order_rows(state, reports)
    rows: list[Row] = []
    for report in reports:
        rows += report.rows.get(table, [])
    return rows


def config_rows(state: State, table: str) -> list[Row]:
    """Return the rows of a configuration table, without secrets."""
    rows: list[Row] = []
    for entry in state.table(table).values():
        row: Row = wire.to_builtins(entry)
        rows.append(
            {
                name: value
                for name, value in row.items()
                if name not in SECRET_FIELDS
            }
        )
    return rows


def target_rows(
    state: State,
    members: Members,
    reports: Sequence[DaemonReport],
    now_s: float,
) -> list[Row]:
    """Return the rows of the targets.

    They combine the configuration, this router's view and the reports of the
    targets' agents.  An agent's report takes precedence over this router's
    view, except that a target which is draining or stuck in that view is shown
    so.  A target whose agent did not answer is shown by this router's view, and
    as stuck unless it drains.
    """
    reported = rows_by_name(reports, "targets")
    rows: list[Row] = []
    for target in state.targets.values():
        health = members.health_of(target.name)
        agent_row = reported.get(target.name, {})
        state_name = members.state_of(target, now_s).value
        if state_name in ("warm", "running") and agent_row:
            state_name = str(agent_row["state"])
        if not agent_row:
            state_name = "stuck" if state_name != "draining" else state_name
        rows.append(
            {
                "name": target.name,
                "pool": target.pool,
                "state": state_name,
                "domain": target.domain,
                "queue": agent_row.get("queue", health.load.queued),
                "running": agent_row.get("running", health.load.running),
                "wait_s": agent_row.get("wait_s", health.load.wait_s),
                "blocks": agent_row.get("blocks", 0),
                "version": agent_row.get("version", health.load.version),
                "incarnation": agent_row.get("incarnation", ""),
                "agent": target.agent,
                "because": target.drained or agent_row.get("drained", ""),
                "reported": bool(agent_row),
            }
        )
    return rows


def order_rows(state: State, reports: Sequence[DaemonReport]) -> list[Row]:
    """Return the wanted and the served weights version of each target."""
    reported = rows_by_name(reports, "targets")
    rows: list[Row] = []
    for target in state.targets.values():
        pool = state.pools.get(target.pool)
        if pool is None or pool.service != "engine":
            continue
        agent_row = reported.get(target.name, {})
        serves = str(agent_row.get("version", "unknown"))
        rows.append(
            {
                "target": target.name,
                "pool": pool.name,
                "wanted": pool.version,
                "serves": serves,
                "state": "done" if serves == pool.version else "pending",
                "fenced": agent_row.get("fenced", "unknown"),
            }
        )
    return rows


def rows_by_name(reports: Sequence[DaemonReport], table: str) -> dict[str, Row]:
    """Return the reported rows of a table by name."""
    return {
        str(row["name"]): row
        for report in reports
        for row in report.rows.get(table, [])
    }


def daemon_row(report: DaemonReport) -> Row:
    """Return the row of a daemon."""
    return {
        "name": report.daemon,
        "role": report.role,
        "domain": report.domain,
        "phase": report.phase,
        "revision": report.revision,
        "next_offset": report.next_offset,
    }


def select(
    query: Show, rows: Iterable[Row]
) -> Result[tuple[tuple[str, ...], list[tuple[Scalar, ...]]], str]:
    """Apply a query's clauses to rows.

    Returns:
      The columns and the rows; or an error message.
    """
    kept = list(rows)
    columns = tuple(kept[0]) if kept else ()
    fault = unknown_field(query, columns) if kept else ""
    if fault:
        return Error(f"{query.table} have no field {fault!r}")
    for condition in query.where:
        kept = [row for row in kept if matches(condition, row)]
    if query.count_by:
        counts = Counter(row[query.count_by] for row in kept)
        columns = (query.count_by, "count")
        kept = [
            {query.count_by: value, "count": count}
            for value, count in counts.items()
        ]
    if query.order_by:
        kept.sort(
            key=lambda row: sort_key(row[query.order_by]),
            reverse=query.is_descending,
        )
    if query.limit is not None:
        kept = kept[: query.limit]
    return Ok((columns, [tuple(row[name] for name in columns) for row in kept]))


def unknown_field(query: Show, columns: Sequence[str]) -> str:
    """Return a field of a query that its table lacks; empty if none."""
    fields = [condition.field for condition in query.where]
    if query.count_by:
        fields.append(query.count_by)
        if query.order_by not in ("count", query.count_by, ""):
            return query.order_by
    elif query.order_by:
        fields.append(query.order_by)
    for field in fields:
        if field not in columns:
            return field
    return ""


def matches(condition: Condition, row: Row) -> bool:
    """Whether a row meets a condition.

    It does not if the types of the two values cannot be compared.
    """
    have = row[condition.field]
    want = condition.value
    if isinstance(have, str) and not isinstance(want, str):
        want = str(want)
    try:
        return COMPARISONS[condition.operator](have, want)
    except TypeError:
        return False


def sort_key(value: Scalar) -> tuple[int, float, str]:
    """Return a key that puts numbers before texts."""
    if isinstance(value, int | float):
        return (0, float(value), "")
    return (1, 0.0, value)


def format_answer(answer: Answer) -> str:
    """Return an answer as text; the last line states what it covers."""
    lines: list[str] = []
    if answer.message:
        lines.append(answer.message)
    if answer.columns:
        cells = [answer.columns, *answer.rows]
        texts = [[str(cell) for cell in row] for row in cells]
        widths = [
            max(len(row[index]) for row in texts)
            for index in range(len(answer.columns))
        ]
        for row in texts:
            padded = [
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ]
            lines.append("  ".join(padded).rstrip())
    lines.append(coverage(answer))
    return "\n".join(lines)


def coverage(answer: Answer) -> str:
    """Return the revision, the daemons covered and the age of an answer."""
    text = (
        f"revision {answer.revision}, {answer.answered} of "
        f"{answer.expected} daemons answered, oldest part "
        f"{answer.oldest_s:.1f} s"
    )
    if answer.missing:
        text += f", no answer from {', '.join(answer.missing)}"
    return text
