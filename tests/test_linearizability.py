"""The check of linearizability: histories with an order, histories without, and every order tried beside."""

import itertools
import unittest
from collections.abc import Sequence
from random import Random

from rookwood.lab.configuration_register import (
    ChangeCall,
    ConfigurationRegister,
    ReadCall,
    Refused,
    RegisterAnswer,
    RegisterCall,
    Taken,
    TakenBefore,
    Value,
)
from rookwood.lab.linearizability import (
    History,
    Linearizable,
    NotLinearizable,
    Operation,
    Undecided,
    check_linearizable,
    describe,
)

RegisterOperation = Operation[RegisterCall, RegisterAnswer]
READ = ReadCall()
WRONG_ANSWERS: tuple[RegisterAnswer, ...] = (
    Value(0, None),
    Value(1, 1),
    Taken(1),
    TakenBefore(1),
    Refused(1),
)
RANDOM_HISTORIES = 1500
OPERATIONS_OF_A_RANDOM_HISTORY = 5


def answered(call: RegisterCall, began: int, ended: int, answer: RegisterAnswer) -> RegisterOperation:
    return Operation(call, began, answer, ended)


def unanswered(call: RegisterCall, began: int) -> RegisterOperation:
    return Operation(call, began)


class HistoryTestCase(unittest.TestCase):
    def assert_accepted(self, *operations: RegisterOperation) -> Linearizable:
        verdict = check_linearizable(ConfigurationRegister(), operations)
        assert isinstance(verdict, Linearizable), verdict
        return verdict

    def assert_rejected(self, *operations: RegisterOperation) -> NotLinearizable:
        verdict = check_linearizable(ConfigurationRegister(), operations)
        assert isinstance(verdict, NotLinearizable), verdict
        return verdict


class AcceptedTest(HistoryTestCase):
    def test_empty_history(self) -> None:
        self.assert_accepted()

    def test_calls_one_after_another(self) -> None:
        verdict = self.assert_accepted(
            answered(READ, 1, 2, Value(0, None)),
            answered(ChangeCall(7, 0), 3, 4, Taken(1)),
            answered(READ, 5, 6, Value(1, 7)),
            answered(ChangeCall(8, 0), 7, 8, Refused(1)),
        )
        self.assertEqual(verdict.order, (0, 1, 2, 3))

    def test_read_beside_a_change_sees_either(self) -> None:
        change = answered(ChangeCall(7, 0), 1, 4, Taken(1))
        self.assert_accepted(change, answered(READ, 2, 3, Value(0, None)))
        self.assert_accepted(change, answered(READ, 2, 3, Value(1, 7)))

    def test_unanswered_change_takes_effect_before_a_read(self) -> None:
        self.assert_accepted(unanswered(ChangeCall(7, 0), 1), answered(READ, 2, 3, Value(1, 7)))

    def test_unanswered_change_takes_effect_much_later(self) -> None:
        self.assert_accepted(
            unanswered(ChangeCall(7, 0), 1),
            answered(READ, 2, 3, Value(0, None)),
            answered(READ, 4, 5, Value(1, 7)),
        )

    def test_unanswered_change_never_takes_effect(self) -> None:
        self.assert_accepted(
            unanswered(ChangeCall(7, 0), 1),
            answered(ChangeCall(8, 0), 2, 3, Taken(1)),
            answered(READ, 4, 5, Value(1, 8)),
        )

    def test_change_sent_again_is_told_its_first_version(self) -> None:
        self.assert_accepted(
            unanswered(ChangeCall(7, 0), 1),
            answered(ChangeCall(8, 1), 2, 3, Taken(2)),
            answered(ChangeCall(7, 0), 4, 5, TakenBefore(1)),
            answered(READ, 6, 7, Value(2, 8)),
        )

    def test_wrong_first_guess_is_taken_back(self) -> None:
        self.assert_accepted(
            unanswered(ChangeCall(6, 0), 1),
            answered(ChangeCall(7, 0), 2, 9, Taken(1)),
            answered(READ, 3, 4, Value(0, None)),
            answered(READ, 5, 6, Value(1, 7)),
        )


class RejectedTest(HistoryTestCase):
    def test_stale_read(self) -> None:
        verdict = self.assert_rejected(
            answered(ChangeCall(7, 0), 1, 2, Taken(1)), answered(READ, 3, 4, Value(0, None))
        )
        self.assertEqual(verdict, NotLinearizable(explained=(0,), stuck=(1,)))

    def test_two_reads_in_the_wrong_order(self) -> None:
        self.assert_rejected(
            unanswered(ChangeCall(7, 0), 1),
            answered(READ, 2, 3, Value(1, 7)),
            answered(READ, 4, 5, Value(0, None)),
        )

    def test_two_changes_on_one_base(self) -> None:
        self.assert_rejected(
            answered(ChangeCall(7, 0), 1, 4, Taken(1)), answered(ChangeCall(8, 0), 2, 3, Taken(1))
        )

    def test_change_taken_twice(self) -> None:
        self.assert_rejected(
            answered(ChangeCall(7, 0), 1, 2, Taken(1)),
            answered(ChangeCall(8, 1), 3, 4, Taken(2)),
            answered(ChangeCall(7, 0), 5, 6, Taken(3)),
        )

    def test_unanswered_change_taken_twice(self) -> None:
        self.assert_rejected(
            unanswered(ChangeCall(7, 0), 1),
            answered(READ, 2, 3, Value(1, 7)),
            answered(ChangeCall(8, 1), 4, 5, Taken(2)),
            answered(ChangeCall(7, 0), 6, 7, Taken(3)),
        )

    def test_change_refused_and_in_force(self) -> None:
        self.assert_rejected(
            unanswered(ChangeCall(7, 0), 1),
            answered(READ, 2, 3, Value(1, 7)),
            answered(ChangeCall(7, 0), 4, 5, Refused(1)),
        )

    def test_change_told_as_taken_that_nobody_could_have_taken(self) -> None:
        self.assert_rejected(answered(ChangeCall(7, 0), 1, 2, TakenBefore(1)))

    def test_unanswered_change_seen_before_it_was_sent(self) -> None:
        self.assert_rejected(answered(READ, 1, 2, Value(1, 7)), unanswered(ChangeCall(7, 0), 3))

    def test_lost_change(self) -> None:
        self.assert_rejected(
            answered(ChangeCall(7, 0), 1, 2, Taken(1)),
            answered(ChangeCall(8, 0), 3, 4, Taken(1)),
        )


