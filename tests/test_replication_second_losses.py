"""Orders of losses, repairs and replacements: a subset of what `loss_orders` can run."""

import unittest
from collections.abc import Iterable
from itertools import islice

from rookwood.lab.loss_orders import LossOrder, Order, orders_of_three_losses, orders_of_two_losses

SYNC_SECONDS = 4.0
STEPS_ON_THREE = range(0, 120, 12)
STEPS_ON_FIVE = range(0, 160, 40)
EVERY = 11


class SecondLossTest(unittest.TestCase):
    """Acknowledged changes survive every order of losses; the group serves again wherever it must."""

    def play(self, orders: Iterable[Order], longest_repair: float) -> None:
        for order in orders:
            with self.subTest(order=order):
                course = LossOrder(order).play()
                if course.must_serve:
                    self.assertTrue(course.serves)
                    self.assertLess(course.repaired_after, longest_repair)

    def test_two_losses_on_three_machines(self) -> None:
        self.play(orders_of_two_losses(STEPS_ON_THREE), SYNC_SECONDS)

    def test_three_losses_on_five_machines(self) -> None:
        orders = islice(orders_of_three_losses(STEPS_ON_FIVE), 0, None, EVERY)
        self.play(orders, SYNC_SECONDS)
