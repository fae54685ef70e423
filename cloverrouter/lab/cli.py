"""The subcommand `lab` of the command line."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

# Exit codes: success, a rule is broken, invalid arguments or files, a replay that differs from its run
DONE, BROKEN, USAGE, DIFFERS = 0, 1, 2, 3
MISSING_LIBRARIES = "the lab needs further libraries: pip install -r requirements-lab.txt"


def build_parser() -> argparse.ArgumentParser:
    """The parser for the arguments after `lab`."""
    parser = argparse.ArgumentParser(
        prog="python -m cloverrouter lab",
        description="What would happen? Emulated servers, discovery, network and offices.",
    )
    subcommands = parser.add_subparsers(dest="lab_word", required=True, metavar="WORD")
    parser.epilog = (
        "A SCENARIO is a name that 'lab list' shows, or a file. Exit codes: 0 done, 1 a rule was broken, "
        "2 wrong words or files, 3 a replay that went another way."
    )
    subcommands.add_parser("list", help="the scenarios that ship with the program")

    show = subcommands.add_parser("show", help="print a scenario's file, to copy and change")
    show.add_argument("scenario")

    check = subcommands.add_parser("check", help="tell whether a scenario is right, without running it")
    check.add_argument("scenario")

    run = subcommands.add_parser("run", help="run a scenario once, and show what came of it")
    run.add_argument("scenario")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--set", action="append", default=[], metavar="PATH=VALUE", help="change a setting")
    run.add_argument(
        "--driver", choices=("simulated", "sockets"), default="simulated",
        help="simulated time (the default), or the real program on loopback, in real time",
    )  # fmt: skip
    run.add_argument("--out", metavar="FILE", help="keep the run (JSON)")
    run.add_argument("--report", metavar="FILE", help="write a page with plots (HTML)")

    replay = subcommands.add_parser(
        "replay", help="run a kept run again, and tell whether it went the same way"
    )
    replay.add_argument("file")

    shrink = subcommands.add_parser(
        "shrink", help="cut a run that breaks a rule down to a small one that still does"
    )
    shrink.add_argument("file", help="a run kept with --out, or a scenario")
    shrink.add_argument("--seed", type=int, default=1, help="with a scenario: its seed")
    shrink.add_argument("--out", metavar="FILE", default="shrunk.json")
    shrink.add_argument("--runs", type=int, default=150, help="at most (150)")

    sweep = subcommands.add_parser("sweep", help="cross factors with seeds; goes on where it was stopped")
    sweep.add_argument("scenario")
    sweep.add_argument("--vary", action="append", default=[], metavar="PATH=V,V,...", help="a factor")
    sweep.add_argument("--set", action="append", default=[], metavar="PATH=VALUE", help="change a setting")
    sweep.add_argument("--seeds", type=int, default=5, help="how many (5)")
    sweep.add_argument("--first-seed", type=int, default=1)
    sweep.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="runs at once (all cores)")
    sweep.add_argument("--out", metavar="FILE", default="sweep.db", help="the store (sweep.db)")
    sweep.add_argument("--report", metavar="FILE")

    compare = subcommands.add_parser("compare", help="two settings, or two checkouts, on the same seeds")
    compare.add_argument("scenario")
    compare.add_argument("--a-set", action="append", default=[], metavar="PATH=VALUE")
    compare.add_argument("--b-set", action="append", default=[], metavar="PATH=VALUE")
    compare.add_argument("--a-checkout", metavar="DIR", help="take module and node from there")
    compare.add_argument("--b-checkout", metavar="DIR")
    compare.add_argument("--seeds", type=int, default=10)
    compare.add_argument("--first-seed", type=int, default=1)
    compare.add_argument("--jobs", type=int, default=os.cpu_count() or 1)

    load = subcommands.add_parser("load", help="send a bounded load to a proxy on this machine")
    load.add_argument("target", help="address:port of a proxy, on loopback")
    load.add_argument("--rate", type=float, default=100.0, help="requests a second, of all processes (100)")
    load.add_argument("--seconds", type=float, default=10.0)
    load.add_argument("--processes", type=int, default=1)
    load.add_argument("--scenario", default="calm", help="whose classes and office are used (calm)")
    load.add_argument("--seed", type=int, default=1)

    scale = subcommands.add_parser(
        "scale", help="many proxies on this machine: hollow ones, counted by real ones beside them"
    )
    scale.add_argument("scenario", help="day, outage or regions")
    scale.add_argument("--nodes", type=int, default=250, help="proxies, real ones among them (250)")
    scale.add_argument("--servers", type=int, help="that each is told of (as many as nodes)")
    scale.add_argument("--real", type=int, default=10, help="real processes among them (10)")
    scale.add_argument("--discoveries", type=int, default=10, help="instances, 1 to 10 (10)")
    scale.add_argument(
        "--processes", type=int, help="that the hollow ones share (one for each 1,000, two at least)"
    )
    scale.add_argument("--seconds", type=float, default=60.0, help="of ordinary changes (60)")
    scale.add_argument(
        "--speed", type=float, default=4.0, help="how many times as often as usual things happen (4)"
    )
    scale.add_argument("--burst", type=int, default=1000, help="changes at the end of a day (1000)")
    scale.add_argument(
        "--down-s", type=float, default=60.0, help="for so long discovery is down, or regions are cut (60)"
    )
    scale.add_argument("--deadline-ms", type=float, default=400.0, help="of the only class (400)")
    scale.add_argument(
        "--calls-per-s", type=float, default=400.0, help="that an instance of discovery answers (400)"
    )
    scale.add_argument(
        "--gather-s", type=float, default=0.5, help="for so long discovery gathers changes (0.5)"
    )
    scale.add_argument("--seed", type=int, default=1)
    scale.add_argument("--out", metavar="FILE", help="keep what it showed (JSON)")
    scale.add_argument("--report", metavar="FILE", help="write a page with plots (HTML)")

    report = subcommands.add_parser("report", help="a page with plots (HTML) of runs, or of a sweep")
    report.add_argument("files", nargs="+", help="one or two runs, one store of a sweep, or runs at scale")
    report.add_argument("--out", metavar="FILE", default="report.html")
    return parser


class ProgressBar:
    """A progress bar on standard error; silent if that is not a terminal."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._enabled = sys.stderr.isatty()

    def __call__(self, done: int, total: int) -> None:
        if self._enabled:
            elapsed_s = time.monotonic() - self._started_s
            remaining_s = elapsed_s / done * (total - done)
            width = 40 * done // max(1, total)
            print(
                f"\r[{'#' * width}{' ' * (40 - width)}] {done}/{total}, {remaining_s:.0f} s left ",
                end="",
                file=sys.stderr,
            )
            if done == total:
                print(file=sys.stderr)


