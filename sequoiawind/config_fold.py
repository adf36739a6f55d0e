"""The configuration as a fold over the records of its log stream.

``fold`` is a pure function of a state and a record, so all processes that
have read the same offsets hold the same state.  Every process skips records
that cannot be decoded or have an unknown version.  The latest decisions are
kept by command id, so that a sender can look up the result of its command.
"""

import hashlib
from collections.abc import Mapping
from functools import singledispatch
from typing import Any, Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import commands, defaults, wire
from sequoiawind.commands import CommandRecord
from sequoiawind.state import CHOICES, REFERENCES, TABLES, Entry, State

# A folded state keeps at most this many decisions, the latest ones.
DECISIONS_KEPT: Final = 512


@attrs.frozen(kw_only=True)
class Decision:
    """The result of a command: accepted, or rejected with a reason."""

    id: str
    offset: int
    # Empty if the command was accepted.
    rejection: str = ""


@attrs.frozen(kw_only=True)
class Folded:
    """A state, and the offset up to which the stream has been folded."""

    state: State = attrs.field(factory=State)
    # Offset of the next record to fold.
    next_offset: int = 0
    # The latest decisions, the oldest first.
    decisions: tuple[Decision, ...] = ()

    def decision(self, command_id: str) -> Decision | None:
        """Return the decision on a command; None if none is kept."""
        for decision in reversed(self.decisions):
            if decision.id == command_id:
                return decision
        return None


def fold(folded: Folded, offset: int, data: str) -> Folded:
    """Apply one record to a folded state.

    A record that cannot be decoded, or whose command has been decided already,
    changes only the next offset.

    Args:
      folded: The state before the record.
      offset: The record's offset.
      data: The record as stored.

    Returns:
      The state after the record.
    """
    skipped = attrs.evolve(folded, next_offset=offset + 1)
    record = parse_record(data)
    if record is None or folded.decision(record.id) is not None:
        return skipped
    result = apply_record(folded.state, record)
    rejection = result.swap().default_value("")
    state = folded.state
    if result.is_ok():
        state = attrs.evolve(result.ok, revision=offset)
    decision = Decision(id=record.id, offset=offset, rejection=rejection)
    return Folded(
        state=state,
        next_offset=offset + 1,
        decisions=(*folded.decisions, decision)[-DECISIONS_KEPT:],
    )


def parse_record(data: str) -> CommandRecord | None:
    """Decode a record; None if it is malformed or of an unknown version."""
    try:
        record = wire.decode(data, CommandRecord)
    except wire.WireError:
        return None
    if record.v != defaults.RECORD_VERSION:
        return None
    return record


def make_record(
    command_id: str, actor: str, command: commands.Command, based_on: int = -1
) -> str:
    """Return a command as an encoded log record."""
    record = CommandRecord(
        id=command_id,
        actor=actor,
        verb=commands.VERBS[type(command)],
        body=wire.to_builtins(command),
        based_on=based_on,
    )
    return wire.encode(record).decode()


def apply_record(state: State, record: CommandRecord) -> Result[State, str]:
    """Apply a record to a state, or return why it is rejected."""
    if record.based_on not in (-1, state.revision):
        return Error(
            f"based on revision {record.based_on}, but the configuration is "
            f"at {state.revision}"
        )
    node = commands.NODES.get(record.verb)
    if node is None:
        return Error(f"unknown command {record.verb!r}")
    try:
        command = wire.from_builtins(record.body, node)
    except wire.WireError as error:
        return Error(f"malformed {record.verb}: {error}")
    return apply(command, state)


@singledispatch
def apply(command: object, state: State) -> Result[State, str]:
    """Apply a command to a state, or return why it is rejected."""
    raise TypeError(f"cannot apply a {type(command).__name__}")


@apply.register
def _(command: commands.Create, state: State) -> Result[State, str]:
    if command.table not in TABLES:
        return Error(f"no table {command.table!r}")
    if command.name in state.table(command.table):
        return Error(f"{command.table} {command.name!r} already exists")
    fields = {**command.fields, "name": command.name}
    return build_entry(command.table, fields).bind(
        lambda entry: put_entry(state, command.table, entry)
    )


@apply.register
def _(command: commands.Set, state: State) -> Result[State, str]:
    found = find_entry(state, command.table, command.name)
    if found.is_error():
        return Error(found.error)
    fields = attrs.asdict(found.ok)
    if command.field not in fields or command.field == "name":
        return Error(f"{command.table} have no field {command.field!r}")
    fields[command.field] = command.value
    return build_entry(command.table, fields).bind(
        lambda entry: put_entry(state, command.table, entry)
    )


