"""A reader of the feed that knows of no process to read from yet."""

from testtools import TestCase

from tests.test_feed import FeedRig


class StartTest(TestCase):
    """Relays are known from the targets' entries."""

    def test_relay_that_becomes_known_is_read_at_once(self) -> None:
        # Guards against a router that refuses requests after its start, as it
        # trusts its configuration only once a relay has answered.
        rig = FeedRig()
        relay = rig.add("e0", "d0")
        known: list[str] = []
        client = rig.start_router(lambda: known)
        rig.advance(0.05)
        known.append(relay.address)
        client.wake()
        rig.advance(0.02)
        self.assertTrue(client.has_replied)
        client.wake()
        rig.advance(2.0)
        self.assertTrue(client.is_live)
