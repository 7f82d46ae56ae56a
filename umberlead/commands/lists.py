"""`umberlead list`: checks, compares, formats, seals and shows endpoint lists.

Most commands need no front; `show --door` and `confirm` call the admin API of a running one. Modules of
`umberlead.membership` are imported in the functions that use them, so that other commands start without them.
"""

import json
import os
import sys
import urllib.error
import urllib.request
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from umberlead.membership.checks import CheckResult
    from umberlead.membership.files import FileSet
    from umberlead.membership.model import CheckedList, EndpointSpec, ListProblem

FILE_ARGUMENT = click.Path(dir_okay=False, path_type=Path)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
SHARDS_OPTION = click.option(
    "--shards", "shard_count", type=click.IntRange(0), default=0, help="Number of shards that must be served."
)
ADMIN_ADDRESS_OPTION = click.option(
    "--door", "admin_address", metavar="HOST:PORT", required=True, help="The front's management address."
)
STATUS_PATH = "/control/list"
ENDPOINTS_PATH = "/control/list/servers"
CONFIRM_PATH = "/control/list/confirm/"
RESOLVE_TIMEOUT_SECONDS = 5.0
ADMIN_API_TIMEOUT_SECONDS = 5
CONFLICT_STATUS = 409
PROBLEMS_STATUS = 1
FAILED_STATUS = 2
# The name under which each field of an endpoint is printed.
PRINTED_FIELDS = {
    "name": "name",
    "address": "address",
    "shard": "shard",
    "state": "status",
    "room": "zone",
    "weight": "weight",
    "units": "max_units",
    "started": "started_us",
}
# Problems that are solved by writing a new manifest.
MANIFEST_CODES = ("L405", "L406")

PrintedChanges = dict[str, list[Any]]


@click.group()
def lists() -> None:
    """Work on lists of chunk servers."""


@lists.command()
@click.argument("path", type=FILE_ARGUMENT)
@click.option("--resolve", is_flag=True, help="Resolve host names as a front does.")
@SHARDS_OPTION
@JSON_OPTION
def check(path: Path, resolve: bool, shard_count: int, as_json: bool) -> None:
    """Check the set of files whose main file is PATH."""
    check_result = _check(path, shard_count, resolve)
    checked_list = check_result.checked_list
    if checked_list is not None:
        version = checked_list.version
        count = len(checked_list.endpoints)
        fields = {"sound": True, "version": version, "servers": count, "digest": checked_list.digest}
        _print_result(fields, as_json, f"{path}: valid, version {version}, {count} servers")
        return
    if as_json:
        rows = [problem.to_json_row() for problem in check_result.problems]
        click.echo(json.dumps({"sound": False, "problems": rows}, indent=1))
    _print_problems(check_result.problems)
    sys.exit(PROBLEMS_STATUS)


@lists.command()
@click.argument("old", type=FILE_ARGUMENT)
@click.argument("new", type=FILE_ARGUMENT)
@JSON_OPTION
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Print the changes from the list OLD to the list NEW; the exit code is 0 if there are none."""
    from umberlead.membership.model import diff_endpoints

    before = checked_list_or_exit(old).endpoints
    after = checked_list_or_exit(new).endpoints
    delta = diff_endpoints(before, after)
    changes = {name: _printed_changes(before[name], after[name]) for name in delta.changed}
    lines = [f"- {name}" for name in delta.removed]
    lines += [f"+ {name}" for name in delta.added]
    for name, fields in changes.items():
        listed = ", ".join(f"{field} {old_value} -> {value}" for field, (old_value, value) in fields.items())
        lines.append(f"~ {name} {listed}")
    if delta.unserved_shards:
        lines.append("! no ready server left for shard " + ", ".join(map(str, delta.unserved_shards)))
    result = {
        "came": list(delta.added),
        "went": list(delta.removed),
        "withdrawn": delta.withdrawn_count,
        "changed": changes,
        "lost_shards": list(delta.unserved_shards),
    }
    _print_result(result, as_json, "\n".join(lines))
    sys.exit(PROBLEMS_STATUS if delta.affected_names else 0)


def _printed_changes(before: "EndpointSpec", after: "EndpointSpec") -> PrintedChanges:
    """Return the values of the fields that differ, before and after."""
    changes = {}
    for printed, field in PRINTED_FIELDS.items():
        values = [getattr(before, field), getattr(after, field)]
        if values[0] != values[1]:
            changes[printed] = [_plain_value(value) for value in values]
    return changes


def _plain_value(value: Any) -> Any:
    """Return an address as HOST:PORT, and an enum's member as its value."""
    if isinstance(value, tuple):
        return ":".join(map(str, value))
    return getattr(value, "value", value)


