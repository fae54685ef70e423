"""Start the proxy; change its file and send SIGHUP after the file is read and before the loop runs."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path

from cloverrouter.proxy import config, service
from cloverrouter.proxy.config import Config

original_load = config.load


def load(environ: Mapping[str, str]) -> Config:
    loaded = original_load(environ)
    path = Path(environ["PROXY_CONFIG"])
    fields = json.loads(path.read_text())
    classes = fields["settings"]["categories"]
    classes.append({**classes[-1], "name": "new"})
    path.write_text(json.dumps(fields))
    os.kill(os.getpid(), signal.SIGHUP)
    return loaded


if __name__ == "__main__":
    config.load = load
    sys.exit(service.main())
