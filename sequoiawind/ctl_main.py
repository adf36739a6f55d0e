"""The program `sequoiawind-ctl`: the operators' shell command."""

import argparse
import json
import os
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, Final

import attrs

from sequoiawind import (
    command_line,
    config_fold,
    defaults,
    language,
    query,
    tokens,
    wire,
)
from sequoiawind.query import Answer

PURPOSE: Final = "Query the system and send commands to it."
TIMEOUT_S: Final = 10.0
WAIT_PAUSE_S: Final = 0.2


def main() -> None:
    """Run the program."""
    args = make_parser().parse_args()
    if args.action == "digest":
        print(tokens.token_digest(args.token))
    elif args.action == "publish":
        publish(args)
    else:
        statement(args)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = command_line.parser("sequoiawind-ctl", PURPOSE)
    actions = parser.add_subparsers(dest="action", required=True)
    run = actions.add_parser("run", help="run a statement at a router")
    run.add_argument("statement", nargs="+")
    run.add_argument(
        "--router",
        action="append",
        required=True,
        help="a router's host:port; repeat it to name fallback routers",
    )
    run.add_argument("--json", action="store_true", help="answer in JSON")
    run.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait until a command is in force on all daemons",
    )
    publish_parser = actions.add_parser(
        "publish", help="append the commands in a file to the log"
    )
    publish_parser.add_argument("file")
    publish_parser.add_argument("--log", required=True, help="host:port")
    digest = actions.add_parser("digest", help="print a token's digest")
    digest.add_argument("token")
    return parser


@attrs.define(kw_only=True)
class RouterClient:
    """Runs statements at the first router that answers."""

    routers: list[str]
    token: str

    def run(self, text: str) -> tuple[int, Any]:
        """Run a statement.

        Only a router that refuses the connection is skipped: a command that
        may have been accepted is not sent again.

        Returns:
          The HTTP status and the decoded answer.
        """
        for address in self.routers:
            try:
                return call(
                    f"http://{address}/admin/statements",
                    {"statement": text},
                    self.token,
                )
            except urllib.error.URLError as error:
                if not isinstance(error.reason, ConnectionRefusedError):
                    command_line.fail(f"{address}: {error.reason}")
        command_line.fail("no router can be reached")


def call(url: str, body: object, token: str = "") -> tuple[int, Any]:
    """Send a request in JSON; return its status and decoded answer."""
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def statement(args: argparse.Namespace) -> None:
    """Run a statement and print its answer."""
    client = RouterClient(
        routers=args.router, token=os.environ.get("SEQUOIAWIND_TOKEN", "")
    )
    status, body = client.run(" ".join(args.statement))
    if status != 200:
        message = body.get("message") or body.get("error", {}).get("message")
        command_line.fail(str(message))
    answer = wire.from_builtins(body, Answer)
    print(json.dumps(body) if args.json else query.format_answer(answer))
    if not answer.is_accepted:
        sys.exit(1)
    if args.wait > 0.0 and answer.message.startswith("accepted"):
        wait_in_force(client, answer.revision, args.wait)


def wait_in_force(client: RouterClient, revision: int, limit_s: float) -> None:
    """Wait until a revision is in force on all daemons.

    After the time limit the daemons without it are printed, and the program
    exits with status 1.
    """
    deadline_s = time.monotonic() + limit_s
    while True:
        _, body = client.run("show daemons")
        answer = wire.from_builtins(body, Answer)
        behind = daemons_behind(answer, revision)
        if not behind:
            print(f"in force on {answer.answered} daemons")
            return
        if time.monotonic() > deadline_s:
            command_line.fail(f"not yet in force on: {', '.join(behind)}")
        time.sleep(WAIT_PAUSE_S)


def daemons_behind(answer: Answer, revision: int) -> list[str]:
    """Return the daemons that have no such revision or did not answer."""
    name = answer.columns.index("name")
    column = answer.columns.index("revision")
    behind = [
        str(row[name]) for row in answer.rows if int(row[column]) < revision
    ]
    return behind + list(answer.missing)


def publish(args: argparse.Namespace) -> None:
    """Append the commands in a file to the log, one statement a line."""
    text = Path(args.file).read_text(encoding="utf-8")
    parsed = language.parse_changes(text)
    if parsed.is_error():
        command_line.fail(f"{args.file}: {parsed.error}")
    records = [
        config_fold.make_record(
            f"publish-{time.time_ns():x}-{number}",
            "publish",
            change.command,
            change.based_on,
        )
        for number, change in enumerate(parsed.ok)
    ]
    url = f"http://{args.log}/streams/{defaults.CONFIG_STREAM}/records"
    for start in range(0, len(records), defaults.MAX_RECORDS_PER_APPEND):
        batch = records[start : start + defaults.MAX_RECORDS_PER_APPEND]
        status, body = call(url, {"records": batch})
        if status != 200:
            command_line.fail(f"the log refused the commands: {body}")
    print(f"published {len(records)} commands")
