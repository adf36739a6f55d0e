"""The program `sequoiawind-standin`: serves one stand-in over HTTP."""

import argparse
import time
from typing import Final

import klein

from sequoiawind import (
    command_line,
    event_loop,
    http_client,
    http_server,
    settings,
)
from sequoiawind.http_client import JsonClient
from sequoiawind.lab import standin_http
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.standin_http import (
    EngineHttp,
    LogHttp,
    PlainHttp,
    VmListHttp,
    WeightsClient,
    WeightsHttp,
)
from sequoiawind.lab.weight_store import WeightStore

ROLES: Final = ("engine", "plain", "log", "vm-list", "weights")
LOAD_TIMEOUT_S: Final = 300.0
PURPOSE: Final = "Simulate an external system for tests and demos."


def main() -> None:
    """Serve the stand-in that the command line names, until stopped."""
    args = make_parser().parse_args()
    address = settings.parse_address(args.listen)
    if address is None:
        command_line.fail(f"{args.listen}: expected an address as host:port")
    http_server.listen(make_app(args), address)
    event_loop.reactor.run()


def make_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = command_line.parser("sequoiawind-standin", PURPOSE)
    parser.add_argument("role", choices=ROLES)
    parser.add_argument("--listen", required=True, help="host:port")
    parser.add_argument("--name", default="standin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cache-blocks", type=int, default=3000)
    parser.add_argument(
        "--step", type=float, default=0.010, help="step time in seconds"
    )
    parser.add_argument(
        "--prefill-token",
        type=float,
        default=50e-6,
        help="time to compute one prompt token, in seconds",
    )
    parser.add_argument(
        "--decode-sequence",
        type=float,
        default=0.4e-3,
        help="time that a sequence adds to a step, in seconds",
    )
    parser.add_argument("--weights", help="host:port of the weight store")
    parser.add_argument("--load-time", type=float, default=5.0)
    parser.add_argument("--free-loads", type=int, default=2)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--event-loss", type=float, default=0.0)
    parser.add_argument("--retention", type=float, default=86_400.0)
    parser.add_argument("--appends-per-second", type=float, default=300.0)
    return parser


def make_app(args: argparse.Namespace) -> klein.Klein:
    """Return the HTTP application of the stand-in for a role."""
    reactor = event_loop.reactor
    source = standin_http.make_random(args.seed)
    if args.role == "engine":
        engine = EngineModel(
            name=args.name,
            clock=reactor,
            random=source,
            parameters=EngineParameters(
                cache_blocks=args.cache_blocks,
                step_base_s=args.step,
                prefill_token_s=args.prefill_token,
                decode_sequence_s=args.decode_sequence,
                max_batch=args.max_batch,
                event_loss=args.event_loss,
                load_time_s=args.load_time,
            ),
        )
        # A restarted process has to report another incarnation.
        engine.starts = int(time.time() * 1000)
        if args.weights:
            json_client = JsonClient(
                client=http_client.make_client(), timeout_s=LOAD_TIMEOUT_S
            )
            engine.weights = WeightsClient(
                json=json_client, address=args.weights
            )
        return EngineHttp(engine=engine).app()
    if args.role == "plain":
        model = PlainModel(name=args.name, clock=reactor)
        return PlainHttp(model=model).app()
    if args.role == "log":
        log = LogModel(
            clock=reactor,
            random=source,
            retention_s=args.retention,
            appends_per_s=args.appends_per_second,
            epoch_s=time.time() - reactor.seconds(),
        )
        return LogHttp(model=log).app()
    if args.role == "weights":
        store = WeightStore(clock=reactor, free_loads=args.free_loads)
        return WeightsHttp(store=store).app()
    return VmListHttp().app()
