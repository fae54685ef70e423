"""The command line: one program, one word for each thing that a technician does with it."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

DEFAULT_SOCKET = "/run/cloverrouter/control.sock"
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

    # Named here, read by the lab itself: what a proxy loads stays clear of it.
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
    """Where the control socket is: by option, by the operators' file, by PROXY_SITE, or by default.

    Raises `SiteError` for a file that is wrong.
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
    except SiteError as wrong:
        print(wrong, file=sys.stderr)
        return USAGE
    print(f"{file} is right. In force:\n{describe(site)}")
    return DONE


def ctl(path: Path, words: Sequence[str], as_json: bool) -> int:
    from cloverrouter.console.text import answer_lines, error_line, event_line
    from cloverrouter.control.client import ControlClient, Lost, Unreachable
    from cloverrouter.control.words import BadWords, parse

    try:
        client = ControlClient(path)
    except Unreachable as wrong:
        print(wrong, file=sys.stderr)
        return UNREACHABLE
    try:
        do, args = parse(words, client.ask("help")["result"]["commands"])
        answer = client.ask(do, **args)
        if as_json:
            print(json.dumps({k: v for k, v in answer.items() if k in ("ok", "result", "error")}))
        elif answer["ok"]:
            print("\n".join(answer_lines(do, answer["result"], time.time() * 1000)))
        else:
            print(error_line(answer["error"]), file=sys.stderr)
        if answer["ok"] and args.get("follow"):
            for event in client.follow():
                print(json.dumps(event) if as_json else event_line(event), flush=True)
        if answer["ok"]:
            return DONE
        return USAGE if answer["error"]["code"] in ("bad_argument", "no_command") else REFUSED
    except BadWords as wrong:
        print(wrong, file=sys.stderr)
        return USAGE
    except Lost as wrong:
        print(f"the answer was lost: {wrong}", file=sys.stderr)
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
    told = build_parser().parse_args(words)
    match told.word:
        case "check":
            return check(told.file)
        case "run":
            from cloverrouter.proxy.service import main as run

            return run(told.site)
        case "witness":
            from cloverrouter.vrrp.witness import main as witness

            return witness(told.listen, told.name, told.box, told.promise_ms, told.secret_file)
        case "demo":
            from cloverrouter.demo.launch import main as demo

            return demo(told.seconds, told.rate, told.servers)
    try:
        path = socket_path(told.socket, told.site)
    except ValueError as wrong:
        print(wrong, file=sys.stderr)
        return USAGE
    if told.word == "task":
        from cloverrouter.leases.run import run as run_task

        return run_task(path, told.name, told.room, told.command, told.wait, told.longest, told.grace)
    if told.word == "ctl":
        return ctl(path, told.words, told.json)
    from cloverrouter.console.app import main as console

    return console(path, told.speed, told.plain)
