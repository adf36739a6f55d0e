"""A short seeded run of the soak of stopping routers."""

from testtools import TestCase

from tests import soak_of_stops


class StopsTest(TestCase):
    """No promise is broken while routers stop and configurations change.

    The checks of counts guard against a soak that tests little.
    """

    def test_soak_of_stops_finds_no_violation(self) -> None:
        soak = soak_of_stops.run_seed(1, 12.0)
        self.assertEqual([], soak.violations, soak.counts)
        self.assertTrue(soak.counts["200"] > 10, soak.counts)
        self.assertTrue(soak.counts["stops"] > 1, soak.counts)
