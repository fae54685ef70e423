"""Results as lines for a terminal."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.lab.account import Result
from cloverrouter.lab.sweep import Comparison, Factor, Row

BARS = " .:-=+*#%@"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Columns as wide as they need; the first to the left, the others to the right."""
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(len(head))]

    def line(row: Sequence[str]) -> str:
        cells = [
            row[0].ljust(widths[0]),
            *(cell.rjust(w) for cell, w in zip(row[1:], widths[1:], strict=True)),
        ]
        return "  ".join(cells).rstrip()

    return [line(head), line(["-" * width for width in widths]), *(line(row) for row in rows)]


def strip(values: Sequence[float], most: float) -> str:
    """Values over time, one character each, from blank to @."""
    return "".join(
        BARS[min(len(BARS) - 1, max(0, round(v / most * (len(BARS) - 1))))] if most else " " for v in values
    )


def fit(values: Sequence[float], columns: int) -> list[float]:
    """At most `columns` values: means of neighbours."""
    step = -(-len(values) // columns)
    return [sum(values[i : i + step]) / len(values[i : i + step]) for i in range(0, len(values), step)]


def run_lines(result: Result, columns: int = 60) -> list[str]:
    """A run: its figures, its classes, why requests were given up, and the run over time."""
    f = result.figures
    lines = [f"{result.scenario['name']}, seed {result.seed}, {result.driver}"]
    if result.broken:
        lines += [
            "",
            f"BROKEN: {result.broken}",
            "the last events:",
            *(f"  {line}" for line in result.last[-12:]),
            "",
        ]
    lines += [f"NOTE: {note}" for note in result.notes]
    rows = [
        ["worth in aim / asked", f"{f.worth:.3f}"],
        ["requests served in aim", f"{f.in_aim:.3f}"],
        ["requests served", f"{f.served:.3f}"],
        ["requests asked", f"{f.asked}"],
        ["attempts a request", f"{f.attempts_per_request:.3f}"],
        ["tries refused, failed, left", f"{f.refused}, {f.failed}, {f.left}"],
        ["work for nobody", f"{f.waste:.3f}"],
        ["served within, 50/90/99% (ms)", f"{f.p50_ms:.0f} / {f.p90_ms:.0f} / {f.p99_ms:.0f}"],
        ["most connections at a server", f"{f.most_connections}"],
    ]
    if f.noticed_s is not None:
        rows.append(["a fault was noticed after (s)", f"{f.noticed_s:.2f}"])
    if f.cpu_us_per_request is not None:
        rows.append(["CPU of the proxies a request (us)", f"{f.cpu_us_per_request:.0f}"])
    if f.late_ms is not None:
        rows.append(["the load itself was late, 99% (ms)", f"{f.late_ms:.1f}"])
    if f.unsent:
        rows.append(["tries that could not be sent", f"{f.unsent}"])
    lines += table(["figure", ""], rows)
    classes = [
        [name, str(c.asked), f"{c.share_in_aim:.3f}", f"{c.p50_ms:.0f}", f"{c.p99_ms:.0f}"]
        for name, c in f.by_class.items()
    ]
    lines += ["", *table(["class", "asked", "in aim", "50% ms", "99% ms"], classes)]
    if f.reasons:
        reasons = [[why, str(count)] for why, count in sorted(f.reasons.items(), key=lambda item: -item[1])]
        lines += ["", *table(["given up by the proxies", "tries"], reasons)]
    s = result.series
    share = [good / asked if asked else 1.0 for good, asked in zip(s.good, s.asked, strict=True)]
    lines += ["", f"over {len(share)} s, from blank (none) to @ (all, or the most):"]
    lines.append(f"  {'in aim':14}|{strip(fit(share, columns), 1.0)}|")
    lines.append(f"  {'asked':14}|{strip(fit(s.asked, columns), max(s.asked, default=0))}|")
    step = -(-len(share) // columns)
    for from_s, to_s, what in s.faults:
        marks = "".join(
            "#" if from_s < (i + 1) * step and to_s > i * step else " "
            for i in range(len(fit(share, columns)))
        )
        lines.append(f"  {what.split()[0]:14}|{marks}|")
    return lines


def compare_lines(found: Comparison, a: str, b: str) -> list[str]:
    rows = [
        [d.figure, f"{d.a:.4g}", f"{d.b:.4g}", f"{d.mean:+.4g}", f"{d.low:+.4g} .. {d.high:+.4g}", d.verdict]
        for d in found.differences
    ]
    seeds = max((d.seeds for d in found.differences), default=0)
    lines = [f"a: {a}", f"b: {b}", f"{seeds} pairs on the same seeds; intervals of 95%", ""]
    if rows:
        lines += table(["figure", "a", "b", "b - a", "interval", ""], rows)
    for name, broken in found.broken.items():
        lines += [f"{name} breaks a rule with seed {seed}: {what}" for seed, what in broken[:5]]
    lines += [f"not run: {error}" for error in found.errors[:5]]
    return lines


SWEPT = ("worth in aim", "attempts a request", "refused a request", "waste", "median ms", "99% ms")


def sweep_lines(factors: Sequence[Factor], rows: Sequence[Row]) -> list[str]:
    head = [*(factor.label for factor in factors), "seeds", "broken", *SWEPT]
    body = []
    for row in rows:
        cells = [f"{row.means[name][0]:.4g}" if name in row.means else "-" for name in SWEPT]
        if "worth in aim" in row.means:
            mean, low, high = row.means["worth in aim"]
            cells[0] = f"{mean:.3f} ({low:.3f} .. {high:.3f})"
        state = str(row.broken) + (f", {row.errors} not run" if row.errors else "")
        body.append([*(str(value) for value in row.values), str(row.seeds), state, *cells])
    return table(head, body) if body else []
