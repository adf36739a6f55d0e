"""Loading weights: slots on the log, the store, transfers, fencing."""

import random

from testtools import TestCase

from sequoiawind import wire
from sequoiawind.commands import Load, Set
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.rig import Rig, RigTarget
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.lab.weight_store import WeightStore
from sequoiawind.load_slots import SlotQueue, SlotRecord
from sequoiawind.state import State, Target
from tests.session import first_commands

ENGINES = ("e1", "e2", "e3")


def max_concurrent_loads(
    load_slots: int, pause_agent: str = ""
) -> tuple[int, int]:
    """Load weights on three engines.

    Args:
      load_slots: The number of concurrent loads that the pool allows.
      pause_agent: Agent to pause from 3 s to 20 s; none if empty.

    Returns:
      The largest number of concurrent loads, and how many engines have the
      new version.
    """
    rig = Rig(seed=3, parameters=EngineParameters(load_time_s=4.0))
    slots = Set(
        table="pools", name="engines", field="load_slots", value=load_slots
    )
    rig.configure(
        [*first_commands(), slots, Load(pool="engines", version="v2")]
    )
    for name in ENGINES:
        rig.add_target(RigTarget(name=name, pool="engines"))
    engines = [rig.agents[name].target for name in ENGINES]
    most_loads = 0
    for step in range(400):
        rig.advance_to(step * 0.1)
        most_loads = max(most_loads, sum(engine.loading for engine in engines))
        if pause_agent and step == 30:
            rig.agents[pause_agent].node.pause()
        if pause_agent and step == 200:
            rig.agents[pause_agent].node.resume()
    return most_loads, sum(engine.version == "v2" for engine in engines)


class SlotsTest(TestCase):
    """Concurrent weight loads are limited, and all engines get to load."""

    def test_one_at_a_time(self) -> None:
        self.assertEqual((1, 3), max_concurrent_loads(1))

    def test_two_at_a_time(self) -> None:
        self.assertEqual((2, 3), max_concurrent_loads(2))

    def test_paused_agent_delays_but_adds_no_load(self) -> None:
        for name in ENGINES:
            self.assertEqual((1, 3), max_concurrent_loads(1, pause_agent=name))

    def test_position_in_the_queue_only_moves_forward(self) -> None:
        queue = SlotQueue()
        state = State(targets={name: Target(name=name) for name in "abc"})
        for offset, (verb, target) in enumerate(
            (("want", "b"), ("want", "a"), ("want", "b"), ("want", "c"))
        ):
            record = SlotRecord(verb=verb, target=target)
            queue.fold(offset, wire.encode(record).decode())
        self.assertTrue(queue.may_load("b", state, 2))
        self.assertFalse(queue.may_load("c", state, 2))
        done = SlotRecord(verb="done", target="b")
        queue.fold(4, wire.encode(done).decode())
        self.assertTrue(queue.may_load("c", state, 2))


class WeightStoreTest(TestCase):
    """Loads beyond the number of free ones slow each other down."""

    def test_third_load_is_slower(self) -> None:
        clock = VirtualClock()
        store = WeightStore(clock=clock, free_loads=2)
        ended: list[float] = []
        for _ in range(3):
            store.load(4.0).addCallback(lambda _: ended.append(clock.seconds()))
        clock.advance_to(5.0)
        self.assertEqual([4.0, 4.0], ended)
        store.load(4.0).addCallback(lambda _: ended.append(clock.seconds()))
        clock.advance_to(20.0)
        self.assertEqual([4.0, 4.0, 6.0, 9.0], ended)


class TransferTest(TestCase):
    """Exported blocks are imported only by an engine of the same weights."""

    def engine(self, name: str) -> EngineModel:
        return EngineModel(
            name=name, clock=VirtualClock(), random=random.Random(1)
        )

    def test_export_and_import(self) -> None:
        one, two = self.engine("e1"), self.engine("e2")
        one.store([1, 2, 3], "salt")
        kept = one.export_blocks([1, 2, 9])
        self.assertEqual([1, 2], [item.block for item in kept])
        self.assertEqual(2, two.import_blocks(kept))
        self.assertEqual({1: "salt", 2: "salt"}, dict(two.cache))
        self.assertEqual(2 * 64 * 5e-6, two.transfer_s)

    def test_blocks_of_other_weights_are_refused(self) -> None:
        one, two = self.engine("e1"), self.engine("e2")
        one.store([1], "salt")
        two.version = "v2"
        self.assertEqual(0, two.import_blocks(one.export_blocks([1])))
        self.assertEqual({}, dict(two.cache))


class FencingTest(TestCase):
    """An engine that checks fencing numbers refuses an older one."""

    def engine(self, checks: bool) -> EngineModel:
        return EngineModel(
            name="e",
            clock=VirtualClock(),
            random=random.Random(1),
            parameters=EngineParameters(checks_fencing=checks),
        )

    def test_old_number_is_refused(self) -> None:
        engine = self.engine(checks=True)
        self.assertTrue(engine.order_version("v2", 7))
        self.assertFalse(engine.order_version("v1", 6))
        self.assertEqual("v2", engine.target_version)

    def test_engine_that_ignores_numbers_accepts_it(self) -> None:
        engine = self.engine(checks=False)
        self.assertTrue(engine.order_version("v2", 7))
        self.assertTrue(engine.order_version("v1", 6))
        self.assertEqual("v1", engine.target_version)
