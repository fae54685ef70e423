"""Random scenarios: short runs of few servers with all kinds of faults, to search for violated invariants."""

from __future__ import annotations

from typing import Any

from cloverrouter.lab.draws import Draws
from cloverrouter.lab.scenario import KINDS, Scenario, build

DEFAULT_DURATION_S = 4.0
HALLS = ("north", "south")
# Kinds of faults that take effect within a few seconds; the period of `hover` is longer. Releases and crashes
# are more frequent than the rest: only a combination of conditions overloads a starting, cold server.
EXCLUDED_KINDS = ("hover", "stop", "starve")  # the last two: `tests/lab/test_stops.py` draws its own
CANDIDATE_KINDS = [*(kind for kind in KINDS if kind not in EXCLUDED_KINDS), *("release", "crash") * 3]


def _random_fault(draws: Draws, seconds: float) -> dict[str, Any]:
    kind = draws.pick(CANDIDATE_KINDS, 1)[0]
    fields: dict[str, Any] = {
        "kind": kind,
        "at_s": round(draws.between(0.0, 0.6 * seconds), 3),
        "for_s": round(draws.between(0.05, 0.5 * seconds), 3),
        "part": round(draws.between(0.2, 1.0), 2),
        "share": round(draws.between(0.05, 1.0), 2),
        "factor": round(draws.between(1.2, 6.0), 2),
    }
    match kind:
        case "release":
            fields |= {
                "within_s": round(draws.between(0.0, 0.3 * seconds), 2),
                "gap_s": round(draws.between(0.05, 0.5), 2),
                "takes_address": draws.uniform() < 0.3,
            }
        case "cut":
            ends = draws.pick(["p-*", "s-*", "discovery", *HALLS], 2)
            fields |= {"from": ends[:1], "to": ends[1:]}
        case "hall_lost":
            fields["halls"] = draws.pick(list(HALLS), 1)
        case "reset":
            fields["when"] = "before" if draws.uniform() < 0.5 else "after"
        case "pauses":
            fields |= {
                "every_s": round(draws.between(0.2, 1.0), 2),
                "pause_ms": round(draws.between(50, 500)),
            }
        case "loss":
            fields["share"] = round(draws.between(0.01, 0.2), 2)
    return fields


def random_scenario(seed: int, seconds: float = DEFAULT_DURATION_S) -> Scenario:
    """Return a scenario of a few seconds, the same for the same seed."""
    draws = Draws(seed, "chance")
    servers = 1 + int(draws.uniform() * 5)
    work_ms = draws.between(10, 50)
    capacity = servers * 2 * 1000 / work_ms
    rate = min(160.0, capacity * draws.between(0.2, 1.4))
    deadline_ms = round(draws.between(300, 900))
    window_ms = round(draws.between(60, deadline_ms))

    def between(low: float, high: float) -> float:
        return round(draws.between(low, high), 2)

    def with_probability(probability: float) -> bool:
        return draws.uniform() < probability

    common = {"deadline_ms": deadline_ms, "work_ms": round(work_ms, 1)}
    fields: dict[str, Any] = {
        "name": f"chance-{seed}",
        "seconds": seconds,
        "proxies": {
            # Sometimes many: what each of them sends to a cold server adds up.
            "count": 1 + int(draws.uniform() * (4 if with_probability(0.7) else 24)),
            "max_attempts": 2 + int(draws.uniform() * 3),
            "retry_after": with_probability(0.5),
            "start_spread_s": between(0.0, 0.5),
        },
        "office": [
            {
                "rate": round(rate, 1),
                "unequal": between(0.0, 1.5),
                "arrivals": draws.pick(["poisson", "even", "bursts"], 1)[0],
                "burst_s": 0.5,
                "calm_s": 1.0,
                "retries": int(draws.uniform() * 3),
                "backoff_ms": round(draws.between(5, 100)),
                "try_share": between(0.5, 1.0),
                "leave_share": 0.1 if with_probability(0.3) else 0.0,
                "honour": 0.5,
            }
        ],
        "class": [
            {"name": "read", "share": 0.2, "effect": "safe", "aim_ms": 200, **common},
            {
                "name": "extract",
                "share": 0.4,
                "effect": "keyed",
                "group": draws.pick(["all", "zone", "cell"], 1)[0],
                "window_ms": window_ms,
                "worth": 3,
                "aim_ms": 200,
                **common,
            },
            {"name": "entry", "share": 0.4, "effect": "unsafe", "worth": 10, "aim_ms": 300, **common},
        ],
        "servers": [
            {
                "count": servers,
                "halls": list(HALLS),
                "racks": 2,
                "cores": 2,
                "queue": 4 + int(draws.uniform() * 30),
                "speed_spread": between(0.0, 0.5),
                "handshake_ms": between(0, 10),
                "connections": 8 + int(draws.uniform() * 60),
                "report_ms": between(50, 500),
                "drops_waiting": with_probability(0.7),
                "jam_s": 0.5,
                "jam_rest_s": 0.5,
                "error_share": 0.02 if with_probability(0.5) else 0.0,
            }
        ],
        "safety": {
            "cold_share": between(0.1, 0.6),
            "cold_s": between(0.5, 3.0),
            "fall_s": between(0.3, 1.0),
            "fall_multiple": between(1.3, 3.0),
            "drain_grace_ms": between(100, 500),
            "must_ask_s": 10,
        },
        "discovery": {
            "add_s": between(0.05, 0.5),
            "notice_s": between(0.05, 0.6),
            "crash_notice_s": between(0.2, 2.0),
        },
        "fault": [_random_fault(draws, seconds) for _ in range(int(draws.uniform() * 5))],
    }
    for fault in fields["fault"]:
        if servers == 1 and fault["kind"] in ("hall_lost", "cut"):
            fault["kind"] = "freeze"  # only one of the two halls has a server
    return build(fields, fields["name"])
