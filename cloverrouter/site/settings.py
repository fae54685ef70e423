"""Load and validate the operators' file into typed settings.

Validation is strict: an unknown key or a value out of range is an error that names the file, the key and
the valid values, and all errors are reported at once. The file is TOML 1.0. Every feature has one table, in
which `enabled` turns it on; without the file, or without the table, the feature is off.
"""

from __future__ import annotations

import os
import re
import stat
import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct
from msgspec import json as msgspec_json
from msgspec.structs import fields

from cloverrouter.strict import Fault, FileError, convert_table, read_file, unknown_name

VARIABLE = "PROXY_SITE"
MOST_BYTES = 256 * 1024
MOST_PATH = 107  # bytes of a Unix socket's path without the terminating null byte (unix(7))
SOCKET = "control.sock"

Folder = Annotated[str, Meta(min_length=1, max_length=4096, description="a folder's absolute path")]


class Control(Struct, frozen=True):
    """`[control]`: the control socket of the console and of `ctl`."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    directory: Folder = "/run/cloverrouter"
    clients: Annotated[int, Meta(ge=1, le=64, description="a whole number from 1 to 64")] = 16
    queue_kb: Annotated[int, Meta(ge=16, le=4096, description="a whole number from 16 to 4096")] = 256

    @property
    def socket(self) -> Path:
        return Path(self.directory, SOCKET)


class State(Struct, frozen=True):
    """`[state]`: the directory of the state that persists across restarts."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    directory: Folder = "/var/lib/cloverrouter"


Member = Annotated[
    str, Meta(pattern="^[A-Za-z0-9._-]{1,32}$", description="1 to 32 letters, digits or . _ -")
]
Weight = Annotated[int, Meta(ge=1, le=9, description="a whole number from 1 to 9")]


class Vrrp(Struct, frozen=True):
    """`[vrrp]`: this appliance is one of a pair, of which at most one accepts work."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    name: Member = "a"
    listen: Annotated[str, Meta(description="an address such as 10.0.0.1:8112")] = "127.0.0.1:8112"
    peer: Member = "b"
    peer_address: Annotated[str, Meta(description="an address such as 10.0.0.2:8112")] = "127.0.0.2:8112"
    witness: Annotated[
        str, Meta(pattern="^[A-Za-z0-9._-]{0,32}$", description="up to 32 letters, digits or . _ -")
    ] = ""
    witness_address: Annotated[str, Meta(description="an address such as 10.0.0.3:8112")] = ""
    vrid: Annotated[int, Meta(ge=1, le=255, description="a whole number from 1 to 255")] = 1
    priority: Annotated[int, Meta(ge=1, le=255, description="a whole number from 1 to 255")] = 100
    interval_cs: Annotated[int, Meta(ge=1, le=4095, description="centiseconds from 1 to 4095")] = 100
    preempt: Annotated[bool, Meta(description="true or false")] = True
    addresses: Annotated[
        tuple[str, ...], Meta(max_length=16, description="a list of up to 16 addresses")
    ] = ()
    weight: Weight = 1
    peer_weight: Weight = 1
    promise_ms: Annotated[int, Meta(ge=100, le=60_000, description="milliseconds from 100 to 60000")] = 3000
    secret_file: Annotated[str, Meta(max_length=4096, description="a file's absolute path, or empty")] = ""


class Http3(Struct, frozen=True):
    """`[http3]`: clients may also connect with HTTP/3 over QUIC."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    listen: Annotated[str, Meta(description="an address such as 10.0.0.1:443, for UDP")] = "127.0.0.1:8443"
    certificate: Annotated[str, Meta(max_length=4096, description="a PEM file's absolute path")] = ""
    key: Annotated[str, Meta(max_length=4096, description="a PEM file's absolute path")] = ""
    connections: Annotated[int, Meta(ge=1, le=10_000, description="a whole number from 1 to 10000")] = 200
    alt_svc: Annotated[bool, Meta(description="true or false")] = False
    alt_svc_s: Annotated[int, Meta(ge=1, le=604_800, description="seconds from 1 to 604800")] = 3600


