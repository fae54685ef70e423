"""How many bytes may go out, in simulated time: the line's speed, the share of figures, the window."""

from __future__ import annotations

from cloverrouter.console.pace import ASK, ASK_AGAIN_S, Pace

LINE = 960.0  # bytes a second at 9,600 baud


def send(pace: Pace, now_s: float, steady: bool, most: float = 1e9, ends: bool = True) -> int:
    count = min(pace.allowed(now_s, steady), int(most))
    if count <= 0:
        return 0
    return count + len(pace.sent(count, now_s, steady, ends))


def play(seconds: float, steady: bool, answers: bool = True, delay_s: float = 0.1) -> int:
    """Send all that may be sent for a while, each status report answered after a delay."""
    pace, total, due = Pace(LINE, 0.0), 0, list[float]()
    pace.answers = answers
    for tick in range(int(seconds * 100)):
        now_s = tick / 100
        while due and due[0] <= now_s:
            due.pop(0)
            pace.answered()
        before = pace._asked_s
        total += send(pace, now_s, steady)
        if answers and pace._asked_s != before:
            due.append(now_s + delay_s)
    return total


def test_line_is_never_given_more_than_it_carries() -> None:
    for answers in (True, False):
        assert LINE * 0.7 < play(20, steady=False, answers=answers) / 20 < LINE


def test_moving_figures_take_a_quarter_of_the_line() -> None:
    assert 200 < play(20, steady=True) / 20 < 300


def test_no_burst_is_longer_than_a_key_may_wait() -> None:
    pace = Pace(LINE, 0.0)
    assert pace.allowed(1000.0, steady=False) <= LINE * 0.2


def test_terminal_that_stops_answering_gets_a_window_and_then_a_question_now_and_then() -> None:
    pace = Pace(LINE, 0.0)
    send(pace, 0.0, False)
    pace.answered()
    total = 0
    for tick in range(6000):  # a minute
        now_s = 1 + tick / 100
        total += send(pace, now_s, steady=False)
        total += len(pace.ask_again(now_s))
    assert total <= LINE * 0.5 + 60 / ASK_AGAIN_S * len(ASK) + 1
    pace.answered()  # it reads again
    assert pace.allowed(62.0, steady=False) > 0


def test_lost_answer_does_not_stop_the_screen_for_good() -> None:
    pace = Pace(LINE, 0.0)
    send(pace, 0.0, False)
    pace.answered()
    now_s = 1.0
    while send(pace, now_s, False) or now_s < 3:  # none of these is ever answered
        now_s += 0.05
    assert pace.allowed(now_s + 5, False) == 0
    assert pace.ask_again(now_s + ASK_AGAIN_S + 1) == ASK
    pace.answered()
    assert pace.allowed(now_s + ASK_AGAIN_S + 2, False) > 0


def test_terminal_that_never_answers_is_served_all_the_same() -> None:
    assert play(10, steady=True, answers=False) / 10 > 200


def test_wait_is_until_more_may_go() -> None:
    pace = Pace(LINE, 0.0)
    now_s = 0.0
    while send(pace, now_s, False):
        pass
    pace.answered()
    wait_s = pace.wait_s(False)
    assert 0 < wait_s < 0.2 and pace.allowed(now_s + wait_s + 0.001, False) > 0