class LimitTest(unittest.TestCase):
    def test_search_that_ends_at_its_limit_is_undecided(self) -> None:
        operations = [answered(READ, 1, 2, Value(0, None)), answered(READ, 3, 4, Value(0, None))]
        self.assertEqual(check_linearizable(ConfigurationRegister(), operations, step_limit=1), Undecided(1))

    def test_many_concurrent_calls_are_decided_soon(self) -> None:
        count = 200
        changes = [answered(ChangeCall(i, i), 1 + i, 10_000 + i, Taken(i + 1)) for i in range(count)]
        reads = [answered(READ, 1000 + i, 20_000 + i, Value(i % count, None)) for i in (0,) * 50]
        pending = [unanswered(ChangeCall(1000 + i, i), 2000 + i) for i in range(20)]
        operations = [*changes, *reads, *pending]
        verdict = check_linearizable(ConfigurationRegister(), operations, step_limit=1_000_000)
        self.assertIsInstance(verdict, Linearizable)


class RecordedHistoryTest(unittest.TestCase):
    def test_begins_and_ends_are_in_the_order_of_their_recording(self) -> None:
        history: History[RegisterCall, RegisterAnswer] = History()
        first = history.begin(ChangeCall(7, 0))
        second = history.begin(READ)
        history.end(second, Value(0, None))
        history.end(first, Taken(1))
        self.assertEqual(
            history.operations(),
            (Operation(ChangeCall(7, 0), 1, Taken(1), 4), Operation(READ, 2, Value(0, None), 3)),
        )

    def test_withdrawn_call_must_not_have_had_an_effect(self) -> None:
        history: History[RegisterCall, RegisterAnswer] = History()
        history.withdraw(history.begin(ChangeCall(7, 0)))
        history.end(history.begin(READ), Value(1, 7))
        verdict = check_linearizable(ConfigurationRegister(), history.operations())
        assert isinstance(verdict, NotLinearizable)
        self.assertIn("at the start", describe(verdict, history.operations()))


class BruteForceTest(unittest.TestCase):
    """Small random histories, right and wrong, against trying every order of every subset."""

    def test_same_verdict_as_all_orders(self) -> None:
        random = Random(1)
        accepted = 0
        for _ in range(RANDOM_HISTORIES):
            operations = _random_history(random)
            verdict = check_linearizable(ConfigurationRegister(), operations)
            expected = _has_order(operations)
            accepted += expected
            self.assertIsInstance(verdict, Linearizable if expected else NotLinearizable, operations)
        self.assertGreater(accepted, RANDOM_HISTORIES // 10)
        self.assertLess(accepted, RANDOM_HISTORIES * 9 // 10)


def _random_history(random: Random) -> list[RegisterOperation]:
    """Play calls at one register in a random order, then perhaps spoil an answer."""
    model = ConfigurationRegister()
    state = model.initial()
    moments = sorted(random.sample(range(100), 3 * OPERATIONS_OF_A_RANDOM_HISTORY))
    operations: list[RegisterOperation] = []
    for index in range(OPERATIONS_OF_A_RANDOM_HISTORY):
        effect = moments[3 * index]
        call: RegisterCall = READ if random.random() < 0.4 else ChangeCall(random.randrange(3), len(state))
        if random.random() < 0.2:
            operations.append(unanswered(call, effect - random.randrange(30)))
            state = model.apply(state, call)[0] if random.random() < 0.5 else state
            continue
        state, answer = model.apply(state, call)
        if random.random() < 0.15:
            answer = random.choice(WRONG_ANSWERS)
        began, ended = effect - random.randrange(20), effect + random.randrange(1, 20)
        operations.append(answered(call, began, ended, answer))
    return operations


def _has_order(operations: Sequence[RegisterOperation]) -> bool:
    known = [index for index, operation in enumerate(operations) if operation.ended is not None]
    unknown = [index for index, operation in enumerate(operations) if operation.ended is None]
    for count in range(len(unknown) + 1):
        for chosen in itertools.combinations(unknown, count):
            for order in itertools.permutations([*known, *chosen]):
                if _explains([operations[index] for index in order]):
                    return True
    return False


def _explains(order: Sequence[RegisterOperation]) -> bool:
    model = ConfigurationRegister()
    state = model.initial()
    latest_begin = -1000
    for operation in order:
        latest_begin = max(latest_begin, operation.began)
        if operation.ended is not None and operation.ended < latest_begin:
            return False
        state, answer = model.apply(state, operation.call)
        if operation.ended is not None and answer != operation.answer:
            return False
    return True


if __name__ == "__main__":
    unittest.main()