class Http3Servers(Struct, frozen=True):
    """`[http3_servers]`: servers reached with HTTP/3, at the UDP port of the same number as listed."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    servers: Annotated[
        tuple[str, ...], Meta(max_length=1000, description="a list of up to 1000 servers' ids")
    ] = ()
    authority: Annotated[str, Meta(max_length=4096, description="a PEM file's absolute path")] = ""
    name: Annotated[str, Meta(pattern="^[A-Za-z0-9.-]{0,253}$", description="a host's name, or empty")] = ""
    fallback: Annotated[bool, Meta(description="true or false")] = True
    connections: Annotated[int, Meta(ge=1, le=1000, description="a whole number from 1 to 1000")] = 64


class Log(Struct, frozen=True):
    """`[log]`: log records and events as lines of JSON."""

    enabled: Annotated[bool, Meta(description="true or false")] = False


class Leases(Struct, frozen=True):
    """`[leases]`: tasks that only a limited number of proxies may execute at a time."""

    enabled: Annotated[bool, Meta(description="true or false")] = False
    name: Member = "p1"
    listen: Annotated[str, Meta(description="an address such as 10.0.0.1:8113")] = "127.0.0.1:8113"
    members: Annotated[
        tuple[str, ...], Meta(max_length=500, description="a list of up to 500 members, as name=address:port")
    ] = ()
    voters: Annotated[tuple[Member, ...], Meta(max_length=9, description="a list of up to 9 names")] = ()
    promise_ms: Annotated[int, Meta(ge=200, le=60_000, description="milliseconds from 200 to 60000")] = 3000
    secret_file: Annotated[str, Meta(max_length=4096, description="a file's absolute path, or empty")] = ""
    former_secret_file: Annotated[str, Meta(max_length=4096, description="the same")] = ""
    directory: Annotated[str, Meta(max_length=4096, description="a folder's absolute path, or empty")] = ""

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses of the other members by name."""
        parsed = dict(member.split("=", 1) for member in self.members)
        return {name: address for name, address in parsed.items() if name != self.name}


class Site(Struct, frozen=True):
    control: Control = Control()
    state: State = State()
    vrrp: Vrrp = Vrrp()
    http3: Http3 = Http3()
    http3_servers: Http3Servers = Http3Servers()
    leases: Leases = Leases()
    log: Log = Log()


class SiteError(FileError):
    """The operators' file is invalid or can't be read."""


def read(text: str) -> tuple[Site | None, list[Fault]]:
    """Return the settings in `text`, or None and all errors in it."""
    faults: list[Fault] = []
    try:
        parsed = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return None, [Fault("", f"is no TOML: {error}", "see https://toml.io for the form")]
    kinds = {field.name: field.type for field in fields(Site)}
    tables: dict[str, Any] = {}
    for name, value in parsed.items():
        if name not in kinds:
            faults.append(unknown_name("table", name, list(kinds)))
        else:
            tables[name] = convert_table(name, kinds[name], value, faults)
    if faults:
        return None, faults
    site = Site(**tables)
    for name, folder in (("control", site.control.directory), ("state", site.state.directory)):
        if not folder.startswith("/"):
            right = "must be an absolute path: the program may be started anywhere"
            faults.append(Fault(f"{name}.directory", f"is {folder!r}", right))
    faults += _vrrp_faults(site.vrrp)
    faults += _http3_faults(site.http3)
    faults += _leases_faults(site.leases)
    http3_servers = site.http3_servers
    if http3_servers.enabled and not http3_servers.authority.startswith("/"):
        right = "must be an absolute path: whoever answers at a server's address would be believed"
        faults.append(Fault("http3_servers.authority", f"is {http3_servers.authority!r}", right))
    if len(os.fsencode(site.control.socket)) > MOST_PATH:
        text = f"is too long: the socket's path would have {len(os.fsencode(site.control.socket))} bytes"
        faults.append(Fault("control.directory", text, f"at most {MOST_PATH} with /{SOCKET}"))
    return (None if faults else site), faults


def _is_address(text: str, port: bool) -> bool:
    host, colon, number = text.rpartition(":") if port else (text, ":", "1")
    try:
        ip_address(host)
        return bool(colon) and 0 < int(number) < 65536
    except ValueError:
        return False


def _vrrp_faults(vrrp: Vrrp) -> list[Fault]:
    faults = []
    for key in ("listen", "peer_address", *(["witness_address"] if vrrp.witness else [])):
        if not _is_address(getattr(vrrp, key), port=True):
            right = "must be an address and a port, such as 10.0.0.1:8112; there are no look-ups"
            faults.append(Fault(f"vrrp.{key}", f"is {getattr(vrrp, key)!r}", right))
    for address in vrrp.addresses:
        if not _is_address(address, port=False):
            right = "must be addresses such as 10.0.0.9"
            faults.append(Fault("vrrp.addresses", f"has {address!r}", right))
    if len({vrrp.name, vrrp.peer, vrrp.witness}) < 3:
        right = "each member needs a name of its own"
        faults.append(Fault("vrrp.peer", f"{vrrp.peer!r} is another's name, too", right))
    if vrrp.enabled and not vrrp.witness and vrrp.weight == vrrp.peer_weight:
        right = "name a witness, or let one box's vote weigh more: else neither takes without the other"
        faults.append(Fault("vrrp.weight", "both boxes' votes weigh the same and there is no witness", right))
    if vrrp.witness and vrrp.weight != vrrp.peer_weight:
        faults.append(Fault("vrrp.weight", "differs from peer_weight", "with a witness all votes weigh 1"))
    if vrrp.secret_file and not vrrp.secret_file.startswith("/"):
        faults.append(Fault("vrrp.secret_file", f"is {vrrp.secret_file!r}", "must be an absolute path"))
    return faults


