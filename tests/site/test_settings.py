"""Validation of the operators' file: all errors are reported at once, each with its key and valid values."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.site import Site, SiteError, check, load
from cloverrouter.site.settings import read

EXAMPLE = Path(__file__).parents[2] / "deploy" / "site.toml"


def test_example_enables_nothing_and_lists_every_setting() -> None:
    assert load(str(EXAMPLE)) == Site()
    lines = EXAMPLE.read_text().splitlines()
    uncommented = "\n".join(line.removeprefix("# ") if " = " in line else line for line in lines)
    site, faults = read("\n".join(li for li in uncommented.splitlines() if not li.startswith("#")))
    assert site == Site(), faults  # the example shows the default of each setting


def test_empty_file_enables_nothing() -> None:
    assert read("") == (Site(), [])


@pytest.mark.parametrize(
    ("text", "key", "right"),
    [
        ("[control]\nenabled = 1", "control.enabled", "must be true or false"),
        ('[control]\nenabled = "yes"', "control.enabled", "must be true or false"),
        ("[control]\nclients = 0", "control.clients", "from 1 to 64"),
        ("[control]\nclients = 65", "control.clients", "from 1 to 64"),
        ("[control]\nclients = 1.5", "control.clients", "a whole number"),
        ("[control]\nclients = true", "control.clients", "a whole number"),
        ("[control]\nclients = nan", "control.clients", "a whole number"),
        ("[control]\nqueue_kb = 1", "control.queue_kb", "from 16 to 4096"),
        ("[control]\ndirektory = '/x'", "control.direktory", "did you mean 'directory'"),
        ("[control]\ndirectory = ''", "control.directory", "absolute path"),
        ("[control]\ndirectory = 'run'", "control.directory", "absolute path"),
        (f"[control]\ndirectory = '/{'x' * 100}'", "control.directory", "at most 107"),
        ("[state]\ndirectory = 5", "state.directory", "absolute path"),
        ("[vrrp]\nlisten = 'localhost:1'", "vrrp.listen", "no look-ups"),
        ("[vrrp]\npriority = 256", "vrrp.priority", "from 1 to 255"),
        ("[vrrp]\naddresses = ['x']", "vrrp.addresses", "10.0.0.9"),
        ("[vrrp]\npeer = 'a'", "vrrp.peer", "name of its own"),
        ("[vrrp]\nenabled = true", "vrrp.weight", "name a witness"),
        ("[vrrp]\nwitness = 'w'\nwitness_address = '127.0.0.1:1'\nweight = 2", "vrrp.weight", "weigh 1"),
        ("[leases]\nlisten = 'p1:1'", "leases.listen", "no look-ups"),
        ("[leases]\nmembers = ['p2']", "leases.members", "name=address:port"),
        ("[leases]\nmembers = ['p2=127.0.0.1:1', 'p2=127.0.0.1:2']", "leases.members", "name of its own"),
        ("[leases]\nvoters = ['p9']", "leases.voters", "names of members"),
        ("[leases]\nenabled = true", "leases.voters", "an odd number"),
        ("[leases]\nenabled = true\nvoters = ['p1', 'p1', 'p1']", "leases.voters", "different names"),
        ("[leases]\npromise_ms = 10", "leases.promise_ms", "from 200 to 60000"),
        ("[leases]\nformer_secret_file = 'x'", "leases.former_secret_file", "absolute"),
        ("[http3]\nlisten = 'localhost:1'", "http3.listen", "no look-ups"),
        ("[http3]\nenabled = true\nkey = '/k'", "http3.certificate", "absolute path"),
        ("[http3]\nenabled = true\ncertificate = '/c'\nkey = 'k'", "http3.key", "absolute path"),
        ("[http3]\nconnections = 0", "http3.connections", "from 1 to 10000"),
        ("[http3_servers]\nenabled = true", "http3_servers.authority", "absolute path"),
        ("[http3_servers]\nservers = 's-1'", "http3_servers.servers", "a list"),
        ("[http3_servers]\nname = 'a b'", "http3_servers.name", "a host's name"),
        ("[http3_servers]\nconnections = 1001", "http3_servers.connections", "from 1 to 1000"),
        ("[vrrp]\nsecret_file = 'x'", "vrrp.secret_file", "absolute"),
        ("[stat]\nenabled = true", "stat", "did you mean 'state'"),
        ("control = 5", "control", "must be a table"),
        ("[control", "", "toml.io"),
        ("[control]\nenabled = true\nenabled = true", "", "toml.io"),
    ],
)
def test_fault_names_its_key_and_the_valid_values(text: str, key: str, right: str) -> None:
    site, faults = read(text)
    assert site is None
    (fault,) = faults
    assert fault.key == key and right in fault.right


def test_all_faults_are_reported_at_once_each_with_the_file(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text("[control]\nclients = 0\nqueue = 5\n[state]\nenabled = 'on'\n[x]\n")
    with pytest.raises(SiteError) as caught:
        load(str(path))
    lines = str(caught.value).splitlines()
    assert len(lines) == 4 and all(line.startswith(f"{path}: ") for line in lines)


@given(st.text(max_size=200))
def test_arbitrary_text_yields_settings_or_faults(text: str) -> None:
    site, faults = read(text)
    assert (site is None) == bool(faults)


@pytest.mark.parametrize("data", [b"\xff\xfe", b"#" * 300_000], ids=["no utf-8", "huge"])
def test_unreadable_file_is_an_error(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "site.toml"
    path.write_bytes(data)
    with pytest.raises(SiteError):
        load(str(path))
    with pytest.raises(SiteError, match="can't be read"):
        load(str(tmp_path / "missing"))


def test_check_validates_the_directories(tmp_path: Path) -> None:
    path, folder = tmp_path / "site.toml", tmp_path / "c"
    path.write_text(f"[control]\nenabled = true\ndirectory = '{folder}'\n")
    assert check(str(path)).control.enabled  # a missing directory is created at startup
    folder.mkdir(mode=0o755)
    folder.chmod(0o755)
    with pytest.raises(SiteError, match="chmod 0700"):
        check(str(path))
    folder.chmod(0o700)
    assert check(str(path))
    folder.rmdir()
    folder.write_text("")
    with pytest.raises(SiteError, match="is no folder"):
        check(str(path))
    path.write_text(f"[control]\nenabled = true\ndirectory = '{tmp_path}/none/c'\n")
    with pytest.raises(SiteError, match="parent folder"):
        check(str(path))


def test_check_command_reports_faults_and_starts_no_proxy(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("[control]\nclients = 900\n")
    command = [sys.executable, "-m", "cloverrouter", "check"]
    result = subprocess.run([*command, str(bad)], capture_output=True, text=True, timeout=60)
    assert result.returncode == 2
    assert result.stderr == f"{bad}: control.clients: is 900; must be a whole number from 1 to 64\n"
    result = subprocess.run([*command, str(EXAMPLE)], capture_output=True, text=True, timeout=60)
    assert result.returncode == 0 and '"enabled": false' in result.stdout


@pytest.mark.parametrize("wrong", ["[control]\nclients = 0\n", None], ids=["bad file", "no file"])
def test_proxy_does_not_start_with_an_invalid_file(tmp_path: Path, wrong: str | None) -> None:
    path, config = tmp_path / "site.toml", tmp_path / "config.json"
    if wrong is not None:
        path.write_text(wrong)
    config.write_text(
        '{"name": "n", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:1", "settings": {"balancers": 1,'
        '"bounds": {"max_attempts": 1}, "categories": [], "safety": {"cold_share": 1, "cold_ms": 0,'
        '"fall_multiple": 3, "fall_ms": 1, "must_ask_in_ms": 1}}}'
    )
    environ = {**os.environ, "PROXY_CONFIG": str(config), "PROXY_SITE": str(path)}
    result = subprocess.run(
        [sys.executable, "-m", "cloverrouter.proxy"], env=environ, capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 2 and str(path) in result.stderr
