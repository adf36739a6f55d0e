"""Names and values that leave the processes, collected from the code.

Callers, targets, peers, stored records, settings files, metrics and operators
know them, so they stay when identifiers are renamed.
"""

import argparse
import ast
import enum
import re
import tomllib
import typing
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import msgspec
from prometheus_client.metrics import MetricWrapperBase

from sequoiawind import (
    cache_index,
    claims,
    command_line,
    commands,
    config_fold,
    ctl_main,
    http_ports,
    language,
    load_slots,
    members,
    metrics,
    options,
    peers,
    ports,
    query,
    reports,
    rollout,
    state,
    verdict,
    wire,
)
from sequoiawind.lab import (
    engine_model,
    experiment,
    load_main,
    standin_http,
    standin_main,
)
from sequoiawind.platform import (
    configuration,
    engine_wire,
    names,
    store,
    targets,
)

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "sequoiawind"

# Classes that are encoded by their fields, under the interface's name.
ENCODED: dict[str, type] = {
    "load report": wire.LoadReport,
    "attempt": wire.Attempt,
    "probe": wire.Probe,
    "probe answer": wire.ProbeAnswer,
    "attempt end": wire.Ended,
    "status of a forwarded target": wire.TargetStatus,
    "demand": wire.DemandMessage,
    "failure": verdict.Failure,
    "peer report": reports.DaemonReport,
    "operator's answer": query.Answer,
    "appended": http_ports.Appended,
    "log page": ports.LogPage,
    "VM list": peers.VmEntry,
    "cache events": cache_index.CacheEvents,
    "cache list": cache_index.CacheList,
    "command record": commands.CommandRecord,
    "snapshot": config_fold.Snapshot,
    "configuration": state.State,
    "claim record": claims.ClaimRecord,
    "slot record": load_slots.SlotRecord,
    "statement show": language.Show,
    "statement explain": language.ExplainRequest,
    "statement settle": language.SettleKey,
    "kept block": engine_model.ExportedBlock,
    "append": standin_http.AppendBody,
    "outcome of an experiment": experiment.Outcome,
    **{f"command {verb}": node for verb, node in commands.NODES.items()},
    **{f"claim {verb}": node for verb, node in claims.NODES.items()},
    **{f"table {name}": entry for name, entry in state.TABLES.items()},
    "platform configuration": configuration.ConfigRecord,
    "platform weights": configuration.WeightsRecord,
    "platform report": engine_wire.ReportRecord,
    "platform cache events": engine_wire.EventsRecord,
    "platform order": engine_wire.OrderRecord,
    "platform move": engine_wire.MoveRecord,
    "platform moved": engine_wire.MovedRecord,
    "platform store": store.NewestPage,
    "platform target": targets.TargetRecord,
}
SETTINGS: dict[str, type] = {
    "router": options.RouterSettings,
    "agent": options.AgentSettings,
    "forward router": options.ForwardRouterSettings,
    "forward agent": options.ForwardAgentSettings,
}
ENUMS = {
    "verdict": verdict.Verdict,
    "reason": verdict.Reason,
    "state of a VM": members.VmState,
    "state of a target": members.TargetState,
    "outcome of an order": rollout.OrderOutcome,
}
METRICS = {
    "router": metrics.RouterMetrics,
    "agent": metrics.AgentMetrics,
    "forward router": metrics.ForwardMetrics,
    "forward agent": metrics.ForwardAgentMetrics,
}
PARSERS = {
    "daemon": lambda: command_line.daemon_parser("daemon", ""),
    "ctl": ctl_main.make_parser,
    "load": load_main.make_parser,
    "standin": standin_main.make_parser,
}
LOG_METHODS = frozenset({"debug", "info", "warning", "error"})
# Headers, paths and topics, wherever they stand in the code.
FORMS = re.compile(
    r"X-[A-Za-z-]+|/[a-z][a-z0-9/<>_-]*|keyed\.[a-z]+|SEQUOIAWIND_[A-Z]+"
)
# Values that are written where no class or parser tells them.
WRITTEN = (
    *("starting", "serving", "leaving", "draining", "stopped"),
    *("append_refused", "void", "lost", "won", "abandoned", "released"),
    *("outcome", "unknown", "foreign", "repeated", "foreign_chunk"),
    *("resumed", "cancelled", "unanswered", "not sent", "moved", "not moved"),
    *("running", "ended", "started", "want", "done", "pending", "warm"),
    *("stuck", "router", "agent", "engine", "plain", "idempotent", "never"),
    *("viewer", "operator", "config", "config-snapshots", "claims-"),
    *("orders-", "after", "json", "console", "publish"),
)


def collect() -> list[str]:
    """Return every outer name with where it is used, sorted."""
    found = [
        *fields_of_classes("message", ENCODED),
        *fields_of_classes("settings", SETTINGS),
        *enum_values(),
        *metric_names(),
        *flags(),
        *grammar_words(),
        *platform_words(),
        *source_names(),
        *programs(),
    ]
    return sorted({f"{name}  # {where}" for name, where in found if name})


Found = Iterator[tuple[str, str]]


def fields_of_classes(what: str, classes: dict[str, type]) -> Found:
    """Yield the fields of encoded classes and of what they hold."""
    for label, cls in classes.items():
        for path, name in fields(cls, ()):
            yield name, " ".join((what, label, *path))