@apply.register
def _(command: commands.Delete, state: State) -> Result[State, str]:
    found = find_entry(state, command.table, command.name)
    if found.is_error():
        return Error(found.error)
    user = referrer(state, command.table, command.name)
    if user:
        return Error(f"{command.name!r} is used by {user}")
    table = dict(state.table(command.table))
    del table[command.name]
    return Ok(replace_table(state, command.table, table))


@apply.register
def _(command: commands.Drain, state: State) -> Result[State, str]:
    reason = command.because or "by an operator"
    change = commands.Set(
        table="targets", name=command.target, field="drained", value=reason
    )
    return apply(change, state)


@apply.register
def _(command: commands.Admit, state: State) -> Result[State, str]:
    change = commands.Set(
        table="targets", name=command.target, field="drained", value=""
    )
    return apply(change, state)


@apply.register
def _(command: commands.Load, state: State) -> Result[State, str]:
    change = commands.Set(
        table="pools",
        name=command.pool,
        field="version",
        value=command.version,
    )
    return apply(change, state)


def find_entry(state: State, table: str, name: str) -> Result[Entry, str]:
    """Return an entry, or an error message if it does not exist."""
    if table not in TABLES:
        return Error(f"no table {table!r}")
    entry = state.table(table).get(name)
    if entry is None:
        return Error(f"{table} {name!r} does not exist")
    return Ok(entry)


def build_entry(table: str, fields: Mapping[str, object]) -> Result[Entry, str]:
    """Build an entry from its fields, or return an error message."""
    known = {field.name for field in attrs.fields(TABLES[table])}
    unknown = sorted(set(fields) - known)
    if unknown:
        return Error(f"{table} have no field {unknown[0]!r}")
    for field, value in fields.items():
        choices = CHOICES.get((table, field))
        if choices is not None and value not in choices:
            return Error(f"{field} is one of {', '.join(sorted(choices))}")
    try:
        return Ok(wire.from_builtins(dict(fields), TABLES[table]))
    except wire.WireError as error:
        return Error(str(error))


def put_entry(state: State, table: str, entry: Entry) -> Result[State, str]:
    """Return a state with an entry added or replaced.

    An entry that refers to a missing entry yields an error message.
    """
    for field, other in REFERENCES.get(table, {}).items():
        name = getattr(entry, field)
        if name and name not in state.table(other):
            return Error(f"{other} {name!r} does not exist")
    return Ok(
        replace_table(state, table, {**state.table(table), entry.name: entry})
    )


def referrer(state: State, table: str, name: str) -> str:
    """Return the first entry found that refers to the given one.

    Returns:
      The table and name of that entry; empty if there is none.
    """
    for user_table, fields in REFERENCES.items():
        for field, target_table in fields.items():
            if target_table != table:
                continue
            for user in state.table(user_table).values():
                if getattr(user, field) == name:
                    return f"{user_table} {user.name!r}"
    return ""


def replace_table(
    state: State, table: str, entries: Mapping[str, Entry]
) -> State:
    """Return a state with one table replaced."""
    changes: dict[str, Any] = {table: entries}
    return attrs.evolve(state, **changes)


def digest(state: State) -> str:
    """Return the SHA-256 digest of a state, in hexadecimal.

    Two states have the same digest exactly if they are equal.
    """
    return hashlib.sha256(wire.encode(state)).hexdigest()


def snapshot(folded: Folded) -> str:
    """Return a snapshot as JSON: the folded state and its digest."""
    body = Snapshot(folded=folded, digest=digest(folded.state))
    return wire.encode(body).decode()


def restore(data: str | bytes) -> Folded | None:
    """Decode a snapshot; None if it is damaged or of an unknown version."""
    try:
        body = wire.decode(data, Snapshot)
    except wire.WireError:
        return None
    return verify_snapshot(body)


def verify_snapshot(body: "Snapshot") -> Folded | None:
    """Return the folded state in a decoded snapshot.

    Returns:
      The folded state; None if the snapshot's version is unknown or its digest
      does not match.
    """
    if body.v != defaults.RECORD_VERSION:
        return None
    if digest(body.folded.state) != body.digest:
        return None
    return body.folded


@attrs.frozen(kw_only=True)
class Snapshot:
    """A folded state as stored in the log, with a digest to detect damage."""

    folded: Folded
    digest: str
    v: int = defaults.RECORD_VERSION
