"""Output pacing in simulated time: the line speed, the share of refreshes, the window."""

from __future__ import annotations

from cloverrouter.console.pace import STATUS_REQUEST, STATUS_TIMEOUT_S, Pacer

LINE_BYTES_PER_S = 960.0  # at 9,600 baud


def send(pacer: Pacer, now_s: float, refresh: bool, max_bytes: float = 1e9, final: bool = True) -> int:
    count = min(pacer.allowed(now_s, refresh), int(max_bytes))
    if count <= 0:
        return 0
    return count + len(pacer.sent(count, now_s, refresh, final))


def simulate(seconds: float, refresh: bool, answers: bool = True, delay_s: float = 0.1) -> int:
    """Send as much as allowed, with each status request answered after a delay; return the bytes sent."""
    pacer, total, replies_due = Pacer(LINE_BYTES_PER_S, 0.0), 0, list[float]()
    pacer.terminal_answers = answers
    for tick in range(int(seconds * 100)):
        now_s = tick / 100
        while replies_due and replies_due[0] <= now_s:
            replies_due.pop(0)
            pacer.confirmed()
        requested_s = pacer._requested_s
        total += send(pacer, now_s, refresh)
        if answers and pacer._requested_s != requested_s:
            replies_due.append(now_s + delay_s)
    return total


def test_output_stays_below_the_line_speed() -> None:
    for answers in (True, False):
        assert LINE_BYTES_PER_S * 0.7 < simulate(20, refresh=False, answers=answers) / 20 < LINE_BYTES_PER_S


def test_refreshes_take_a_quarter_of_the_line() -> None:
    assert 200 < simulate(20, refresh=True) / 20 < 300


def test_burst_is_bounded_to_limit_the_echo_delay() -> None:
    pacer = Pacer(LINE_BYTES_PER_S, 0.0)
    assert pacer.allowed(1000.0, refresh=False) <= LINE_BYTES_PER_S * 0.2


def test_terminal_that_stops_answering_gets_one_window_and_then_status_requests_only() -> None:
    pacer = Pacer(LINE_BYTES_PER_S, 0.0)
    send(pacer, 0.0, False)
    pacer.confirmed()
    total = 0
    for tick in range(6000):  # one minute
        now_s = 1 + tick / 100
        total += send(pacer, now_s, refresh=False)
        total += len(pacer.repeat_request(now_s))
    assert total <= LINE_BYTES_PER_S * 0.5 + 60 / STATUS_TIMEOUT_S * len(STATUS_REQUEST) + 1
    pacer.confirmed()  # the terminal reads again
    assert pacer.allowed(62.0, refresh=False) > 0


def test_output_resumes_after_a_lost_reply() -> None:
    pacer = Pacer(LINE_BYTES_PER_S, 0.0)
    send(pacer, 0.0, False)
    pacer.confirmed()
    now_s = 1.0
    while send(pacer, now_s, False) or now_s < 3:  # without any reply
        now_s += 0.05
    assert pacer.allowed(now_s + 5, False) == 0
    assert pacer.repeat_request(now_s + STATUS_TIMEOUT_S + 1) == STATUS_REQUEST
    pacer.confirmed()
    assert pacer.allowed(now_s + STATUS_TIMEOUT_S + 2, False) > 0


def test_terminal_that_never_answers_still_gets_output() -> None:
    assert simulate(10, refresh=True, answers=False) / 10 > 200


def test_wait_lasts_until_output_is_allowed() -> None:
    pacer = Pacer(LINE_BYTES_PER_S, 0.0)
    now_s = 0.0
    while send(pacer, now_s, False):
        pass
    pacer.confirmed()
    wait_s = pacer.wait_s(False)
    assert 0 < wait_s < 0.2 and pacer.allowed(now_s + wait_s + 0.001, False) > 0
