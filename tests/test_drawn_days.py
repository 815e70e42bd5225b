"""The generator of days for the platform's bench."""

import tomllib
import unittest

from rookwood.lab.drawn_days.__main__ import render
from rookwood.lab.drawn_days.drawing import (
    LONG_CUT_EVERY,
    LONGEST_DAY,
    SHORTEST_DAY,
    UnknownKindError,
    draw_day,
    kinds_named,
)
from rookwood.lab.drawn_days.templates import KINDS, LONG_CUT_SECONDS

LISTING = (
    "Each entry has 'at' and 'kind'. on: the class of machines.\n\n"
    + "\n".join(f"{kind.name}: what it does" for kind in KINDS)
    + "\n\nthese may come too:\n"
)
DAYS = 40


class KindsNamedTest(unittest.TestCase):
    """Reading the kinds that the bench names."""

    def test_every_kind_of_the_listing_is_found_once(self) -> None:
        self.assertEqual(kinds_named(LISTING + LISTING), KINDS)

    def test_kind_without_a_template_is_named(self) -> None:
        with self.assertRaises(UnknownKindError) as raised:
            kinds_named(LISTING + "sun_storm: everything falls silent\n")
        self.assertEqual(str(raised.exception), "sun_storm")


class DrawDayTest(unittest.TestCase):
    """What a series of drawn days holds."""

    def setUp(self) -> None:
        self.days = [draw_day(number, 5, KINDS) for number in range(DAYS)]

    def test_same_seed_draws_the_same_day(self) -> None:
        self.assertEqual(self.days, [draw_day(number, 5, KINDS) for number in range(DAYS)])

    def test_another_seed_draws_another_day(self) -> None:
        self.assertNotEqual(self.days[1], draw_day(1, 6, KINDS))

    def test_series_holds_every_kind(self) -> None:
        drawn = {entry.kind for day in self.days for entry in day.entries}
        self.assertEqual(drawn, {kind.name for kind in KINDS})

    def test_a_third_of_the_days_has_a_long_cut_with_races_inside(self) -> None:
        for number in range(0, DAYS, LONG_CUT_EVERY):
            with self.subTest(number=number):
                day = self.days[number]
                cuts = [entry for entry in day.entries if entry.kind == "core_cut"]
                long = [cut for cut in cuts if float(dict(cut.fields)["for_s"]) >= LONG_CUT_SECONDS.low]
                self.assertTrue(long)
                ends = long[0].at + LONG_CUT_SECONDS.low
                inside = [entry.kind for entry in day.entries if long[0].at < entry.at < ends]
                self.assertIn("config_race", inside)
                self.assertIn("config_change", inside)

    def test_days_have_their_bounds(self) -> None:
        for day in self.days:
            with self.subTest(day=day.name):
                self.assertTrue(SHORTEST_DAY <= day.seconds <= LONGEST_DAY)
                self.assertTrue(all(0 < entry.at < day.seconds for entry in day.entries))


class RenderTest(unittest.TestCase):
    """The text of a day file."""

    def test_text_reads_back_as_the_day(self) -> None:
        for number in range(DAYS):
            day = draw_day(number, 5, KINDS)
            (read,) = tomllib.loads(render(day))["day"]
            self.assertEqual(read["name"], day.name)
            self.assertEqual(read["length_s"], day.seconds)
            written = {entry.kind for entry in day.entries}
            self.assertEqual({entry["kind"] for entry in read["plan"] + read["faults"]}, written)


if __name__ == "__main__":
    unittest.main()