def main(arguments: Sequence[str]) -> int:
    """Run a subcommand and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        import hdrh  # noqa: F401
        import msgspec  # noqa: F401
        import numpy  # noqa: F401
    except ImportError as error:
        print(f"{MISSING_LIBRARIES} ({error.name} is missing)", file=sys.stderr)
        return USAGE
    from cloverrouter.strict import FileError

    commands: dict[str, Callable[[argparse.Namespace], int]] = {
        "list": _list, "show": _show, "check": _check, "run": _run, "replay": _replay, "shrink": _shrink,
        "sweep": _sweep, "compare": _compare, "load": _load, "scale": _scale, "report": _report,
    }  # fmt: skip
    try:
        return commands[options.lab_word](options)
    except FileError as file_error:
        print(file_error, file=sys.stderr)
        return USAGE
    except KeyboardInterrupt:
        print("stopped", file=sys.stderr)
        return USAGE


def _list(options: argparse.Namespace) -> int:
    from cloverrouter.lab.scenario import library, read

    shipped = {name: read(text, name).about for name, text in library().items()}
    width = max(map(len, shipped))
    print("\n".join(f"{name.ljust(width)}  {about}" for name, about in shipped.items()))
    return DONE


def _show(options: argparse.Namespace) -> int:
    from cloverrouter.lab.scenario import library, load

    shipped = library()
    if options.scenario in shipped:
        print(shipped[options.scenario], end="")
    else:
        load(options.scenario)
        print(Path(options.scenario).read_text(), end="")
    return DONE


def _check(options: argparse.Namespace) -> int:
    from cloverrouter.lab.scenario import load

    scenario = load(options.scenario)
    print(
        f"{options.scenario} is right: {len(scenario.server_names())} servers, "
        f"{scenario.proxies.count} proxies, {scenario.rate:g} requests a second "
        f"of about {scenario.capacity():.0f} that they can serve, "
        f"{len(scenario.fault)} faults, {scenario.seconds:g} s"
    )
    return DONE


def _scenario(name: str, changes: list[str]) -> Any:
    from cloverrouter.lab.scenario import change, load
    from cloverrouter.lab.sweep import read_change

    scenario = load(name)
    for setting in changes:
        scenario = change(scenario, *read_change(setting))
    return scenario


def _run(options: argparse.Namespace) -> int:
    from cloverrouter.lab.records import write_run
    from cloverrouter.lab.text import run_lines

    scenario = _scenario(options.scenario, options.set)
    if options.driver == "sockets":
        from cloverrouter.lab.sockets import run_on_sockets

        result = run_on_sockets(scenario, options.seed)
    else:
        from cloverrouter.lab.simulation import simulate

        result = simulate(scenario, options.seed)
    print("\n".join(run_lines(result)))
    if options.out:
        write_run(options.out, result)
    if options.report:
        from cloverrouter.lab.report import write_runs

        write_runs(options.report, [result])
        print(f"\n{options.report} shows it in plots.")
    return BROKEN if result.broken else DONE


def _replay(options: argparse.Namespace) -> int:
    from cloverrouter.lab.records import read_run
    from cloverrouter.lab.scenario import build
    from cloverrouter.lab.simulation import simulate
    from cloverrouter.lab.text import run_lines

    kept = read_run(options.file)
    result = simulate(build(kept.scenario, options.file), kept.seed)
    print("\n".join(run_lines(result)))
    if kept.driver != "simulated":
        print("\nThe kept run was on sockets: this is the same scenario and seed in simulated time.")
    elif kept.digest != result.digest:
        print("\nIt went another way than the kept run: the program, or a library, is another one.")
        return DIFFERS
    else:
        print(f"\nIt went the same way, step by step (digest {result.digest}).")
    return BROKEN if result.broken else DONE


def _shrink(options: argparse.Namespace) -> int:
    from cloverrouter.lab.records import read_run, write_run
    from cloverrouter.lab.scenario import build, load
    from cloverrouter.lab.shrink import shrink
    from cloverrouter.lab.simulation import simulate
    from cloverrouter.lab.text import run_lines

    if options.file.endswith(".json"):
        kept = read_run(options.file)
        scenario, seed = build(kept.scenario, options.file), kept.seed
    else:
        scenario, seed = load(options.file), options.seed
    try:
        shrunk = shrink(scenario, seed, simulate, options.runs)
    except ValueError as error:
        print(error, file=sys.stderr)
        return USAGE
    write_run(options.out, shrunk.result)
    print("\n".join(run_lines(shrunk.result)))
    s = shrunk.scenario
    print(
        f"\nAfter {shrunk.runs} runs: {len(s.server_names())} servers, {s.proxies.count} proxies, "
        f"{len(s.fault)} faults, {s.seconds:g} s, seed {shrunk.seed}; kept in {options.out}"
    )
    return DONE


def _sweep(options: argparse.Namespace) -> int:
    from cloverrouter.lab.records import Store
    from cloverrouter.lab.sweep import read_factor, rows_of, sweep
    from cloverrouter.lab.text import sweep_lines

    scenario = _scenario(options.scenario, options.set)
    factors = [read_factor(factor) for factor in options.vary]
    seeds = list(range(options.first_seed, options.first_seed + options.seeds))
    store = Store(options.out)
    try:
        sweep(scenario, factors, seeds, store, options.jobs, ProgressBar())
    except KeyboardInterrupt:
        print(
            f"\nstopped; {options.out} has the completed runs, and the same command resumes the sweep",
            file=sys.stderr,
        )
        return USAGE
    factors, rows = rows_of(store)
    print("\n".join(sweep_lines(factors, rows)))
    if options.report:
        from cloverrouter.lab.report import write_sweep

        write_sweep(options.report, store)
    store.close()
    return BROKEN if any(row.broken for row in rows) else DONE


def _compare(options: argparse.Namespace) -> int:
    from cloverrouter.lab.sweep import compare
    from cloverrouter.lab.text import compare_lines
    from cloverrouter.lab.workers import OWN_CHECKOUT

    a, b = _scenario(options.scenario, options.a_set), _scenario(options.scenario, options.b_set)
    checkouts = []
    for checkout in (options.a_checkout, options.b_checkout):
        if checkout and not Path(checkout, "cloverrouter", "decide.py").is_file():
            print(f"{checkout} is no checkout: there is no cloverrouter/decide.py in it", file=sys.stderr)
            return USAGE
        checkouts.append(str(Path(checkout).resolve()) if checkout else OWN_CHECKOUT)
    seeds = list(range(options.first_seed, options.first_seed + options.seeds))
    comparison = compare(a, b, seeds, options.jobs, (checkouts[0], checkouts[1]), ProgressBar())
    labels = [
        ", ".join([*(["checkout " + checkout] if checkout else []), *changes]) or "as it is"
        for checkout, changes in ((options.a_checkout, options.a_set), (options.b_checkout, options.b_set))
    ]
    print("\n".join(compare_lines(comparison, *labels)))
    return BROKEN if any(comparison.broken.values()) else USAGE if comparison.errors else DONE


def _load(options: argparse.Namespace) -> int:
    from cloverrouter.lab.load import load_lines, send_load
    from cloverrouter.lab.scenario import load

    try:
        found = send_load(
            options.target,
            load(options.scenario),
            options.rate,
            options.seconds,
            options.processes,
            options.seed,
        )
    except ValueError as error:
        print(error, file=sys.stderr)
        return USAGE
    print("\n".join(load_lines(found)))
    return DONE


def _scale(options: argparse.Namespace) -> int:
    from cloverrouter.lab.scale import Plan
    from cloverrouter.lab.scaleshell import ScaleError, play
    from cloverrouter.lab.scaletext import scale_lines, write_report

    plan = Plan(
        scenario=options.scenario,
        nodes=options.nodes,
        servers=options.nodes if options.servers is None else options.servers,
        real=options.real,
        discoveries=options.discoveries,
        processes=max(2, -(-options.nodes // 1000)) if options.processes is None else options.processes,
        seconds=options.seconds,
        speed=options.speed,
        burst=options.burst,
        down_s=options.down_s,
        deadline_ms=options.deadline_ms,
        calls_per_s=options.calls_per_s,
        gather_s=options.gather_s,
        seed=options.seed,
    )
    try:
        report = play(plan)
    except ScaleError as error:
        print(error, file=sys.stderr)
        return USAGE
    print("\n".join(scale_lines(report)))
    if options.out:
        write_report(options.out, report)
    if options.report:
        from cloverrouter.lab.report import write_scale

        write_scale(options.report, [report])
        print(f"\n{options.report} shows it in plots.")
    return BROKEN if report.complaints else DONE


def _report(options: argparse.Namespace) -> int:
    from cloverrouter.lab.records import Store, read_run
    from cloverrouter.lab.report import write_runs, write_scale, write_sweep
    from cloverrouter.lab.scaletext import is_scale, read_scale

    if len(options.files) == 1 and Path(options.files[0]).read_bytes()[:6] == b"SQLite":
        write_sweep(options.out, Store(options.files[0]))
    elif is_scale(options.files[0]):
        write_scale(options.out, [read_scale(file) for file in options.files])
    else:
        write_runs(options.out, [read_run(file) for file in options.files[:2]])
    print(f"{options.out} is written.")
    return DONE
