"""Command line of `python -m cloverrouter`: the parser and the dispatch of the subcommands."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

DEFAULT_SOCKET = "/run/cloverrouter/control.sock"
OPTIONAL_LIBRARIES = frozenset({"msgspec"})
MISSING_LIBRARIES = "this needs the appliance's libraries; right is: pip install 'cloverrouter[appliance]'"
# Exit codes of `ctl`, for scripts.
DONE, REFUSED, USAGE, UNREACHABLE, LOST = 0, 1, 2, 3, 4


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m cloverrouter",
        description="A client proxy for registry servers, and the tools to look after it.",
    )
    words = parser.add_subparsers(dest="word", required=True, metavar="WORD")

    demo = words.add_parser("demo", help="start everything on this machine with stand-in servers, and look")
    demo.add_argument("--seconds", type=float, default=600.0, help="end by itself after so long (600)")
    demo.add_argument("--rate", type=float, default=30.0, help="requests a second, at most 200 (30)")
    demo.add_argument("--servers", type=int, default=3, help="stand-in servers, 1 to 20 (3)")

    run = words.add_parser("run", help="start the proxy; PROXY_CONFIG names its configuration")
    run.add_argument("--site", help="the operators' file; else PROXY_SITE names it, or everything is off")

    check = words.add_parser("check", help="tell whether an operators' file is right, without starting")
    check.add_argument("file")

    # Listed here for the help only; the lab parses its own arguments, so a proxy does not import it.
    words.add_parser("lab", help="ask what would happen: emulated servers, faults, load, sweeps")

    witness = words.add_parser("witness", help="be the third vote of a pair of boxes")
    witness.add_argument("--listen", required=True, help="address:port to listen at")
    witness.add_argument("--name", default="w", help="its name in the boxes' files (w)")
    witness.add_argument("--box", action="append", default=[], help="name=address:port; twice")
    witness.add_argument("--promise-ms", type=float, default=3000.0, help="as in the boxes' files (3000)")
    witness.add_argument("--secret-file", help="the pair's secret")

    task = words.add_parser("task", help="run a command only while this proxy's member holds a task")
    does = task.add_subparsers(dest="does", required=True, metavar="run")
    runs = does.add_parser("run", help="task run NAME -- COMMAND; see docs/leases.md for the exit codes")
    at = runs.add_mutually_exclusive_group()
    at.add_argument("--socket", help=f"the proxy's control socket ({DEFAULT_SOCKET})")
    at.add_argument("--site", help="the operators' file that names the socket's folder")
    runs.add_argument("--room", type=int, default=1, help="as many may hold it at a time (1)")
    runs.add_argument("--wait", type=float, metavar="S", help="give up after so long without it")
    runs.add_argument("--longest", type=float, metavar="S", help="the command may run for so long")
    runs.add_argument("--grace", type=float, default=1.0, metavar="S", help="between stop and kill (1)")
    runs.add_argument("name", help="the task's name")
    runs.add_argument("command", nargs="+", metavar="COMMAND", help="behind --")

    for word, text in (
        ("console", "watch a running proxy and give it commands, in a terminal"),
        ("ctl", "give a running proxy one command, and end"),
    ):
        tool = words.add_parser(word, help=text)
        where = tool.add_mutually_exclusive_group()
        where.add_argument("--socket", help=f"the proxy's control socket ({DEFAULT_SOCKET})")
        where.add_argument("--site", help="the operators' file that names the socket's folder")
        if word == "console":
            tool.add_argument("--speed", type=int, help="the line's speed in baud, if the terminal errs")
            tool.add_argument("--plain", action="store_true", help="plain lines, as without a terminal")
        else:
            tool.add_argument("--json", action="store_true", help="the answer as JSON, for scripts")
            tool.add_argument("words", nargs="+", metavar="COMMAND", help="such as: drain s-1 minutes=30")
            tool.epilog = (
                "'ctl help' lists the commands. Exit codes: 0 done, 1 the proxy refused, 2 wrong words, "
                "3 no proxy reached, 4 the answer was lost."
            )
    return parser


def socket_path(socket: str | None, site: str | None) -> Path:
    """Return the control socket's path: from the option, the operators' file, PROXY_SITE or the default.

    Raises `SiteError` for an invalid file.
    """
    if socket:
        return Path(socket)
    site = site or os.environ.get("PROXY_SITE")
    if site:
        from cloverrouter.site import load

        return load(site).control.socket
    return Path(DEFAULT_SOCKET)


def check(file: str) -> int:
    from cloverrouter.site import SiteError
    from cloverrouter.site import check as check_file
    from cloverrouter.site.settings import describe

    try:
        site = check_file(file)
    except SiteError as error:
        print(error, file=sys.stderr)
        return USAGE
    print(f"{file} is right. In force:\n{describe(site)}")
    return DONE


def ctl(path: Path, words: Sequence[str], as_json: bool) -> int:
    from cloverrouter.console.text import answer_lines, error_line, event_line
    from cloverrouter.control.client import ConnectionLost, ControlClient, Unreachable
    from cloverrouter.control.words import UsageError, parse

    try:
        client = ControlClient(path)
    except Unreachable as error:
        print(error, file=sys.stderr)
        return UNREACHABLE
    try:
        command, args = parse(words, client.ask("help")["result"]["commands"])
        answer = client.ask(command, **args)
        if as_json:
            print(json.dumps({k: v for k, v in answer.items() if k in ("ok", "result", "error")}))
        elif answer["ok"]:
            print("\n".join(answer_lines(command, answer["result"], time.time() * 1000)))
        else:
            print(error_line(answer["error"]), file=sys.stderr)
        if answer["ok"] and args.get("follow"):
            for event in client.follow():
                print(json.dumps(event) if as_json else event_line(event), flush=True)
        if answer["ok"]:
            return DONE
        return USAGE if answer["error"]["code"] in ("bad_argument", "no_command") else REFUSED
    except UsageError as error:
        print(error, file=sys.stderr)
        return USAGE
    except ConnectionLost as error:
        print(f"the answer was lost: {error}", file=sys.stderr)
        return LOST
    except KeyboardInterrupt:
        return DONE
    finally:
        client.close()


def main(arguments: Sequence[str] | None = None) -> int:
    words = sys.argv[1:] if arguments is None else list(arguments)
    if words[:1] == ["lab"]:
        from cloverrouter.lab.cli import main as lab

        return lab(words[1:])
    options = build_parser().parse_args(words)
    try:
        return dispatch(options)
    except ModuleNotFoundError as error:
        if error.name not in OPTIONAL_LIBRARIES:
            raise
        print(f"{MISSING_LIBRARIES} ({error.name} is missing)", file=sys.stderr)
        return USAGE


def dispatch(options: argparse.Namespace) -> int:
    """Run the chosen subcommand; return its exit code."""
    match options.word:
        case "check":
            return check(options.file)
        case "run":
            from cloverrouter.proxy.service import main as run

            return run(options.site)
        case "witness":
            from cloverrouter.vrrp.witness import main as witness

            return witness(options.listen, options.name, options.box, options.promise_ms, options.secret_file)
        case "demo":
            from cloverrouter.demo.launch import main as demo

            return demo(options.seconds, options.rate, options.servers)
    try:
        path = socket_path(options.socket, options.site)
    except ValueError as error:
        print(error, file=sys.stderr)
        return USAGE
    if options.word == "task":
        from cloverrouter.leases.run import run as run_task

        return run_task(
            path, options.name, options.room, options.command, options.wait, options.longest, options.grace
        )
    if options.word == "ctl":
        return ctl(path, options.words, options.json)
    from cloverrouter.console.app import main as console

    return console(path, options.speed, options.plain)
