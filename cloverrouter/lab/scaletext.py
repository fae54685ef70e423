"""Results of a run at scale: printed as lines, written to a file and read from it."""

from __future__ import annotations

from math import nan
from pathlib import Path

import msgspec

from cloverrouter.lab.scale import KIND, TOLERANCE, Report, bounds
from cloverrouter.lab.text import table
from cloverrouter.strict import Fault, FileError

PHASES = ("quiet", "calm", "burst", "down", "return", "cut", "heal")


def scale_lines(report: Report) -> list[str]:
    """The report as lines for a terminal."""
    plan, figures = report.plan, report.figures
    lines = [
        f"{plan['scenario']}: {plan['nodes']} proxies, {plan['real']} of them real, that know "
        f"{plan['servers']} servers; {plan['discoveries']} discovery instances of {plan['calls_per_s']:g} "
        f"answers a second; {figures['versions']:.0f} changes, {figures['faults']:.0f} faults in "
        f"{figures['seconds']:.0f} s; sources {report.commit or 'unknown'}",
        "",
    ]
    rows = [
        [name, f"{measured:.4g}{unit and ' ' + unit}", f"{bound:g}", "" if measured <= bound else "over"]
        for name, measured, bound, unit in bounds(figures)
    ]
    lines += [*table(["figure", "measured", "bound", ""], rows), ""]
    times = " / ".join(f"{figures[f'in_force_{part}_s']:.3f}" for part in ("p50", "p99", "last"))
    lines.append(f"in force, 50/99% and last: {times} s, by the call that each makes once it has taken it in")
    phases = [part for part in PHASES if f"cpu_{part}" in figures]
    figure_list = ", ".join(f"{part} {figures[f'cpu_{part}']:.2%}" for part in phases)
    lines.append(f"control of a real proxy, share of a core: {figure_list}")
    figure_list = ", ".join(f"{part} {figures.get(f'bytes_{part}', nan):.0f}" for part in phases)
    lines.append(f"control of a proxy, bytes a second: {figure_list}")
    names, count = report.instances[0], len(report.instances)
    worst = {name: max(one[name] for one in report.instances) for name in names}
    mean = {name: sum(one[name] for one in report.instances) / count for name in names}
    lines += [
        f"each discovery instance: {mean['calls_per_s']:.0f} calls and {mean['bytes_per_s'] / 1000:.0f} KB a "
        f"second, {worst['calls_worst_s']:.0f} and {worst['bytes_worst_s'] / 1000:.0f} in the worst; longest "
        f"queue {worst['longest_queue']:.0f}; descriptors {worst['descriptors']:.0f}",
        f"whole lists: {figures['fulls']:.0f}; hollow processes stood still {figures['hollow_stood']:.0f} "
        f"times, {figures['hollow_stood_longest_s']:.2f} s at most; all memory "
        f"{figures['all_memory_mb']:.0f} MB in {figures['processes']:.0f} processes",
        "",
    ]
    agreed = [
        [
            one.name,
            f"{one.hollow:.4g}",
            f"{one.real:.4g}",
            f"{one.deviation:+.1%}",
            "" if one.agrees else "APART",
        ]
        for one in report.agreements
    ]
    lines += table([f"within {TOLERANCE:.0%}", "hollow", "real", "", ""], agreed)
    lines += [
        "",
        *report.notes,
        *(report.complaints or ["Hollow and real proxies agree: what the run shows counts."]),
    ]
    return lines


def write_report(path: str, report: Report) -> None:
    """Write the report to a JSON file."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))


def is_scale(path: str) -> bool:
    """Whether the file holds the report of a run at scale."""
    try:
        return bool(msgspec.json.decode(Path(path).read_bytes()).get("kind") == KIND)
    except (OSError, msgspec.DecodeError, AttributeError):
        return False


def read_scale(path: str) -> Report:
    """Read a report. Raises `FileError` if the file holds none."""
    try:
        found = msgspec.json.decode(Path(path).read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError) as error:
        fault = Fault("", f"no run at scale: {error}", "right is a file of lab scale --out")
        raise FileError(path, [fault]) from error
    return found
