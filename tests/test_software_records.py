"""Routers that start learn which software versions have served before."""

import random

import structlog
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.blackboard import Blackboard
from sequoiawind.config_fold import Folded
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import Freshness
from sequoiawind.lab.memory_origin_log import MemoryOriginLog
from sequoiawind.lab.memory_software_log import MemorySoftwareLog
from sequoiawind.software_memory import SOFTWARE_MEMORY_S
from sequoiawind.software_records import FORGET_S, SoftwareRecords
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Verdict
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_software_versions import begin, make_rig

V1 = StreamOrigin(pool="llm", software="v1")
V2 = StreamOrigin(pool="llm", software="v2")


class StartTest(TestCase):
    """All routers are killed; others start and get streams of before."""

    def setUp(self) -> None:
        super().setUp()
        self.origins = MemoryOriginLog()
        self.software = MemorySoftwareLog(past=frozenset({V1}))

    def router(self, **software: str) -> ForwardRig:
        """Return a router that has just started."""
        rig = make_rig()
        rig.forwarder.origins.port = self.origins
        rig.forwarder.origins.software.port = self.software
        for name, version in software.items():
            rig.add(target(name, "llm", software=version))
        return rig

    def resume(self, rig: ForwardRig, stream: str = "s") -> FakeCaller:
        """Resume a stream after its second event; let its lookup end."""
        caller = rig.submit("draft", last_event_id="2", resumes=stream)
        rig.advance(0.6)
        return caller

    def check_refused(self, rig: ForwardRig) -> None:
        """Check that a stream is refused as not run."""
        failure = self.resume(rig).failure
        assert failure is not None
        self.assertEqual(Verdict.NOT_RUN, failure.verdict)
        self.assertEqual([], rig.port.sent)

    def check_goes_on_at(
        self, rig: ForwardRig, software: str, stream: str = "s"
    ) -> None:
        """Check that a stream goes on at a version."""
        self.resume(rig, stream)
        versions = [sent.order.target.software for sent in rig.port.sent]
        self.assertEqual([software], versions)

    def release(self, rig: ForwardRig) -> None:
        """Replace the targets of v1 by one of v2."""
        rig.add(target("new", "llm", software="v2"))
        rig.advance(2.5)
        for name in list(rig.fleet.views):
            if name != "new":
                rig.fleet.remove(name, rig.clock.seconds())
        rig.forwarder.origins.targets_changed()
        rig.advance(0.5)

    def test_stream_of_a_version_that_has_gone_is_refused(self) -> None:
        # Guards against a stream that goes on at the version that follows.
        first = self.router(e1="v1", e2="v1")
        begin(first, request_id="s")
        first.advance(1.0)
        self.release(first)
        for _ in range(3):
            self.check_refused(self.router(new="v2"))

    def test_streams_of_one_version_go_on_at_once(self) -> None:
        # Guards against refusals of all streams after a restart.
        first = self.router(e1="v1", e2="v1")
        begin(first, request_id="s")
        first.advance(1.0)
        self.check_goes_on_at(self.router(e1="v1", e2="v1"), "v1")

    def test_streams_from_before_a_release_go_on_at_their_version(self) -> None:
        # Guards against refusals while engines of both versions serve: none of
        # these streams was recorded when it began, as there was one version.
        first = self.router(e1="v1", e2="v1")
        begin(first, request_id="s")
        first.advance(1.0)
        first.add(target("new", "llm", software="v2"))
        first.advance(0.5)
        for _ in range(3):
            second = self.router(e1="v1", e2="v1", new="v2")
            self.check_goes_on_at(second, "v1")

    def test_records_that_are_not_whole_prove_nothing(self) -> None:
        # Guards against taking the first record of a router that has just
        # started beside those of an earlier release for all there was.
        self.software.past = None
        first = self.router(e1="v2")
        first.advance(1.0)
        self.assertEqual({V2}, self.software.origins)
        self.check_refused(self.router(e1="v2"))
        first.advance(SOFTWARE_MEMORY_S)
        self.assertTrue(self.software.is_whole)
        self.check_goes_on_at(self.router(e1="v2"), "v2")

    def test_earlier_targets_of_the_store_count(self) -> None:
        # Guards against forgetting a version that came and went before the
        # first router that records versions.
        self.check_refused(self.router(new="v2"))
        self.assertEqual({V1, V2}, self.software.origins)

    def test_nothing_is_proven_while_the_store_does_not_answer(self) -> None:
        first = self.router(e1="v1")
        first.advance(1.0)
        self.software.is_available = False
        second = self.router(e1="v1")
        self.check_refused(second)
        self.software.is_available = True
        second.advance(1.0)
        self.check_goes_on_at(second, "v1")

    def test_version_that_has_gone_long_ago_does_not_count(self) -> None:
        # Guards against refusals after a restart some time after a release.
        first = self.router(e1="v1", e2="v1")
        first.advance(1.0)
        begin(first, request_id="s")
        self.release(first)
        first.advance(FORGET_S + 1.0)
        self.assertEqual({V2}, self.software.origins)
        self.check_goes_on_at(self.router(new="v2"), "v2", "later")

    def test_version_that_returns_in_time_is_kept(self) -> None:
        first = self.router(e1="v1", e2="v1")
        first.advance(1.0)
        self.release(first)
        first.advance(FORGET_S - 5.0)
        first.add(target("e3", "llm", software="v1"))
        first.advance(FORGET_S)
        self.assertEqual({V1, V2}, self.software.origins)

    def test_record_that_another_router_deletes_is_written_again(self) -> None:
        # Guards against a router that deletes the record of a version in the
        # moment in which its first target returns.
        first = self.router(e1="v1", e2="v1")
        first.advance(1.0)
        self.release(first)
        first.add(target("e3", "llm", software="v1"))
        self.software.origins.discard(V1)
        first.advance(4.0)
        self.assertEqual({V1, V2}, self.software.origins)

    def test_records_that_a_copy_lacks_are_written_again(self) -> None:
        first = self.router(e1="v1", new="v2")
        first.advance(1.0)
        self.software.origins, self.software.is_whole = set(), False
        self.software.past, self.software.era = None, 1
        first.forwarder.origins.software.store_rewound(1)
        first.advance(0.5)
        self.assertEqual({V1, V2}, self.software.origins)

    def test_pools_whose_streams_nobody_resumes_cost_nothing(self) -> None:
        rig = self.router()
        kinds = {
            name: kind
            for name, kind in rig.board.state.kinds.items()
            if name != "draft"
        }
        rig.configure(state(3, kinds=kinds))
        rig.add(target("e1", "llm", software="v1"))
        rig.advance(1.0)
        self.assertEqual((0, 0), (self.software.reads, self.software.writes))


