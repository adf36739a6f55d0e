"""Command-line handling shared by the console programs."""

import argparse
import os
import sys
from collections.abc import Callable
from typing import Final, NoReturn, TypeVar

from expression import Result

from sequoiawind import VERSION, logs, memory_return, settings
from sequoiawind.settings import Fault

T = TypeVar("T")

# Environment variable that names the settings file.
SETTINGS_VARIABLE: Final = "SEQUOIAWIND_CONFIG"
# Exit status for an invalid command line or invalid settings.
EXIT_USAGE: Final = 2


def parser(name: str, purpose: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every program has."""
    result = argparse.ArgumentParser(prog=name, description=purpose)
    result.add_argument(
        "--version", action="version", version=f"{name} {VERSION}"
    )
    return result


def daemon_parser(name: str, purpose: str) -> argparse.ArgumentParser:
    """Return the parser of a program that reads a settings file."""
    result = parser(name, purpose)
    default = os.environ.get(SETTINGS_VARIABLE)
    result.add_argument(
        "settings",
        nargs="?" if default else None,
        default=default,
        help=f"the settings file, in TOML; default: ${SETTINGS_VARIABLE}",
    )
    result.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings file and exit",
    )
    return result


def run_daemon(
    name: str, purpose: str, kind: type[T], run: Callable[[T, str], None]
) -> None:
    """Read a program's command line and settings file, and run it.

    Once it has stopped, the process ends at once.

    Args:
      name: The program's name.
      purpose: What it does, for its help text.
      kind: The class of its settings.
      run: Runs it; called with its settings and the path of their file.
    """
    args = daemon_parser(name, purpose).parse_args()
    options = settings_or_exit(settings.load(args.settings, kind))
    if not args.check_settings:
        memory_return.give_back_early()
        run(options, args.settings)
        logs.end_process()


def settings_or_exit(loaded: Result[T, list[Fault]]) -> T:
    """Return loaded settings, or print their faults and exit."""
    if loaded.is_ok():
        return loaded.ok
    for fault in loaded.error:
        print(fault, file=sys.stderr)
    sys.exit(EXIT_USAGE)


def fail(text: str) -> NoReturn:
    """Print an error and exit with status 1."""
    print(text, file=sys.stderr)
    sys.exit(1)