def fields(
    cls: type, path: tuple[str, ...]
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the path and name of each field of a class, at any depth."""
    if attrs.has(cls):
        own = [field.name for field in attrs.fields(cls)]
    elif issubclass(cls, msgspec.Struct):
        own = [field.encode_name for field in msgspec.structs.fields(cls)]
    else:
        return
    hints = typing.get_type_hints(cls)
    for name in own:
        yield path, name
        for part in parts(hints[name]):
            yield from fields(part, (*path, name))


def parts(hint: object) -> Iterable[type]:
    """Return the classes in a type."""
    if isinstance(hint, type) and not typing.get_args(hint):
        return () if hint is options.Address else (hint,)
    return [part for item in typing.get_args(hint) for part in parts(item)]


def enum_values() -> Found:
    """Yield the values of the enumerations that are written out."""
    kinds: dict[str, type[enum.Enum]] = dict(ENUMS)
    for label, kind in kinds.items():
        for member in kind:
            yield str(member.value), f"value of {label}"


def metric_names() -> Found:
    """Yield the metrics with their labels, and the values preset."""
    for label, cls in METRICS.items():
        made = cls()
        found = vars_of(made)
        for part in found[:]:
            if isinstance(part, metrics.FeedMetrics):
                found += vars_of(part)
        for metric in found:
            if not isinstance(metric, MetricWrapperBase):
                continue
            yield metric._name, f"metric {label}"
            for name in metric._labelnames:
                yield name, f"label of {metric._name} {label}"


def vars_of(made: object) -> list[object]:
    """Return the values of an object's fields."""
    return [getattr(made, field.name) for field in attrs.fields(type(made))]


def flags() -> Found:
    """Yield the options, actions and choices of the command lines."""
    for label, make in PARSERS.items():
        yield from flags_of(make(), f"command line {label}")


def flags_of(parser: argparse.ArgumentParser, where: str) -> Found:
    """Yield what a parser knows, its sub-parsers' too."""
    for action in parser._actions:
        for flag in action.option_strings:
            if flag not in ("-h", "--help"):
                yield flag, where
        choices = action.choices or ()
        for choice in choices:
            yield str(choice), where
        if isinstance(action, argparse._SubParsersAction):
            for name, child in action.choices.items():
                yield from flags_of(child, f"{where} {name}")


def grammar_words() -> Found:
    """Yield the words of the operators' language."""
    text = (PACKAGE / "language.lark").read_text(encoding="utf-8")
    for word in re.findall(r'"([a-z]+)"i?', text):
        yield word, "operators' language"
    for group in re.findall(r"/\(([a-z| ]+)\)", text):
        for word in group.split("|"):
            yield word, "operators' language"


def platform_words() -> Found:
    """Yield the names and words of the platform."""
    for name, value in vars(names).items():
        if not name.isupper():
            continue
        for item in value if isinstance(value, frozenset) else (value,):
            yield item.decode() if isinstance(item, bytes) else item, "platform"


def source_names() -> Found:
    """Yield what stands in the sources: keys, paths, headers, log fields."""
    constants: set[str] = set()
    for file in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            yield from keys_of(node)
            if isinstance(node, ast.Constant):
                value = node.value
                if isinstance(value, bytes):
                    value = value.decode("latin-1")
                if isinstance(value, str):
                    constants.add(value)
    for text in constants:
        for part in (text, text.partition("?")[0]):
            if FORMS.fullmatch(part):
                yield part, "path or header"
    for word in WRITTEN:
        if word in constants:
            yield word, "value"


def keys_of(node: ast.AST) -> Found:
    """Yield the keys that an expression writes or reads by name."""
    if isinstance(node, ast.Dict):
        for key in node.keys:
            yield text_of(key), "key"
    elif isinstance(node, ast.Subscript):
        yield text_of(node.slice), "key"
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
        if node.func.attr == "get" and node.args:
            yield text_of(node.args[0]), "key"
        owner = ast.unparse(node.func.value)
        if node.func.attr in LOG_METHODS and (
            "log" in owner and "logging" not in owner
        ):
            yield from log_fields(node)
    elif (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == "write"
    ):
        # The log's method, where the level depends on the outcome.
        yield from log_fields(node)


def log_fields(call: ast.Call) -> Found:
    """Yield the fields of a line that a call writes to the log."""
    for keyword in call.keywords:
        yield keyword.arg or "", "log field"


def text_of(node: ast.AST | None) -> str:
    """Return a constant text that can be a key; empty if it is none."""
    value = node.value if isinstance(node, ast.Constant) else None
    if not isinstance(value, str):
        return ""
    return value if re.fullmatch(r"[A-Za-z][A-Za-z0-9_.-]*", value) else ""


def programs() -> Found:
    """Yield the programs, and the modules and settings of the deploy file."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))
    for name in project["project"]["scripts"]:
        yield name, "program"
    system = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
    for role, entry in system["roles"].items():
        yield role, "role"
        yield entry["run"].rpartition(" ")[2], "module of the deploy file"
        yield entry["template"], "template of the deploy file"
        yield entry["metrics"], "page of the deploy file"
