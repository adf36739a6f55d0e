"""Metrics of load control, read from its parts at each scrape."""

from collections.abc import Callable, Iterator

import attrs
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from sequoiawind.load.controller import LoadController


@attrs.define(kw_only=True, eq=False)
class LoadCollector(Collector):
    """Describes what load control has decided and learned."""

    load: LoadController
    # Returns the time, in seconds of the clock.
    now: Callable[[], float]

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Return the metrics of the parts that are on."""
        yield self.account_tokens()
        yield self.target_factors()
        yield from self.admission()

    def account_tokens(self) -> CounterMetricFamily:
        """Return what the largest limited accounts have asked for."""
        family = CounterMetricFamily(
            "sequoiawind_account_tokens",
            "Tokens or requests of accounts with a rate limit, by outcome; the"
            " largest accounts by name.",
            labels=["account", "outcome"],
        )
        limits = self.load.limits
        figures = limits.figures() if limits is not None else {}
        for account, counts in figures.items():
            for outcome, value in attrs.asdict(counts).items():
                family.add_metric([account, outcome], value)
        return family

    def target_factors(self) -> GaugeMetricFamily:
        """Return the targets' times relative to the middle of their pools."""
        family = GaugeMetricFamily(
            "sequoiawind_target_factor",
            "Time of a target for some work relative to its pool's middle.",
            labels=["pool", "target"],
        )
        paces = self.load.paces
        pools = paces.pools if paces is not None else {}
        for name, pool in pools.items():
            for target, pace in pool.targets.items():
                family.add_metric([name, target], pace.factor)
        return family

    def admission(self) -> Iterator[GaugeMetricFamily]:
        """Return the errors of estimates and the refused part of the work."""
        errors = GaugeMetricFamily(
            "sequoiawind_estimate_error",
            "Factor by which estimates of the wait are usually wrong.",
            labels=["pool", "priority"],
        )
        shed = GaugeMetricFamily(
            "sequoiawind_refused_work",
            "Part of a pool's work that is refused for overload.",
            labels=["pool"],
        )
        admission, now_s = self.load.admission, self.now()
        pools = admission.pools if admission is not None else {}
        for name, pool in pools.items():
            shed.add_metric([name], pool.overload.shed)
            for priority, error in pool.errors.items():
                errors.add_metric([name, str(priority)], error.factor(now_s))
        yield errors
        yield shed
