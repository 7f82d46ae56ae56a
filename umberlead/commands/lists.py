"""`umberlead list`: lists of chunk servers checked, compared, formatted, sealed and shown without a front,
and the list that a running front has in force."""

import json
import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import click

FILE_ARGUMENT = click.Path(dir_okay=False, path_type=Path)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
SHARDS_OPTION = click.option(
    "--shards", type=click.IntRange(0), default=0, help="How many shards must be served."
)
ADMIN_ADDRESS_OPTION = click.option(
    "--door", metavar="HOST:PORT", required=True, help="The front's management address."
)


def _load(path: Path, shards: int, names: bool) -> Any:
    from umberlead.membership.loading import ListLoader
    from umberlead.membership.name_resolution import NameResolver, system_lookup

    # Unless asked to, no name is looked up: each then stands for itself.
    resolver = NameResolver(system_lookup if names else lambda host: (host,), timeout_seconds=5.0)
    return ListLoader(path, shards, resolver).load(None)


def _print_result(told: Any, as_json: bool, text: str) -> None:
    click.echo(json.dumps(told, indent=1) if as_json else text)


def _checked_list_or_exit(path: Path, shards: int = 0, names: bool = False) -> Any:
    """The listing, or the problems on standard error and 1."""
    verdict = _load(path, shards, names).check_result
    if verdict.checked_list is None:
        for problem in verdict.problems:
            click.echo(str(problem), err=True)
        sys.exit(1)
    return verdict.checked_list


@click.group()
def lists() -> None:
    """Work on lists of chunk servers."""


@lists.command()
@click.argument("path", type=FILE_ARGUMENT)
@click.option("--resolve", is_flag=True, help="Look host names up as a front would.")
@SHARDS_OPTION
@JSON_OPTION
def check(path: Path, resolve: bool, shards: int, as_json: bool) -> None:
    """Check the set of files whose main file is PATH."""
    verdict = _load(path, shards, resolve).check_result
    if verdict.checked_list is not None:
        of = verdict.checked_list
        told = {"sound": True, "version": of.version, "servers": len(of.endpoints), "digest": of.digest}
        _print_result(told, as_json, f"{path}: sound, version {of.version}, {len(of.endpoints)} servers")
        return
    if as_json:
        click.echo(
            json.dumps({"sound": False, "problems": [p.to_json_row() for p in verdict.problems]}, indent=1)
        )
    for problem in verdict.problems:
        click.echo(str(problem), err=True)
    sys.exit(1)


@lists.command()
@click.argument("old", type=FILE_ARGUMENT)
@click.argument("new", type=FILE_ARGUMENT)
@JSON_OPTION
def diff(old: Path, new: Path, as_json: bool) -> None:
    """What NEW would change over OLD; 0 where nothing would."""
    from umberlead.membership.model import diff_endpoints

    before, after = _checked_list_or_exit(old), _checked_list_or_exit(new)
    delta = diff_endpoints(before.endpoints, after.endpoints)
    told = {"came": list(delta.added), "went": list(delta.removed), "withdrawn": delta.withdrawn_count}
    lines = [f"- {n}" for n in delta.removed] + [f"+ {n}" for n in delta.added]
    changes: dict[str, dict[str, list[Any]]] = {}
    for name in delta.changed:
        pair = before.endpoints[name], after.endpoints[name]
        fields = {k: [getattr(s, k) for s in pair] for k in pair[0].__slots__}
        changes[name] = {k: [_plain_value(v) for v in vs] for k, vs in fields.items() if vs[0] != vs[1]}
        lines.append(f"~ {name} " + ", ".join(f"{k} {a} -> {b}" for k, (a, b) in changes[name].items()))
    if delta.lost_shards:
        lines.append("! no ready server left for shard " + ", ".join(map(str, delta.lost_shards)))
    _print_result(
        told | {"changed": changes, "lost_shards": list(delta.lost_shards)}, as_json, "\n".join(lines)
    )
    sys.exit(1 if delta.affected_names else 0)


def _plain_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return ":".join(map(str, value))
    return getattr(value, "value", value)


@lists.command("format")
@click.argument("paths", nargs=-1, required=True, type=FILE_ARGUMENT)
@click.option("--write", is_flag=True, help="Rewrite the files instead of printing.")
@click.option("--check", "only", is_flag=True, help="Only say which files would change (1 if any would).")
def format_(paths: tuple[Path, ...], write: bool, only: bool) -> None:
    """Lay files out the usual way; comments stay. A file that can't be read is left alone."""
    from umberlead.membership.formatting import format_list
    from umberlead.membership.grammar import parse_file

    failed = differ = False
    for path in paths:
        text = _read_text_or_exit(path)
        problems = parse_file(text, str(path)).problems
        if problems:
            failed = True
            for problem in problems:
                click.echo(str(problem), err=True)
            continue
        made = format_list(text)
        differ |= made != text
        if only:
            if made != text:
                click.echo(f"{path} would change")
        elif not write:
            click.echo(made, nl=False)
        elif made != text:
            _write_or_exit(path, made)
    sys.exit(2 if failed else int(only and differ))