@lists.command("format")
@click.argument("paths", nargs=-1, required=True, type=FILE_ARGUMENT)
@click.option("--write", is_flag=True, help="Rewrite the files instead of printing.")
@click.option(
    "--check",
    "check_only",
    is_flag=True,
    help="Only print which files would change; exit code 1 if any would.",
)
def format_(paths: tuple[Path, ...], write: bool, check_only: bool) -> None:
    """Format list files in the standard layout. Comments stay; a file that can't be parsed isn't changed."""
    from umberlead.membership.formatting import format_list
    from umberlead.membership.grammar import parse_file

    any_failed = False
    any_differs = False
    for path in paths:
        text = _read_text_or_exit(path)
        problems = parse_file(text, str(path)).problems
        if problems:
            any_failed = True
            _print_problems(problems)
            continue
        formatted = format_list(text)
        differs = formatted != text
        any_differs |= differs
        if check_only:
            if differs:
                click.echo(f"{path} would change")
        elif not write:
            click.echo(formatted, nl=False)
        elif differs:
            _write_or_exit(path, formatted)
    sys.exit(FAILED_STATUS if any_failed else int(check_only and any_differs))


@lists.command()
@click.argument("path", type=FILE_ARGUMENT)
def seal(path: Path) -> None:
    """Write the manifest that PATH names, with the digests of all current files of the set.

    The manifest is the last file of a set to be written.
    """
    import hashlib

    from umberlead.membership import files

    file_set = files.read_set(path)
    _exit_unless_sealable(file_set)
    manifest = file_set.parsed_files[0].manifest
    if manifest is None:
        click.echo(f"{path}: the list names no manifest", err=True)
        sys.exit(PROBLEMS_STATUS)
    manifest_path = path.parent / manifest.value
    if os.path.relpath(manifest_path, path.parent) in {parsed.file for parsed in file_set.parsed_files}:
        click.echo(f"{manifest.position}: {manifest.value} is a list file of the set", err=True)
        sys.exit(PROBLEMS_STATUS)
    rows = ["format 1"]
    for parsed in sorted(file_set.parsed_files, key=lambda parsed: parsed.file):
        digest = hashlib.sha256(file_set.text_by_file[parsed.file].encode()).hexdigest()
        rows.append(f"file {parsed.file} sha256 {digest}")
    _write_or_exit(manifest_path, "\n".join([*rows, f"end {len(rows)}", ""]))


def _exit_unless_sealable(file_set: "FileSet") -> None:
    """Print problems and exit, unless a new manifest solves all of them.

    Problem L401 where the list names its manifest means that the manifest does not exist yet. Another file
    that can't be read is a problem, as the manifest would not have it.
    """
    manifest = file_set.parsed_files[0].manifest if file_set.parsed_files else None
    problems = [
        problem
        for problem in file_set.problems
        if problem.code not in MANIFEST_CODES
        and not (manifest is not None and problem.code == "L401" and problem.position == manifest.position)
    ]
    problems += [problem for parsed in file_set.parsed_files for problem in parsed.problems]
    if problems or not file_set.parsed_files:
        _print_problems(problems)
        sys.exit(PROBLEMS_STATUS)


@lists.command()
@click.argument("path", type=FILE_ARGUMENT, required=False)
@click.option("--door", "admin_address", metavar="HOST:PORT", help="Show the list that a running front uses.")
@click.option("--snapshot", "is_snapshot", is_flag=True, help="PATH is a front's snapshot.")
@JSON_OPTION
def show(path: Path | None, admin_address: str | None, is_snapshot: bool, as_json: bool) -> None:
    """Show the servers of a list, of a snapshot, or of a running front."""
    if (path is None) == (admin_address is None):
        raise click.UsageError("give either PATH or --door")
    if admin_address is not None:
        _show_running_front(admin_address, as_json)
        return
    assert path is not None
    checked_list = _snapshot_list_or_exit(path) if is_snapshot else checked_list_or_exit(path)
    rows = [
        {
            "name": endpoint.name,
            "address": _plain_value(endpoint.address),
            "shard": endpoint.shard,
            "room": endpoint.zone,
            "weight": endpoint.weight,
            "state": "ready" if endpoint.status.value == "up" else "draining",
        }
        for endpoint in checked_list.endpoints.values()
    ]
    result = {"version": checked_list.version, "list": rows}
    _print_result(result, as_json, "\n".join(_format_row(row) for row in rows))