class ManyRoutersTest(TestCase):
    """The calls to the store at three hundred routers."""

    ROUTERS = 300

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.software = MemorySoftwareLog()
        self.routers = [self.router(number) for number in range(self.ROUTERS)]

    def router(self, number: int) -> SoftwareRecords:
        """Return the records as one of the routers keeps them."""
        freshness = Freshness(
            revoke_s=5.0, in_force_s=2.0, now=self.clock.seconds
        )
        board = Blackboard()
        board.put_config(Folded(state=state(), next_offset=2))
        return SoftwareRecords(
            port=self.software,
            board=board,
            fleet=Fleet(),
            freshness=freshness,
            clock=self.clock,
            log=structlog.get_logger(),
            random=random.Random(number),
        )

    def add(self, name: str, software: str) -> None:
        """Let all routers learn of a target at one moment."""
        for records in self.routers:
            records.fleet.set_routers(self.ROUTERS, self.clock.seconds())
            records.fleet.put(target(name, "llm", software=software))
            records.changed()

    def test_each_router_reads_once_and_few_write(self) -> None:
        # A store of a large fleet takes 2,000 reading and 400 writing calls a
        # second; the checks may use a tenth of that.
        for name, software in (("e1", "v1"), ("e2", "v2")):
            self.software.reads = self.software.writes = 0
            self.add(name, software)
            for _ in range(30):
                before = self.software.reads, self.software.writes
                self.clock.advance(0.1)
                self.assertTrue(self.software.reads - before[0] <= 40)
                self.assertTrue(self.software.writes - before[1] <= 4)
            self.assertTrue(self.software.reads <= 2 * self.ROUTERS)
            self.assertTrue(self.software.writes <= 4)
        self.assertEqual({V1, V2}, self.software.origins)
