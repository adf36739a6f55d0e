"""Parser of the operators' query and command language.

``parse`` turns a statement into a node: a query of this module or a command
of ``commands``.  A statement that cannot be parsed yields an error that
marks the place in the text.
"""

from importlib import resources
from typing import Any, Final

import attrs
import lark
from expression import Error, Ok, Result

from sequoiawind import commands
from sequoiawind.commands import Value

ENTITY_TABLES: Final = {
    "target": "targets",
    "account": "accounts",
    "operator": "operators",
    "route": "routes",
    "pool": "pools",
    "kind": "kinds",
    "policy": "policies",
}


@attrs.frozen(kw_only=True)
class Condition:
    """A test of one field of a row."""

    field: str
    operator: str
    value: Value


@attrs.frozen(kw_only=True)
class Show:
    """Show the rows of a table."""

    table: str
    where: tuple[Condition, ...] = ()
    count_by: str = ""
    order_by: str = ""
    is_descending: bool = False
    limit: int | None = None


@attrs.frozen(kw_only=True)
class ExplainRequest:
    """Show what happened to a request, and why."""

    request_id: str


@attrs.frozen(kw_only=True)
class SettleKey:
    """Record what an operator found out about a stuck key."""

    key: str
    # Whether the key's action ran.
    ran: bool
    because: str


@attrs.frozen(kw_only=True)
class Change:
    """A command, with the revision it is based on."""

    command: commands.Command
    # -1 for any.
    based_on: int = -1


Statement = Show | ExplainRequest | SettleKey | Change


@attrs.frozen(kw_only=True)
class SyntaxFault:
    """The place where a statement cannot be parsed."""

    text: str
    # Column of the fault, from 1.
    column: int
    expected: str

    def __str__(self) -> str:
        """Return the text with a mark below the fault."""
        mark = " " * (self.column - 1) + "^"
        return f"{self.text}\n{mark}\nexpected {self.expected}"


def make_parser() -> lark.Lark:
    """Return the parser of the grammar that ships with the package."""
    grammar = (
        resources.files("sequoiawind")
        .joinpath("language.lark")
        .read_text(encoding="utf-8")
    )
    return lark.Lark(grammar, parser="lalr", lexer="contextual")


def parse(text: str) -> Result[Statement, SyntaxFault]:
    """Parse one statement."""
    line = " ".join(text.split())
    try:
        tree = PARSER.parse(line)
        statement: Statement = NodeBuilder().transform(tree)
    except lark.UnexpectedInput as fault:
        return Error(syntax_fault(line, fault))
    return Ok(statement)


def parse_changes(text: str) -> Result[list[Change], str]:
    """Parse commands, one per line; skip empty lines and lines starting with #.

    Returns:
      The commands; or the number of the first faulty line and its fault.
    """
    changes: list[Change] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parsed = parse(line)
        if parsed.is_error():
            return Error(f"line {number}: {parsed.error}")
        if not isinstance(parsed.ok, Change):
            return Error(f"line {number}: not a command")
        changes.append(parsed.ok)
    return Ok(changes)


def parse_commands(text: str) -> list[commands.Command]:
    """Return the commands of a text that is known to be valid.

    Raises:
      ValueError: A line is not a command.
    """
    parsed = parse_changes(text)
    if parsed.is_error():
        raise ValueError(parsed.error)
    return [change.command for change in parsed.ok]


def syntax_fault(line: str, fault: lark.UnexpectedInput) -> SyntaxFault:
    """Return where and why a statement could not be parsed."""
    names: set[str] = set()
    column = fault.column
    if isinstance(fault, lark.UnexpectedCharacters):
        names = fault.allowed or names
    elif isinstance(fault, lark.UnexpectedToken):
        names = fault.accepts or fault.expected
        if fault.token.type == "$END":
            column = len(line) + 1
    expected = ", ".join(sorted(terminal_label(name) for name in names))
    return SyntaxFault(
        text=line, column=column, expected=expected or "nothing more"
    )


def terminal_label(terminal: str) -> str:
    """Return the name of a grammar terminal in error messages."""
    names = {
        "TABLE": "a table",
        "ENTITY": "target, account, operator, route, pool, kind or policy",
        "FIELD": "a field",
        "WORD": "a word",
        "NUMBER": "a number",
        "STRING": "a text in quotes",
        "INT": "a whole number",
        "SIGNED_INT": "a whole number",
        "OPERATOR": "a comparison",
        "FINDING": "ran or not run",
        "DIRECTION": "asc or desc",
        "$END": "the end",
        "EQUAL": "=",
        "COMMA": ",",
    }
    return names.get(terminal, terminal.lower())


