"""Formats the proxy's answers as lines of plain ASCII text, for the console, `ctl` and plain mode."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

from cloverrouter.seams import Json

WIDTH = 79  # the last column stays free: some terminals wrap when it is written


def printable(value: object) -> str:
    """Return the value as printable ASCII; other characters become question marks.

    Names come from outside: an escape sequence in one must not reach the operator's terminal.
    """
    return "".join(c if " " <= c <= "~" else "?" for c in str(value))


def format_duration(seconds: float) -> str:
    """Return a duration in a few characters: 9s, 12m, 3h05, 4d02."""
    whole = int(max(0.0, seconds))
    if whole < 100:
        return f"{whole}s"
    if whole < 6000:
        return f"{whole // 60}m"
    if whole < 86_400:
        return f"{whole // 3600}h{whole % 3600 // 60:02d}"
    return f"{whole // 86_400}d{whole % 86_400 // 3600:02d}"


def format_rate(value: float) -> str:
    """Return a rate with one decimal if it is below ten."""
    return f"{value:.1f}" if value < 9.95 else f"{value:.0f}"


def format_time(at_ms: float) -> str:
    """Return the local time of day of a Unix time in milliseconds."""
    return time.strftime("%H:%M:%S", time.localtime(at_ms / 1000))


def fit_left(text: object, width: int) -> str:
    """Return the text cut or padded to the width, left-aligned; `~` marks a cut."""
    shown = printable(text)
    return shown.ljust(width) if len(shown) <= width else shown[: width - 1] + "~"


def fit_right(text: object, width: int) -> str:
    """Return the text cut or padded to the width, right-aligned; `~` marks a cut."""
    shown = printable(text)
    return shown.rjust(width) if len(shown) <= width else shown[: width - 1] + "~"


def summary(status: Json) -> str:
    """Return one line with server counts, queues and request rates."""
    rates, servers = status["rates"], status["servers"]
    return (
        f"able {servers['healthy']}/{servers['listed']} drained {servers['drained']}"
        f" | open {status['open']} held {status['held']}"
        f" | /s: in {format_rate(rates.get('taken', 0))} ok {format_rate(rates.get('served', 0))}"
        f" refused {format_rate(rates.get('refused', 0))} failed {format_rate(rates.get('failed', 0))}"
    )


SERVERS_HEADER = "SERVER       STATE    WHY         OUT/LIM  PAY    MS  OK/s BAD/s REPORT     AGE"


def server_reason(server: Json, now_ms: float) -> str:
    """Return the reason of the state: a drain's remaining time or operator, or the balancer's condition."""
    drain = server["drain"]
    if drain is None:
        return str(server["condition"])
    if drain["until_ms"] is not None:
        return f"{format_duration((drain['until_ms'] - now_ms) / 1000)} left"
    return f"by {drain['by']}".partition(" (")[0]


def server_line(server: Json, now_ms: float) -> str:
    """Return the row of one server."""
    report = server["report"] or {}
    report_text = " ".join(f"{name[0]}{value:.0f}" for name, value in list(report.items())[:2])
    age = server["report_age_s"]
    state = {"drained+absent": "dr+abs", "drained+leaving": "dr+leav"}.get(server["state"], server["state"])
    in_flight = f"{server['in_flight']}/{server['limit']:.0f}" if "limit" in server else "-"
    return " ".join(
        (
            fit_left(server["server"], 12),
            fit_left(state, 8),
            fit_left(server_reason(server, now_ms), 11),
            fit_right(in_flight, 7),
            fit_right(f"{server['payoff']:.2f}" if "payoff" in server else "-", 4),
            fit_right(f"{server['latency_ms']:.0f}" if "latency_ms" in server else "-", 5),
            fit_right(format_rate(server["served_s"]), 5),
            fit_right(format_rate(server["failed_s"]), 5),
            fit_left(report_text, 9),
            fit_right("-" if age is None else format_duration(age), 4),
        )
    )


LOAD_HEADER = "CLASS                  IN/s   OK/s REFUSED/s FAILED/s GONE/s     MS     TAKEN"


def load_lines(load: Json) -> list[str]:
    """Return a row for each class, each followed by the reasons of unserved requests."""
    lines = []
    for class_load in load["classes"]:
        rates = class_load["rates"]
        lines.append(
            " ".join(
                (
                    fit_left(class_load["class"], 20),
                    fit_right(format_rate(rates["taken"]), 6),
                    fit_right(format_rate(rates["served"]), 6),
                    fit_right(format_rate(rates["refused"]), 9),
                    fit_right(format_rate(rates["failed"]), 8),
                    fit_right(format_rate(rates["gone"]), 6),
                    fit_right(f"{class_load['served_ms']:.0f}", 6),
                    fit_right(class_load["taken"], 9),
                )
            )
        )
        for reason in class_load["whys"]:
            lines.append(f"  {reason['final']:<8}{reason['count']:>8}  {printable(reason['why'])}")
    for code, count in load["turned_away"].items():
        lines.append(f"not valid, answered {code}: {count}")
    return lines


FAILURES_HEADER = "TIME     REQUEST              CLASS              MS  WHY"


def failure_lines(failures: Sequence[Json]) -> list[str]:
    """Return two lines for each failure, the newest first: the request with its result, and its attempts."""
    lines = []
    for failure in reversed(failures):
        took = fit_right(round(failure["took_ms"]), 5)
        lines.append(
            f"{format_time(failure['at_ms'])} {fit_left(failure['request'], 20)}"
            f" {fit_left(failure['class'], 15)} {took}  {failure['final']}: {printable(failure['why'])}"
        )
        attempts = [
            f"{printable(a['server'])} {a['outcome']} after {a['took_ms']:.0f} ms"
            for a in failure["attempts"]
        ]
        lines.append("         " + (", then ".join(attempts) or "not sent to any server"))
    return lines


EVENTS_HEADER = "TIME     WHAT"


def event_line(event: Json) -> str:
    """Return an event as one line."""
    description: Any = event.get("text")
    if event["kind"] == "operator":
        description = f"{event['command']} {event['server']}: {event['before']} -> {event['after']}"
        description += f", by {event['by']}"
        if event.get("until_ms") is not None:
            description += f", until {format_time(event['until_ms'])}"
        if event.get("note"):
            description += f": {event['note']}"
    elif event["kind"] == "roster":
        description = f"discovery: {event['server']}: {event['before']} -> {event['after']}"
    return f"{format_time(event['at_ms'])} {printable(description)}"


def change_line(result: Json) -> str:
    """Return the effect of a drain or restore, with its operator and time."""
    transition = f"{result['before']} -> {result['after']}"
    outcome = transition if result["changed"] else f"is {result['after']} already"
    saved = "" if result["saved"] else "; not kept over a restart"
    until = f" until {format_time(result['until_ms'])}" if result.get("until_ms") is not None else ""
    return printable(
        f"{result['server']}: {outcome}{until}, by {result['by']} at {format_time(result['at_ms'])}{saved}"
    )


def error_line(error: Json) -> str:
    """Return a request's error and the valid input."""
    ending = f"; {error['right']}" if error.get("right") else ""
    return printable(f"{error['text']}{ending}")


