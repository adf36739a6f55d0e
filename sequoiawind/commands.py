"""Commands that change the configuration, and the records that carry them.

A command node is plain data: ``language`` parses it from operators' text, and
``config_fold`` applies it to the configuration.
"""

import attrs

from sequoiawind import defaults

Value = str | int | float | bool


@attrs.frozen(kw_only=True)
class Create:
    """Create an entry; rejected if it exists."""

    table: str
    name: str
    fields: dict[str, Value] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Set:
    """Set one field of an entry."""

    table: str
    name: str
    field: str
    value: Value


@attrs.frozen(kw_only=True)
class Delete:
    """Delete an entry; rejected while another refers to it."""

    table: str
    name: str


@attrs.frozen(kw_only=True)
class Drain:
    """Stop giving new work to a target."""

    target: str
    because: str


@attrs.frozen(kw_only=True)
class Admit:
    """Give new work to a drained target again."""

    target: str


@attrs.frozen(kw_only=True)
class Load:
    """Set the weights version that a pool should serve."""

    pool: str
    version: str


Command = Create | Set | Delete | Drain | Admit | Load

# Classes of commands by verb, and the reverse.
NODES: dict[str, type[Command]] = {
    "create": Create,
    "set": Set,
    "delete": Delete,
    "drain": Drain,
    "admit": Admit,
    "load": Load,
}
VERBS: dict[type[Command], str] = {node: verb for verb, node in NODES.items()}


@attrs.frozen(kw_only=True)
class CommandRecord:
    """A command as stored in the configuration stream."""

    # Unique; the sender looks up the decision on its command by it.
    id: str
    # Name of the operator.
    actor: str
    # Key of `NODES`.
    verb: str
    body: dict[str, object]
    # Revision that the command is based on; -1 for any.
    based_on: int = -1
    v: int = defaults.RECORD_VERSION
