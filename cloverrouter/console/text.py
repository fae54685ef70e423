"""The proxy's answers as lines of plain ASCII text: for the console's screens, `ctl` and plain mode."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

from cloverrouter.seams import Json

WIDTH = 79  # the last column stays free: some terminals wrap when it is written


def plain(value: object) -> str:
    """Printable ASCII only. Danger: names come from outside, and an escape sequence in one of them would
    reach the operator's terminal."""
    return "".join(c if " " <= c <= "~" else "?" for c in str(value))


def span(seconds: float) -> str:
    """A span of time in a few characters: 9s, 12m, 3h05, 4d02."""
    whole = int(max(0.0, seconds))
    if whole < 100:
        return f"{whole}s"
    if whole < 6000:
        return f"{whole // 60}m"
    if whole < 86_400:
        return f"{whole // 3600}h{whole % 3600 // 60:02d}"
    return f"{whole // 86_400}d{whole % 86_400 // 3600:02d}"


def rate(value: float) -> str:
    return f"{value:.1f}" if value < 9.95 else f"{value:.0f}"


def clock(at_ms: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at_ms / 1000))


def fit(text: object, width: int) -> str:
    """Cut or padded to the width; a cut shows as `~`."""
    found = plain(text)
    return found.ljust(width) if len(found) <= width else found[: width - 1] + "~"


def right(text: object, width: int) -> str:
    found = plain(text)
    return found.rjust(width) if len(found) <= width else found[: width - 1] + "~"


def summary(status: Json) -> str:
    """One line: how it goes."""
    rates, servers = status["rates"], status["servers"]
    return (
        f"able {servers['healthy']}/{servers['listed']} drained {servers['drained']}"
        f" | open {status['open']} held {status['held']}"
        f" | /s: in {rate(rates.get('taken', 0))} ok {rate(rates.get('served', 0))}"
        f" refused {rate(rates.get('refused', 0))} failed {rate(rates.get('failed', 0))}"
    )


SERVERS_HEAD = "SERVER       STATE    WHY         OUT/LIM  PAY    MS  OK/s BAD/s REPORT     AGE"


def server_why(server: Json, now_ms: float) -> str:
    """What stands behind the state: who drained it and for how long, or what the module believes."""
    drain = server["drain"]
    if drain is None:
        return str(server["condition"])
    if drain["until_ms"] is not None:
        return f"{span((drain['until_ms'] - now_ms) / 1000)} left"
    return f"by {drain['by']}".partition(" (")[0]


def server_line(server: Json, now_ms: float) -> str:
    report = server["report"] or {}
    told = " ".join(f"{name[0]}{value:.0f}" for name, value in list(report.items())[:2])
    age = server["report_age_s"]
    state = {"drained+absent": "dr+abs", "drained+leaving": "dr+leav"}.get(server["state"], server["state"])
    out = f"{server['in_flight']}/{server['limit']:.0f}" if "limit" in server else "-"
    return " ".join(
        (
            fit(server["server"], 12),
            fit(state, 8),
            fit(server_why(server, now_ms), 11),
            right(out, 7),
            right(f"{server['payoff']:.2f}" if "payoff" in server else "-", 4),
            right(f"{server['latency_ms']:.0f}" if "latency_ms" in server else "-", 5),
            right(rate(server["served_s"]), 5),
            right(rate(server["failed_s"]), 5),
            fit(told, 9),
            right("-" if age is None else span(age), 4),
        )
    )


LOAD_HEAD = "CLASS                  IN/s   OK/s REFUSED/s FAILED/s GONE/s     MS     TAKEN"


def load_lines(load: Json) -> list[str]:
    lines = []
    for found in load["classes"]:
        rates = found["rates"]
        lines.append(
            " ".join(
                (
                    fit(found["class"], 20),
                    right(rate(rates["taken"]), 6),
                    right(rate(rates["served"]), 6),
                    right(rate(rates["refused"]), 9),
                    right(rate(rates["failed"]), 8),
                    right(rate(rates["gone"]), 6),
                    right(f"{found['served_ms']:.0f}", 6),
                    right(found["taken"], 9),
                )
            )
        )
        for why in found["whys"]:
            lines.append(f"  {why['final']:<8}{why['count']:>8}  {plain(why['why'])}")
    for code, count in load["turned_away"].items():
        lines.append(f"not valid, answered {code}: {count}")
    return lines


FAILURES_HEAD = "TIME     REQUEST              CLASS              MS  WHY"


