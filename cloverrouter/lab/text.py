"""Results as lines of text for a terminal."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.lab.account import Result
from cloverrouter.lab.sweep import Comparison, Factor, Row

SHADES = " .:-=+*#%@"


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Lines of a table; the first column is aligned to the left, the others to the right."""
    widths = [max(len(row[i]) for row in [header, *rows]) for i in range(len(header))]

    def line(row: Sequence[str]) -> str:
        cells = [
            row[0].ljust(widths[0]),
            *(cell.rjust(w) for cell, w in zip(row[1:], widths[1:], strict=True)),
        ]
        return "  ".join(cells).rstrip()

    return [line(header), line(["-" * width for width in widths]), *(line(row) for row in rows)]


def sparkline(values: Sequence[float], maximum: float) -> str:
    """Values over time as one character each, from blank (0) to @ (`maximum`)."""
    return "".join(
        SHADES[min(len(SHADES) - 1, max(0, round(v / maximum * (len(SHADES) - 1))))] if maximum else " "
        for v in values
    )


def downsample(values: Sequence[float], columns: int) -> list[float]:
    """At most `columns` values, each the mean of adjacent ones."""
    step = -(-len(values) // columns)
    return [sum(values[i : i + step]) / len(values[i : i + step]) for i in range(0, len(values), step)]


def run_lines(result: Result, columns: int = 60) -> list[str]:
    """Lines about a run: figures, classes, reasons for refusals and failures, and the run over time."""
    figures = result.figures
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
        ["worth in aim / asked", f"{figures.worth:.3f}"],
        ["requests served in aim", f"{figures.in_aim:.3f}"],
        ["requests served", f"{figures.served:.3f}"],
        ["requests asked", f"{figures.asked}"],
        ["attempts a request", f"{figures.attempts_per_request:.3f}"],
        ["tries refused, failed, left", f"{figures.refused}, {figures.failed}, {figures.left}"],
        ["work for nobody", f"{figures.waste:.3f}"],
        [
            "served within, 50/90/99% (ms)",
            f"{figures.p50_ms:.0f} / {figures.p90_ms:.0f} / {figures.p99_ms:.0f}",
        ],
        ["most connections at a server", f"{figures.most_connections}"],
    ]
    if figures.noticed_s is not None:
        rows.append(["a fault was noticed after (s)", f"{figures.noticed_s:.2f}"])
    if figures.cpu_us_per_request is not None:
        rows.append(["CPU of the proxies a request (us)", f"{figures.cpu_us_per_request:.0f}"])
    if figures.late_ms is not None:
        rows.append(["the load itself was late, 99% (ms)", f"{figures.late_ms:.1f}"])
    if figures.unsent:
        rows.append(["tries that could not be sent", f"{figures.unsent}"])
    lines += table(["figure", ""], rows)
    classes = [
        [name, str(c.asked), f"{c.share_in_aim:.3f}", f"{c.p50_ms:.0f}", f"{c.p99_ms:.0f}"]
        for name, c in figures.by_class.items()
    ]
    lines += ["", *table(["class", "asked", "in aim", "50% ms", "99% ms"], classes)]
    if figures.reasons:
        reasons = [
            [why, str(count)] for why, count in sorted(figures.reasons.items(), key=lambda item: -item[1])
        ]
        lines += ["", *table(["given up by the proxies", "tries"], reasons)]
    series = result.series
    in_aim_shares = [
        good / asked if asked else 1.0 for good, asked in zip(series.good, series.asked, strict=True)
    ]
    lines += ["", f"over {len(in_aim_shares)} s, from blank (none) to @ (all, or the most):"]
    lines.append(f"  {'in aim':14}|{sparkline(downsample(in_aim_shares, columns), 1.0)}|")
    lines.append(
        f"  {'asked':14}|{sparkline(downsample(series.asked, columns), max(series.asked, default=0))}|"
    )
    step = -(-len(in_aim_shares) // columns)
    for from_s, to_s, what in series.faults:
        fault_marks = "".join(
            "#" if from_s < (i + 1) * step and to_s > i * step else " "
            for i in range(len(downsample(in_aim_shares, columns)))
        )
        lines.append(f"  {what.split()[0]:14}|{fault_marks}|")
    return lines


def compare_lines(comparison: Comparison, a: str, b: str) -> list[str]:
    """Lines about the comparison of the variants that are labelled `a` and `b`."""
    rows = [
        [d.figure, f"{d.a:.4g}", f"{d.b:.4g}", f"{d.mean:+.4g}", f"{d.low:+.4g} .. {d.high:+.4g}", d.verdict]
        for d in comparison.differences
    ]
    seeds = max((d.seeds for d in comparison.differences), default=0)
    lines = [f"a: {a}", f"b: {b}", f"{seeds} pairs on the same seeds; intervals of 95%", ""]
    if rows:
        lines += table(["figure", "a", "b", "b - a", "interval", ""], rows)
    for name, broken in comparison.broken.items():
        lines += [f"{name} breaks a rule with seed {seed}: {what}" for seed, what in broken[:5]]
    lines += [f"not run: {error}" for error in comparison.errors[:5]]
    return lines


SWEEP_FIGURES = ("worth in aim", "attempts a request", "refused a request", "waste", "median ms", "99% ms")


def sweep_lines(factors: Sequence[Factor], rows: Sequence[Row]) -> list[str]:
    """Lines of a sweep's table: one row for each cell."""
    header = [*(factor.label for factor in factors), "seeds", "broken", *SWEEP_FIGURES]
    table_rows = []
    for row in rows:
        cells = [f"{row.means[name][0]:.4g}" if name in row.means else "-" for name in SWEEP_FIGURES]
        if "worth in aim" in row.means:
            mean, low, high = row.means["worth in aim"]
            cells[0] = f"{mean:.3f} ({low:.3f} .. {high:.3f})"
        broken = str(row.broken) + (f", {row.errors} not run" if row.errors else "")
        table_rows.append([*(str(value) for value in row.values), str(row.seeds), broken, *cells])
    return table(header, table_rows) if table_rows else []