class NodeBuilder(lark.Transformer[lark.Token, Any]):
    """Builds nodes from the parse tree; one method per grammar rule."""

    def start(self, items: list[Any]) -> Any:
        """Return the statement."""
        return items[0]

    def name(self, items: list[lark.Token]) -> str:
        """Return a name without quotes."""
        return str(items[0]).strip('"')

    def value(self, items: list[lark.Token]) -> Value:
        """Return a number, a truth value or a text without quotes."""
        token = items[0]
        if token.type == "NUMBER":
            return float(token) if "." in token else int(token)
        if token.type == "WORD" and token.lower() in ("true", "false"):
            return token.lower() == "true"
        return str(token).strip('"')

    def condition(self, items: list[Any]) -> Condition:
        """Return a condition."""
        return Condition(
            field=str(items[0]), operator=str(items[1]), value=items[2]
        )

    def where(self, items: list[Condition]) -> dict[str, Any]:
        """Return the conditions."""
        return {"where": tuple(items)}

    def count_by(self, items: list[lark.Token]) -> dict[str, Any]:
        """Return the field to count by."""
        return {"count_by": str(items[0])}

    def order_by(self, items: list[lark.Token]) -> dict[str, Any]:
        """Return the field and direction to order by."""
        is_descending = len(items) > 1 and items[1].lower() == "desc"
        return {"order_by": str(items[0]), "is_descending": is_descending}

    def limit(self, items: list[lark.Token]) -> dict[str, Any]:
        """Return the limit."""
        return {"limit": int(items[0])}

    def show(self, items: list[Any]) -> Show:
        """Return a query."""
        clauses: dict[str, Any] = {}
        for clause in items[1:]:
            clauses |= clause
        return Show(table=str(items[0]).lower(), **clauses)

    def explain(self, items: list[str]) -> ExplainRequest:
        """Return the query about a request."""
        return ExplainRequest(request_id=items[0])

    def because(self, items: list[lark.Token]) -> dict[str, Any]:
        """Return the reason of a command."""
        return {"because": str(items[0]).strip('"')}

    def based_on(self, items: list[lark.Token]) -> dict[str, Any]:
        """Return the revision that a command is based on."""
        return {"based_on": int(items[0])}

    def assignment(self, items: list[Any]) -> tuple[str, Value]:
        """Return a field and its value."""
        return str(items[0]), items[1]

    def drain(self, items: list[Any]) -> Change:
        """Return a drain command."""
        clauses = merge_clauses(items[1:])
        because = clauses.pop("because", "")
        node = commands.Drain(target=items[0], because=because)
        return Change(command=node, **clauses)

    def admit(self, items: list[Any]) -> Change:
        """Return an admit command."""
        node = commands.Admit(target=items[0])
        return Change(command=node, **merge_clauses(items[1:]))

    def reprioritise(self, items: list[Any]) -> Change:
        """Return a command that sets the priority of a kind."""
        node = commands.Set(
            table="kinds",
            name=items[0],
            field="priority",
            value=int(items[1]),
        )
        return Change(command=node, **merge_clauses(items[2:]))

    def set(self, items: list[Any]) -> Change:
        """Return a set command."""
        node = commands.Set(
            table=ENTITY_TABLES[items[1].lower()],
            name=items[2],
            field=str(items[0]),
            value=items[3],
        )
        return Change(command=node, **merge_clauses(items[4:]))

    def create(self, items: list[Any]) -> Change:
        """Return a create command."""
        pairs = [item for item in items[2:] if isinstance(item, tuple)]
        clauses = [item for item in items[2:] if isinstance(item, dict)]
        node = commands.Create(
            table=ENTITY_TABLES[items[0].lower()],
            name=items[1],
            fields=dict(pairs),
        )
        return Change(command=node, **merge_clauses(clauses))

    def delete(self, items: list[Any]) -> Change:
        """Return a delete command."""
        node = commands.Delete(
            table=ENTITY_TABLES[items[0].lower()], name=items[1]
        )
        return Change(command=node, **merge_clauses(items[2:]))

    def load(self, items: list[Any]) -> Change:
        """Return a load command."""
        node = commands.Load(version=items[0], pool=items[1])
        return Change(command=node, **merge_clauses(items[2:]))

    def settle(self, items: list[Any]) -> SettleKey:
        """Return an operator's finding about a key."""
        return SettleKey(
            key=items[0],
            ran=items[1].lower() == "ran",
            because=items[2]["because"],
        )


def merge_clauses(clauses: list[dict[str, Any]]) -> dict[str, Any]:
    """Merge clauses into one dictionary."""
    result: dict[str, Any] = {}
    for clause in clauses:
        result |= clause
    return result


PARSER: Final = make_parser()
