"""Bytes without end from the store, and from an engine to its agent.

A router with such a store has no configuration, so what is asked of it
afterwards is its metrics page.
"""

import time

from testtools import TestCase

from tests.crowds import (
    AGENT,
    MAX_FDS,
    MB,
    MEMORY_MB,
    ROUTER,
    STAY_S,
    Engine,
    Place,
    Program,
    ask,
)
from tests.test_unruly_clients_of_agents import BOUND_BYTES, METRICS

KINDS = ("noise", "field", "fields", "framing", "interim", "close", "chunks")


class EndlessBytesOfOthersTest(TestCase):
    """A router with little memory, and an agent."""

    def check(self, program: Program, port: int, bound: int) -> None:
        """Let a process meet the bytes for a while."""
        with program:
            self.assertEqual(b"200", ask(port, METRICS))
            time.sleep(STAY_S)
            self.assertEqual(None, program.process.poll())
            self.assertEqual(b"200", ask(port, METRICS))
        self.assertTrue(program.peak_bytes <= bound, program.peak_bytes)
        self.assertTrue(program.peak_fds <= MAX_FDS, program.peak_fds)

    def test_store_of_a_router(self) -> None:
        for kind in KINDS:
            shape = f"{kind} {200 * MB}"
            with Place() as place, Engine(api_shape=shape) as store:
                program = place.program(
                    ROUTER, "forward_router_main", store.address
                )
                port = place.ports["metrics"]
                self.check(program, port, MEMORY_MB * MB)

    def test_store_of_an_agent(self) -> None:
        for kind in KINDS:
            shape = f"{kind} {200 * MB}"
            with Place() as place, Engine(api_shape=shape) as store:
                program = place.program(
                    AGENT, "forward_agent_main", store.address
                )
                self.check(program, place.ports["metrics"], BOUND_BYTES)

    def test_engine_of_an_agent(self) -> None:
        for kind in KINDS:
            with Place() as place:
                place.engines["llm"].api_shape = f"{kind} {200 * MB}"
                program = place.program(AGENT, "forward_agent_main")
                self.check(program, place.ports["metrics"], BOUND_BYTES)
