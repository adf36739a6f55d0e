"""What the soak of rolling stops plays: its forms, requests and routers."""

import asyncio
from pathlib import Path

import attrs

GRACE_S = 8.0
# A cut is excused if a target is at work in the last sixth of the grace, on a
# request that was sent within a time after SIGTERM.
LAST_S, SENT_S = GRACE_S * 5 / 6, 3.0
# Time after SIGTERM in which a cut counts, in seconds.
WINDOW_S = GRACE_S + 1.0
# Time after its last byte until which a request may cross a close, in seconds.
CROSS_S = 0.2
ACCOUNTS = ("acme", "bolt", "crab", "dory")
ZONES = ("za", "zb", "zc")
ROUTER = """
store = "{store}"
[node]
name = "{name}"
ip = "{host}"
failure_domain = "{zone}"
agent_port = 7340
metrics_port = 9464
[bounds]
grace_s = 8.0
repeat_allowance = 58.0
[load]
account_limits = true
pace = true
admission = true
fairness = true
[entry]
callers = "{host}:8782"
ready = "{host}:8789"
[limits]
memory_mb = 300
max_fds = 4100
"""
AGENT = """
store = "{store}"
target = "{target}"
[node]
name = "{name}"
ip = "{host}"
failure_domain = "{zone}"
agent_port = 7340
metrics_port = 9464
"""


@attrs.frozen(kw_only=True)
class Form:
    """What callers and the operator do."""

    slots: int = 16
    callers: int = 60
    # Time between two newly named weights, in seconds; 0 for none.
    weights_s: float = 0.0
    # Shares of the requests.
    slow: float = 0.0
    # Pace of slow readers, in bytes a second.
    slow_bytes_per_s: float = 15_000.0
    halves: float = 0.1
    half_closed: float = 0.0
    # Share of the moves and streams that engines refuse for want of room.
    refusals: float = 0.0
    pauses: float = 0.0
    # Whether the agents are stopped in turn beside the routers.
    stops_agents: bool = False
    # Time between two SIGTERMs of a round, and between two rounds, in seconds.
    gap_s: float = 3.2
    round_s: float = 20.0
    # Range of the number of events of a stream.
    events: tuple[int, int] = (20, 300)
    event_bytes: int = 40
    # Whether callers take up a cut stream at another router.
    takes_up: bool = False
    # Times that callers have for a request, in seconds.
    deadlines_s: tuple[float, ...] = (15.0, 15.0, 6.0)
    # Longest pause of a caller between two requests, in seconds.
    rest_s: float = 0.5
    # Shares of the SIGTERMs beside which SIGHUP, or SIGTERM again, is sent.
    hups: float = 0.0
    repeats: float = 0.0


FORMS = {
    "plain": Form(),
    "weights": Form(weights_s=3.0),
    "full": Form(weights_s=3.0, slots=6),
    "slow": Form(slow=0.3, event_bytes=400),
    "pauses": Form(pauses=0.4),
    "refused-moves": Form(
        weights_s=2.0, slots=32, callers=50, refusals=0.5, events=(100, 400)
    ),
    "agents": Form(weights_s=4.0, stops_agents=True),
    "long": Form(events=(200, 450), slots=32),
    "slow-large": Form(slow=0.3, event_bytes=1_000, slow_bytes_per_s=30_000.0),
    "half-closed": Form(half_closed=0.2),
    "mixed": Form(weights_s=4.0, slots=10, slow=0.1, pauses=0.2),
    # Short streams and little else, as in the records of Petra.
    "sparse": Form(
        callers=10,
        events=(60, 90),
        takes_up=True,
        deadlines_s=(15.0, 15.0, 1.1),
        rest_s=1.0,
        gap_s=2.5,
        round_s=14.0,
        hups=0.3,
        repeats=0.3,
    ),
    "taken-up": Form(takes_up=True, deadlines_s=(15.0, 6.0, 1.1), hups=0.2),
    "taken-up-mixed": Form(
        takes_up=True,
        weights_s=4.0,
        slots=10,
        slow=0.2,
        event_bytes=400,
        pauses=0.2,
        gap_s=1.0,
        round_s=16.0,
        hups=0.2,
        repeats=0.2,
    ),
}


@attrs.define(kw_only=True, eq=False)
class Sent:
    """A request and what has become of it; times by the steady clock."""

    name: str
    route: str
    router: str
    shape: str
    deadline_s: float
    # When its first and its last byte were sent, and when its end was seen.
    began_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    # The request that began its stream, if it takes one up, and the last event
    # that its caller has got.
    resumes: str = ""
    last_event: int = 0
    # Whether an event was missing, or came twice.
    is_disordered: bool = False


@attrs.frozen(kw_only=True)
class Stop:
    """How a router has ended after SIGTERM."""

    router: str
    seconds: float
    # Its exit status; negative for the signal that has ended it.
    status: int


@attrs.define(kw_only=True, eq=False)
class Router:
    """A router process that is started again after each stop."""

    name: str
    host: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    stopped_s: list[float] = attrs.field(factory=list)
    misses: int = 0
