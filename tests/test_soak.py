"""A few seeds of both soak runs, and one mutant."""

from testtools import TestCase

from sequoiawind.lab import forward_mutants, forward_soak, mutants, soak


class SoakTest(TestCase):
    """No promise is broken under random faults.

    The checks of counts guard against a soak whose requests or moves of runs
    mostly fail, and which therefore tests little.
    """

    def test_soak_finds_no_violation(self) -> None:
        for seed in range(20):
            violations, counts = soak.run_seed(seed)
            self.assertEqual([], violations, f"seed {seed}")
            self.assertTrue(counts["ended_done"] > 50, counts)

    def test_forwarding_soak_finds_no_violation(self) -> None:
        moved, sound = 0, 0
        for seed in range(5):
            violations, counts = forward_soak.run_seed(seed)
            self.assertEqual([], violations, f"seed {seed}")
            self.assertTrue(counts["forward_served"] > 100, counts)
            self.assertTrue(counts["silences"] > 5, counts)
            self.assertTrue(counts["crashes under a request"] > 5, counts)
            moved += counts.get("runs moved", 0)
            sound += counts["sound beside crashing, served"]
        self.assertTrue(moved > 10, moved)
        self.assertTrue(sound > 100, sound)

    def test_forwarding_soak_detects_a_mutant(self) -> None:
        # `make mutants` runs all mutants.
        (salts,) = [
            mutant
            for mutant in forward_mutants.MUTANTS
            if mutant.name == "salts have no version"
        ]
        seed, violation = mutants.find_violation(salts)
        self.assertTrue(seed >= 0)
        self.assertIn("cache-version", violation)