def _leases_faults(leases: Leases) -> list[Fault]:
    faults = []
    if not _is_address(leases.listen, port=True):
        right = "must be an address and a port, such as 10.0.0.1:8113; there are no look-ups"
        faults.append(Fault("leases.listen", f"is {leases.listen!r}", right))
    names = {leases.name}
    for member in leases.members:
        name, _, address = member.partition("=")
        if not re.fullmatch("[A-Za-z0-9._-]{1,32}", name) or not _is_address(address, port=True):
            right = "must be name=address:port, such as p2=10.0.0.2:8113"
            faults.append(Fault("leases.members", f"has {member!r}", right))
        elif name in names and name != leases.name:
            right = "each member needs a name of its own"
            faults.append(Fault("leases.members", f"has {name!r} twice", right))
        names.add(name)
    for voter in leases.voters:
        if voter not in names:
            right = "must be names of members, or this proxy's own; the same list at every proxy"
            faults.append(Fault("leases.voters", f"has {voter!r}", right))
    if leases.enabled and (len(leases.voters) % 2 == 0 or len(set(leases.voters)) < len(leases.voters)):
        right = "must be an odd number of different names, best 3 or 5: an even one stands no more failures"
        faults.append(Fault("leases.voters", f"names {len(leases.voters)}", right))
    for key in ("secret_file", "former_secret_file", "directory"):
        path = getattr(leases, key)
        if path and not path.startswith("/"):
            faults.append(Fault(f"leases.{key}", f"is {path!r}", "must be an absolute path"))
    return faults


def _http3_faults(http3: Http3) -> list[Fault]:
    faults = []
    if not _is_address(http3.listen, port=True):
        right = "must be an address and a port, such as 10.0.0.1:443; there are no look-ups"
        faults.append(Fault("http3.listen", f"is {http3.listen!r}", right))
    for name in ("certificate", "key") if http3.enabled else ():
        if not getattr(http3, name).startswith("/"):
            right = "must be an absolute path: HTTP/3 can't be spoken without"
            faults.append(Fault(f"http3.{name}", f"is {getattr(http3, name)!r}", right))
    return faults


def secret_of(path: str) -> bytes | None:
    """Return the secret in the file `path`, surrounding white space removed; None for an empty path.

    Raises OSError, and ValueError if the secret has fewer than 16 bytes.
    """
    if not path:
        return None
    secret = Path(path).read_bytes().strip()
    if len(secret) < 16:
        raise ValueError(f"{path}: a secret has at least 16 bytes")
    return secret


def load(path: str) -> Site:
    """Load the operators' file. Raises `SiteError` if it is missing, too large or invalid."""
    text, faults = read_file(path, MOST_BYTES)
    if text is None:
        raise SiteError(path, faults)
    site, faults = read(text)
    if site is None:
        raise SiteError(path, faults)
    return site


def private_folder(key: str, folder: str) -> Fault | None:
    """Return the fault of a folder that must be private to its owner; None if it is valid or absent."""
    try:
        status = os.stat(folder)
    except FileNotFoundError:
        if Path(folder).parent.is_dir():
            return None  # it is created at the start
        return Fault(key, f"{folder}: its parent folder is not there", "make the parent folder first")
    except OSError as error:
        return Fault(key, f"{folder}: {error.strerror}", "a folder that this user can reach")
    if not stat.S_ISDIR(status.st_mode):
        return Fault(key, f"{folder} is no folder", "name a folder, or remove what is there")
    if status.st_uid != os.geteuid():
        right = f"it must belong to the proxy's user, {os.geteuid()}"
        return Fault(key, f"{folder} belongs to user {status.st_uid}", right)
    if status.st_mode & 0o077:
        text = f"{folder} has mode {status.st_mode & 0o777:04o}: others can enter it"
        return Fault(key, text, f"chmod 0700 {folder}")
    return None


def check(path: str) -> Site:
    """Load the file and check that its folders are usable now. Raises `SiteError`."""
    site = load(path)
    faults = [
        fault
        for key, table in (("control.directory", site.control), ("state.directory", site.state))
        if table.enabled and (fault := private_folder(key, table.directory)) is not None
    ]
    if faults:
        raise SiteError(path, faults)
    return site


def describe(site: Site) -> str:
    """Return the settings in force, including defaults, as JSON text."""
    return msgspec_json.format(msgspec_json.encode(site), indent=2).decode()
