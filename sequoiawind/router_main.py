"""The program `sequoiawind-router`: builds a router from its settings."""

import random
import time
from functools import partial
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from sequoiawind import (
    command_line,
    http_client,
    http_ports,
    http_server,
    logs,
    settings,
)
from sequoiawind.admin import Admin
from sequoiawind.blackboard import Blackboard, RequestNote
from sequoiawind.claimant import Claimant
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.daemon import Daemon
from sequoiawind.exchange import Surroundings
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import AgentPort
from sequoiawind.limits import AccountLimits
from sequoiawind.metrics import RouterMetrics
from sequoiawind.options import RouterSettings
from sequoiawind.peers import (
    ConfigSeeker,
    DemandTeller,
    PeerClient,
    VmListWatcher,
)
from sequoiawind.router import Router
from sequoiawind.router_http import RouterHttp
from sequoiawind.verdict import Failure, Reason
from sequoiawind.wire import Ended

PURPOSE = "Route callers' requests to model engines and plain services."


def main() -> None:
    """Run the program."""
    parser = command_line.daemon_parser("sequoiawind-router", PURPOSE)
    args = parser.parse_args()
    loaded = settings.load(args.settings, RouterSettings)
    options = command_line.settings_or_exit(loaded)
    if not args.check_settings:
        run(options)


def run(options: RouterSettings) -> None:
    """Run a router until it has stopped."""
    logs.configure(options.logs)
    log = logs.get(options.router.name)
    reactor = http_server.reactor
    source = random.Random()
    client = http_client.make_client()
    board = Blackboard()
    board.limits = AccountLimits(routers=1 + len(options.peers.routers))
    router_metrics = RouterMetrics()
    log_port = http_ports.log_port(client, options.platform.log)
    claimant = Claimant(
        log=log_port,
        clock=reactor,
        random=source,
        owner=f"{options.router.name}.{source.getrandbits(32):08x}",
        on_step=lambda step: router_metrics.claims.labels(step).inc(),
    )
    around = Surroundings(
        clock=reactor,
        random=source,
        port=AgentPort(client=client, secret=options.peers.secret),
        members=board.members,
        budgets=board.budgets,
        on_retry=partial(count_retry, router_metrics),
    )
    router = Router(
        board=board,
        around=around,
        claimant=claimant,
        random=source,
        wall=time.time,
        on_end=partial(note_end, router_metrics, log),
        on_refusal=partial(count_refusal, router_metrics),
    )
    follower = ConfigFollower(
        board=board,
        log=log_port,
        clock=reactor,
        random=source,
        wall=time.time,
        retention_s=options.platform.log_retention_s,
    )
    json_client = JsonClient(client=client, secret=options.peers.secret)
    peers = PeerClient(json=json_client)
    admin = Admin(
        name=options.router.name,
        domain=options.router.failure_domain,
        board=board,
        follower=follower,
        claimant=claimant,
        clock=reactor,
        ask=peers.report,
        routers=[str(address) for address in options.peers.routers],
    )
    web = RouterHttp(
        router=router,
        admin=admin,
        board=board,
        metrics=router_metrics,
        clock=reactor,
        random=source,
        secret=options.peers.secret,
    )
    port = http_server.listen(web.app(), options.router.listen)
    daemon = Daemon(
        phase=board.phase,
        is_idle=lambda: router.open_requests == 0 and claimant.pending == 0,
        on_draining=lambda: stop_listening(port),
        balancer_wait_s=options.router.balancer_wait_s,
    )
    seeker = ConfigSeeker(
        peers=peers,
        board=board,
        clock=reactor,
        addresses=[*options.peers.routers, *options.peers.agents],
        on_found=daemon.ready,
    )
    teller = DemandTeller(
        name=options.router.name,
        peers=peers,
        board=board,
        clock=reactor,
        addresses=options.peers.routers,
    )
    controllers = [follower.run(), seeker.run(), teller.run()]
    if options.platform.vm_list is not None:
        watcher = VmListWatcher(
            json=json_client,
            address=options.platform.vm_list,
            board=board,
            clock=reactor,
            random=source,
        )
        controllers.append(watcher.run())
    with daemon:
        log.info("listening", address=str(options.router.listen))
        for controller in controllers:
            Deferred.fromCoroutine(controller)
        daemon.run()
    log.info("stopped")


def stop_listening(port: Any) -> None:
    """Accept no more connections."""
    port.stopListening()


def count_retry(metrics: RouterMetrics, reason: Reason) -> None:
    """Count a retry by its reason."""
    metrics.retries.labels(reason.value).inc()


def count_refusal(metrics: RouterMetrics, failure: Failure) -> None:
    """Count a refusal by its reason."""
    metrics.refusals.labels(failure.reason.value).inc()


def note_end(
    metrics: RouterMetrics,
    log: structlog.typing.FilteringBoundLogger,
    note: RequestNote,
    ended: Ended,
) -> None:
    """Count and log the end of a request."""
    metrics.requests.labels(note.kind, note.verdict).inc()
    metrics.prompt_tokens.inc(note.prompt_tokens)
    metrics.cached_tokens.inc(note.cached_tokens)
    if note.first_chunk_s >= 0.0:
        waited_s = note.first_chunk_s - note.began_s
        metrics.first_chunk.labels(note.kind).observe(waited_s)
    log.info(
        "request",
        request_id=note.request_id,
        account=note.account,
        kind=note.kind,
        target=note.path[-1] if note.path else "",
        attempts=len(note.path),
        verdict=note.verdict,
        reason=note.reason,
        seconds=round(note.ended_s - note.began_s, 4),
    )
