"""One worker process: runs of the lab by lines of JSON on standard input, results on standard output.

    python .../lab/worker.py CHECKOUT

The module and the node come from CHECKOUT, the lab always from where this file stands: two checkouts are
measured with the same yardstick. A line is {"scenario": {...}, "seed": 1}; the answer {"result": {...}} or
{"error": "..."}. It ends with its input.
"""

from __future__ import annotations

import importlib.util
import json
import sys
from pathlib import Path


def prepare(checkout: str) -> None:
    """Let `cloverrouter` be the checkout's, with this lab in it."""
    own = Path(__file__).resolve().parent
    sys.path[0] = checkout
    import cloverrouter

    # What the checkout has not, such as the lab's own needs, comes from here.
    cloverrouter.__path__.append(str(own.parent))
    spec = importlib.util.spec_from_file_location(
        "cloverrouter.lab", own / "__init__.py", submodule_search_locations=[str(own)]
    )
    assert spec is not None and spec.loader is not None
    lab = importlib.util.module_from_spec(spec)
    sys.modules["cloverrouter.lab"] = lab
    spec.loader.exec_module(lab)


def main() -> None:
    prepare(sys.argv[1])
    import msgspec

    from cloverrouter.lab.scenario import build
    from cloverrouter.lab.simulation import simulate

    out = sys.stdout
    sys.stdout = sys.stderr  # whatever else is printed must not be taken for a result
    for line in sys.stdin:
        told = json.loads(line)
        try:
            answer = {"result": msgspec.to_builtins(simulate(build(told["scenario"]), told["seed"]))}
        except Exception as error:
            answer = {"error": f"{type(error).__name__}: {error}"}
        out.write(json.dumps(answer) + "\n")
        out.flush()


if __name__ == "__main__":
    main()
