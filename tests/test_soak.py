"""Short seeds of the soak run."""

from testtools import TestCase

from sequoiawind.lab import soak


class SoakTest(TestCase):
    """No promise is broken under random faults."""

    def test_seeds(self) -> None:
        for seed in range(20):
            violations, counts = soak.run_seed(seed)
            self.assertEqual([], violations, f"seed {seed}")
            self.assertTrue(counts["told_done"] > 50, counts)