def _show_running_front(admin_address: str, as_json: bool) -> None:
    rows = json.loads(_call_admin_api(admin_address, ENDPOINTS_PATH))
    status = json.loads(_call_admin_api(admin_address, STATUS_PATH))
    heading = f"generation {status['generation']} from {status['origin']}, version {status['version']}"
    lines = [f"{heading}, {status['age_s']:.0f} s old"]
    for problem in status["complaint"]:
        lines.append(f"! {problem['file']}:{problem['line']}: {problem['code']}: {problem['text']}")
    if "pending" in status:
        lines.append(
            f"! new list held back; confirm with: umberlead list confirm {status['pending']['confirm']}"
        )
    lines += [_format_row(row) for row in rows]
    _print_result(status | {"list": rows}, as_json, "\n".join(lines))


def _format_row(row: dict[str, Any]) -> str:
    words = [f"{row['name']:<24} {row['address']!s:<22} shard {row['shard']:<6} {row['state']}"]
    if row["weight"] is not None:
        words.append(f"weight {row['weight']:g}")
    if row["room"]:
        words.append(f"room {row['room']}")
    words += [flag for flag in ("held", "by_hand") if row.get(flag)]
    return " ".join(words)


@lists.command()
@click.argument("digest")
@ADMIN_ADDRESS_OPTION
def confirm(digest: str, admin_address: str) -> None:
    """Confirm the list that a front holds back, by its digest."""
    click.echo(_call_admin_api(admin_address, f"{CONFIRM_PATH}{digest}", "PUT").strip())


def _check(path: Path, shard_count: int, resolve_names: bool) -> "CheckResult":
    from umberlead.membership.loading import ListLoader
    from umberlead.membership.name_resolution import NameResolver, system_lookup

    # Without name resolution, each host name takes the place of its address.
    lookup = system_lookup if resolve_names else lambda host: (host,)
    resolver = NameResolver(lookup, timeout_seconds=RESOLVE_TIMEOUT_SECONDS)
    return ListLoader(path, shard_count, resolver).load(None).check_result


def checked_list_or_exit(path: Path, resolve_names: bool = False) -> "CheckedList":
    """Return the checked list of a main file, or print its problems and exit.

    Host names are resolved only if `resolve_names` is true.
    """
    check_result = _check(path, 0, resolve_names)
    if check_result.checked_list is None:
        _print_problems(check_result.problems)
        sys.exit(PROBLEMS_STATUS)
    return check_result.checked_list


def _snapshot_list_or_exit(path: Path) -> "CheckedList":
    """Return the list of a snapshot, or print why there is none and exit."""
    from umberlead.membership import snapshot

    try:
        saved = snapshot.read_snapshot(path)
    except (snapshot.SnapshotDamagedError, OSError) as error:
        _exit_failed(path, error)
    if saved is None:
        _exit_failed(path, "there is no such file")
    return saved.checked_list


def _read_text_or_exit(path: Path) -> str:
    from umberlead.common.regular_file import read_regular_file
    from umberlead.membership.files import MAX_SET_BYTES

    try:
        data = read_regular_file(path, MAX_SET_BYTES + 1)
        text = data.decode().replace("\r\n", "\n").replace("\r", "\n")
    except (OSError, ValueError) as error:
        _exit_failed(path, error)
    if len(data) > MAX_SET_BYTES:
        _exit_failed(path, f"the file exceeds {MAX_SET_BYTES >> 20} MiB")
    return text


def _write_or_exit(path: Path, text: str) -> None:
    from umberlead.membership.snapshot import write_atomically

    try:
        write_atomically(path, text.encode())
    except (OSError, ValueError) as error:
        _exit_failed(path, error)


def _call_admin_api(admin_address: str, path: str, method: str = "GET") -> str:
    """Return the body of a running front's response, or print its error and exit."""
    request = urllib.request.Request(f"http://{admin_address}{path}", method=method)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=ADMIN_API_TIMEOUT_SECONDS) as response:
            return str(response.read().decode())
    except urllib.error.HTTPError as error:
        message = f"{error.code}: {error.read().decode().strip()}"
        status = PROBLEMS_STATUS if error.code == CONFLICT_STATUS else FAILED_STATUS
        _exit_failed(admin_address, message, status)
    except OSError as error:
        _exit_failed(admin_address, error)


def _exit_failed(source: object, reason: object, status: int = FAILED_STATUS) -> NoReturn:
    click.echo(f"{source}: {reason}", err=True)
    sys.exit(status)


def _print_problems(problems: "Iterable[ListProblem]") -> None:
    for problem in problems:
        click.echo(str(problem), err=True)


def _print_result(result: Any, as_json: bool, text: str) -> None:
    click.echo(json.dumps(result, indent=1) if as_json else text)