def help_lines(commands: Sequence[Json]) -> list[str]:
    """Return the synopsis and the help text of each command."""
    lines = []
    for command in commands:
        words = [command["name"]]
        words += [a["name"].upper() if a["required"] else f"[{a['name']}=]" for a in command["arguments"]]
        lines += [" ".join(words), f"    {printable(command['help'])}"]
    return lines


def vrrp_lines(status: Json) -> list[str]:
    """Return the status of a member of a pair: role, lease, votes, and counts of rejected messages."""
    role = "takes work" if status["taking"] else f"takes nothing: {printable(status['why_not'])}"
    peers = ", ".join(
        f"{printable(name)} {format_duration(ms / 1000)} ago" for name, ms in status["heard_ms_ago"].items()
    )
    priority_reasons = f" ({printable(', '.join(status['priority_why']))})" if status["priority_why"] else ""
    lines = [
        f"{printable(status['name'])}: {status['state']}"
        f", priority {status['priority']}{priority_reasons}, {role}",
        f"lease left {status['lease_left_ms']} ms; our vote is {printable(status['vote_of_ours'] or 'free')}"
        f"; heard {peers or 'nobody'}",
    ]
    counts = {**status["transitions"], **status["refused"], **status["faults"]}
    lines += [f"{count:>6}  {printable(counter_name)}" for counter_name, count in counts.items()]
    if status["vouched"]:
        lines.append(f"an operator says that {', '.join(map(printable, status['vouched']))} is off")
    return lines


def pause_lines(pauses: Json) -> list[str]:
    """Return the number and duration of the process's pauses; nothing if there were none."""
    if not pauses.get("times"):
        return []
    longest = pauses["longest"]
    longest_text = (
        f"{longest['s']:.1f} s, {format_duration(longest['ago_s'])} ago ({printable(longest['cause'])})"
    )
    return [f"stood still {pauses['times']} times, {pauses['s']:.1f} s in all; the longest {longest_text}"]


def contained_lines(counts_by_place: Json) -> list[str]:
    """Return the counts of errors limited to one request or connection, by place; nothing without any."""
    counts = ", ".join(f"{printable(place)} {count}" for place, count in sorted(counts_by_place.items()))
    return [f"errors contained: {counts}"] if counts else []


def answer_lines(do: str, result: Json, now_ms: float) -> list[str]:
    """Return the result of the command `do` as text."""
    match do:
        case "status":
            return [
                f"{printable(result['name'])}: up {format_duration(result['uptime_s'])}",
                summary(result),
                *pause_lines(result.get("standing", {})),
                *contained_lines(result.get("contained_errors", {})),
                *(f"ALARM: {printable(text)}" for text in result["alarms"]),
            ]
        case "servers":
            return [SERVERS_HEADER, *(server_line(server, now_ms) for server in result["servers"])]
        case "load":
            return [LOAD_HEADER, *load_lines(result)]
        case "failures":
            return [FAILURES_HEADER, *failure_lines(result["failures"])]
        case "refusals":
            return [LOAD_HEADER, *load_lines(result), FAILURES_HEADER, *failure_lines(result["refusals"])]
        case "events":
            return [EVENTS_HEADER, *(event_line(event) for event in result["events"])]
        case "help":
            return help_lines(result["commands"])
        case "vrrp":
            return vrrp_lines(result)
        case "drain" | "restore":
            return [change_line(result)]
    return [printable(result)]
