"""The observer behind the console: what it counts, and that it stays within bounds."""

from __future__ import annotations

from cloverrouter.control import book as books
from cloverrouter.control.book import Book
from cloverrouter.control.events import KEPT, Events
from cloverrouter.interface import Outcome, Why
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.observer import Final, Tried


class Asked(Call):
    def __init__(self, class_name: str = "a", request_id: bytes = b"r") -> None:
        self.class_name, self.request_id = class_name, request_id

    def served(self, answer: Answer) -> None: ...

    def refused(self, retry_after_ms: float) -> None: ...

    def failed(self) -> None: ...


CALL = Asked()


class Clock:
    ms = 0.0

    def __call__(self) -> float:
        return self.ms


def new() -> tuple[Book, Clock]:
    clock = Clock()
    return Book(["a"], clock, lambda text: None), clock


def test_failure_is_kept_with_each_attempt_and_why() -> None:
    book, _ = new()
    trail = [Tried("s-1", Outcome.RESET, 12.0), Tried("s-2", Outcome.ERROR, 30.0)]
    book.taken(Asked(request_id=b"id-1"))
    book.ended(Asked(request_id=b"id-1"), Final.FAILED, Why.MAY_HAVE_RUN, trail, 55.0)
    told = book.failures[0].told()
    assert told["request"] == "id-1" and told["why"] == Why.MAY_HAVE_RUN.value
    assert [(a["server"], a["outcome"]) for a in told["attempts"]] == [("s-1", "reset"), ("s-2", "error")]
    assert book.classes["a"].finals[Final.FAILED] == 1 and not book.refusals


def test_rates_are_over_the_last_seconds_and_fall_to_nothing() -> None:
    book, clock = new()
    for _ in range(20):
        for _ in range(10):
            book.taken(Asked())
            book.tried(CALL, Tried("s", Outcome.OK, 5.0), None)
            book.ended(Asked(), Final.SERVED, None, (), 5.0)
        clock.ms += 1000
        book.tick(["s"])
    clock.ms += 0.001
    assert abs(book.class_rates("a")["taken"] - 10) < 0.1
    assert abs(book.server_rates("s")[0] - 10) < 0.1
    for _ in range(6):
        clock.ms += 1000
        book.tick(["s"])
    assert book.class_rates("a")["served"] == 0 == book.server_rates("s")[0]


def test_what_is_not_the_servers_doing_is_no_failure_of_its() -> None:
    book, _ = new()
    for outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
        book.tried(CALL, Tried("s", outcome, 1.0), None)
    assert book.servers["s"].failed == 0
    book.tried(CALL, Tried("s", Outcome.TIMEOUT, 1.0), None)
    assert book.servers["s"].failed == 1


def test_nothing_grows_without_bound() -> None:
    book, clock = new()
    for i in range(3 * books.MOST_SERVERS):
        book.tried(CALL, Tried(f"s{i}", Outcome.OK, 1.0), (1.0,))
        book.taken(Asked(f"c{i}"))
        book.ended(Asked(f"c{i}"), Final.FAILED, None, (), 1.0)
        book.ended(Asked(f"c{i}"), Final.REFUSED, None, (), 1.0)
    assert len(book.servers) <= books.MOST_SERVERS
    assert len(book.classes) <= books.MOST_CLASSES + 1
    assert len(book.failures) == len(book.refusals) == books.KEPT
    for _ in range(books.RATE_SAMPLES + 1):
        clock.ms += 1000
        book.tick(["s2999"])
    assert set(book.servers) == {"s2999"}  # released servers' counts go


def test_events_are_numbered_and_a_gap_is_told() -> None:
    events = Events(lambda: 0.0)
    for i in range(KEPT + 100):
        events.add("module", {"text": str(i)})
    found, lost = events.since(0)
    assert len(found) == KEPT and lost == 100 and found[0]["seq"] == 101
    assert events.since(events.last) == ([], 0)
    found, lost = events.since(events.last - 3, 2)
    assert [e["seq"] for e in found] == [events.last - 1, events.last] and lost == 1
    # A number from before a restart lies ahead of what there is: all is told anew.
    assert len(events.since(10**6)[0]) == KEPT