def failure_lines(failures: Sequence[Json]) -> list[str]:
    """Two lines each, the newest first: the request with its end, then each attempt."""
    lines = []
    for f in reversed(failures):
        took = right(round(f["took_ms"]), 5)
        lines.append(
            f"{clock(f['at_ms'])} {fit(f['request'], 20)} {fit(f['class'], 15)} {took}"
            f"  {f['final']}: {plain(f['why'])}"
        )
        tried = [f"{plain(a['server'])} {a['outcome']} after {a['took_ms']:.0f} ms" for a in f["attempts"]]
        lines.append("         " + (", then ".join(tried) or "not sent to any server"))
    return lines


EVENTS_HEAD = "TIME     WHAT"


def event_line(event: Json) -> str:
    what: Any = event.get("text")
    if event["kind"] == "operator":
        what = f"{event['command']} {event['server']}: {event['before']} -> {event['after']}"
        what += f", by {event['by']}"
        if event.get("until_ms") is not None:
            what += f", until {clock(event['until_ms'])}"
        if event.get("note"):
            what += f": {event['note']}"
    elif event["kind"] == "roster":
        what = f"discovery: {event['server']}: {event['before']} -> {event['after']}"
    return f"{clock(event['at_ms'])} {plain(what)}"


def change_line(result: Json) -> str:
    """What a change did, who did it and when."""
    moved = f"{result['before']} -> {result['after']}"
    done = moved if result["changed"] else f"is {result['after']} already"
    saved = "" if result["saved"] else "; not kept over a restart"
    until = f" until {clock(result['until_ms'])}" if result.get("until_ms") is not None else ""
    return plain(f"{result['server']}: {done}{until}, by {result['by']} at {clock(result['at_ms'])}{saved}")


def error_line(error: Json) -> str:
    ending = f"; {error['right']}" if error.get("right") else ""
    return plain(f"{error['text']}{ending}")


def help_lines(commands: Sequence[Json]) -> list[str]:
    lines = []
    for command in commands:
        words = [command["name"]]
        words += [a["name"].upper() if a["required"] else f"[{a['name']}=]" for a in command["arguments"]]
        lines += [" ".join(words), f"    {plain(command['help'])}"]
    return lines


def vrrp_lines(told: Json) -> list[str]:
    """The pair: role, right to take, votes, and what was turned away."""
    takes = "takes work" if told["taking"] else f"takes nothing: {plain(told['why_not'])}"
    heard = ", ".join(f"{plain(name)} {span(ms / 1000)} ago" for name, ms in told["heard_ms_ago"].items())
    lowered = f" ({plain(', '.join(told['priority_why']))})" if told["priority_why"] else ""
    lines = [
        f"{plain(told['name'])}: {told['state']}, priority {told['priority']}{lowered}, {takes}",
        f"lease left {told['lease_left_ms']} ms; our vote is {plain(told['vote_of_ours'] or 'free')}"
        f"; heard {heard or 'nobody'}",
    ]
    counts = {**told["transitions"], **told["refused"], **told["faults"]}
    lines += [f"{count:>6}  {plain(what)}" for what, count in counts.items()]
    if told["vouched"]:
        lines.append(f"an operator says that {', '.join(map(plain, told['vouched']))} is off")
    return lines


def standing_lines(told: Json) -> list[str]:
    """How often and for how long the process stood still; nothing if it never did."""
    if not told.get("times"):
        return []
    longest = told["longest"]
    how = f"{longest['s']:.1f} s, {span(longest['ago_s'])} ago ({plain(longest['cause'])})"
    return [f"stood still {told['times']} times, {told['s']:.1f} s in all; the longest {how}"]


def contained_lines(told: Json) -> list[str]:
    """Errors that were kept to one request or connection, by place; nothing if there was none."""
    counts = ", ".join(f"{plain(place)} {count}" for place, count in sorted(told.items()))
    return [f"errors contained: {counts}"] if counts else []


def answer_lines(do: str, result: Json, now_ms: float) -> list[str]:
    """Any command's result as text."""
    match do:
        case "status":
            return [
                f"{plain(result['name'])}: up {span(result['uptime_s'])}",
                summary(result),
                *standing_lines(result.get("standing", {})),
                *contained_lines(result.get("contained_errors", {})),
                *(f"ALARM: {plain(text)}" for text in result["alarms"]),
            ]
        case "servers":
            return [SERVERS_HEAD, *(server_line(server, now_ms) for server in result["servers"])]
        case "load":
            return [LOAD_HEAD, *load_lines(result)]
        case "failures":
            return [FAILURES_HEAD, *failure_lines(result["failures"])]
        case "refusals":
            return [LOAD_HEAD, *load_lines(result), FAILURES_HEAD, *failure_lines(result["refusals"])]
        case "events":
            return [EVENTS_HEAD, *(event_line(event) for event in result["events"])]
        case "help":
            return help_lines(result["commands"])
        case "vrrp":
            return vrrp_lines(result)
        case "drain" | "restore":
            return [change_line(result)]
    return [plain(result)]
