"""A worker process: reads runs as JSON lines from standard input, writes results to standard output.

    python .../lab/worker.py CHECKOUT

The decision module and the node come from CHECKOUT, the lab from this file's directory, so that two checkouts
are measured by the same lab. A line is {"scenario": {...}, "seed": 1}, the answer {"result": {...}} or
{"error": "..."}. The process ends at the end of its input.
"""

from __future__ import annotations

import importlib.util
import json
import sys
from pathlib import Path


def prepare(checkout: str) -> None:
    """Import `cloverrouter` from the checkout, with this lab as its subpackage `lab`."""
    lab_directory = Path(__file__).resolve().parent
    sys.path[0] = checkout
    import cloverrouter

    # Modules that the checkout lacks, such as those that only this lab needs, are imported from this package.
    cloverrouter.__path__.append(str(lab_directory.parent))
    spec = importlib.util.spec_from_file_location(
        "cloverrouter.lab", lab_directory / "__init__.py", submodule_search_locations=[str(lab_directory)]
    )
    assert spec is not None and spec.loader is not None
    lab = importlib.util.module_from_spec(spec)
    sys.modules["cloverrouter.lab"] = lab
    spec.loader.exec_module(lab)


def main() -> None:
    """Answer each line of standard input."""
    prepare(sys.argv[1])
    import msgspec

    from cloverrouter.lab.scenario import build
    from cloverrouter.lab.simulation import simulate

    out = sys.stdout
    sys.stdout = sys.stderr  # other output must not be read as a result
    for line in sys.stdin:
        request = json.loads(line)
        try:
            answer = {"result": msgspec.to_builtins(simulate(build(request["scenario"]), request["seed"]))}
        except Exception as error:
            answer = {"error": f"{type(error).__name__}: {error}"}
        out.write(json.dumps(answer) + "\n")
        out.flush()


if __name__ == "__main__":
    main()