@lists.command()
@click.argument("path", type=FILE_ARGUMENT)
def seal(path: Path) -> None:
    """Write the manifest that PATH names: the digests of the whole set as it stands. Written last."""
    import hashlib

    from umberlead.membership import files

    got = files.read_set(path)
    own = [p for p in got.problems if p.code not in ("L405", "L406")]
    problems = own + [p for parsed in got.parsed_files for p in parsed.problems]
    if problems or not got.parsed_files:
        for problem in problems:
            if problem.code != "L401" or got.parsed_files[0].manifest is None:
                click.echo(str(problem), err=True)
        if not got.parsed_files or any(p.code != "L401" for p in problems):
            sys.exit(1)
    told = got.parsed_files[0].manifest
    if told is None:
        click.echo(f"{path}: the list names no manifest", err=True)
        sys.exit(1)
    rows = ["format 1"]
    for parsed in sorted(got.parsed_files, key=lambda f: f.file):
        digest = hashlib.sha256(got.text_by_file[parsed.file].encode()).hexdigest()
        rows.append(f"file {parsed.file} sha256 {digest}")
    _write_or_exit(path.parent / told[0], "\n".join([*rows, f"end {len(rows)}", ""]))


def _read_text_or_exit(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as fault:
        click.echo(f"{path}: {fault}", err=True)
        sys.exit(2)


def _write_or_exit(path: Path, text: str) -> None:
    from umberlead.membership.snapshot import write

    try:
        write(path, text.encode())
    except OSError as fault:
        click.echo(f"{path}: {fault}", err=True)
        sys.exit(2)


@lists.command()
@click.argument("path", type=FILE_ARGUMENT, required=False)
@click.option("--door", metavar="HOST:PORT", help="Show what a running front has in force.")
@click.option("--snapshot", "saved", is_flag=True, help="PATH is a front's snapshot.")
@JSON_OPTION
def show(path: Path | None, door: str | None, saved: bool, as_json: bool) -> None:
    """Show the servers of a list, of a snapshot, or of a running front."""
    if (path is None) == (door is None):
        raise click.UsageError("name either a file or --door")
    if door is not None:
        rows, told = (
            json.loads(_call_admin_api(door, "/control/list/servers")),
            json.loads(_call_admin_api(door, "/control/list")),
        )
        head = f"generation {told['generation']} from {told['origin']}, version {told['version']}"
        head += f", {told['age_s']:.0f} s old"
        lines = [head, *(f"! {p['file']}:{p['line']}: {p['code']}: {p['text']}" for p in told["complaint"])]
        if "pending" in told:
            lines.append(f"! held; confirm with: umberlead list confirm {told['pending']['confirm']}")
        _print_result(told | {"list": rows}, as_json, "\n".join(lines + [_format_row(r) for r in rows]))
        return
    assert path is not None
    listing = _snapshot_list_or_exit(path) if saved else _checked_list_or_exit(path)
    rows = [
        {
            "name": s.name,
            "address": _plain_value(s.address),
            "shard": s.shard,
            "room": s.room,
            "weight": s.weight,
            "state": "ready" if s.state.value == "up" else "draining",
        }
        for s in listing.endpoints.values()
    ]
    _print_result(
        {"version": listing.version, "list": rows}, as_json, "\n".join(_format_row(r) for r in rows)
    )


def _format_row(row: dict[str, Any]) -> str:
    more = [f"weight {row['weight']:g}"] if row["weight"] is not None else []
    more += [f"room {row['room']}"] if row["room"] else []
    more += [w for w in ("held", "by_hand") if row.get(w)]
    return " ".join(
        [f"{row['name']:<24} {row['address']!s:<22} shard {row['shard']:<6} {row['state']}", *more]
    )


def _snapshot_list_or_exit(path: Path) -> Any:
    from umberlead.membership import snapshot

    try:
        found = snapshot.read_snapshot(path)
    except (snapshot.SnapshotDamagedError, OSError) as fault:
        click.echo(f"{path}: {fault}", err=True)
        sys.exit(2)
    if found is None:
        click.echo(f"{path}: there is no such file", err=True)
        sys.exit(2)
    return found[0]


@lists.command()
@click.argument("digest")
@ADMIN_ADDRESS_OPTION
def confirm(digest: str, door: str) -> None:
    """Confirm the list that a front holds back, by its digest."""
    click.echo(_call_admin_api(door, f"/control/list/confirm/{digest}", "PUT").strip())


def _call_admin_api(door: str, path: str, method: str = "GET") -> str:
    request = urllib.request.Request(f"http://{door}{path}", method=method)
    try:
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=5) as answer:
            return str(answer.read().decode())
    except urllib.error.HTTPError as fault:
        click.echo(f"{door}: {fault.code}: {fault.read().decode().strip()}", err=True)
        sys.exit(1 if fault.code == 409 else 2)
    except OSError as fault:
        click.echo(f"{door}: {fault}", err=True)
        sys.exit(2)
