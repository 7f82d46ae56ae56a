"""What a parsed set of files must satisfy before it may be taken. Free of I/O: names are resolved before, and
what the files held is handed in.

Each check has a code; docs/watched-lists.md has an entry for each. All of a set's problems are found in one
go."""

import difflib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from umberlead.membership.model import (
    Address,
    CheckedList,
    EndpointSpec,
    EndpointStatement,
    FilePosition,
    ListProblem,
    ParsedFile,
)
from umberlead.scheduling.events import EndpointStatus

PROBLEM_CODES = {
    "L101": "a line can't be read",
    "L102": "the closing line is missing or counts otherwise: the file may be half written",
    "L103": "the last line has no line end: the file may be half written",
    "L104": "the format is missing, unknown or not the first statement",
    "L105": "something stands behind the closing line",
    "L106": "a statement that may stand once stands twice",
    "L107": "a statement is not allowed in this file",
    "L201": "two servers have one name",
    "L202": "two servers have one address",
    "L203": "an address lies outside the permitted networks",
    "L204": "a host name is not in the inventory",
    "L205": "a host name does not resolve, or not to one address",
    "L206": "a shard is left without a ready server",
    "L208": "all weights are 0: no server may take new objects",
    "L209": "the version goes back",
    "L210": "the version is that of another list",
    "L211": "a network can't be read",
    "L212": "the list has no version",
    "L213": "the list has no servers",
    "L301": "too many servers are withdrawn at once: held until confirmed",
    "L302": "shards would be left without a ready server: held until confirmed",
    "L401": "a file can't be read",
    "L402": "the files are too large, too many, or nested too deep",
    "L403": "files include each other in a loop",
    "L404": "an include names no file",
    "L405": "a file's digest is not the manifest's",
    "L406": "a file is missing from the manifest, or stands there alone",
    "L407": "the files changed while they were read",
}
TRANSIENT_CODES = frozenset(
    ("L102", "L103", "L405", "L406", "L407", "L401", "L404")
)  # perhaps still being written


@dataclass(frozen=True, slots=True)
class CurrentList:
    """What stands in force, as far as checks ask for it."""

    version: int = -1  # -1: none
    digest: str = ""


class PermittedNetworks:
    """The permitted networks as one set, remembering what was found: lists are checked again and again."""

    def __init__(self, networks: Iterable[str]) -> None:
        self.networks = tuple(networks)
        self._ip_set = IPSet(IPNetwork(text) for text in self.networks)
        self._decisions: dict[str, bool] = {}

    def __contains__(self, address: str) -> bool:
        found = self._decisions.get(address)
        if found is None:
            found = self._decisions[address] = IPAddress(address) in self._ip_set
        return found


def is_ip_address(host: str) -> bool:
    return ":" in host or host.replace(".", "").isdigit()


def host_names(files: Iterable[ParsedFile]) -> set[str]:
    """Host names that have to be resolved."""
    found = set()
    for parsed in files:
        for entry in parsed.endpoint_statements:
            address = entry.endpoint.address
            if address is not None and not is_ip_address(address[0]):
                found.add(address[0])
    return found


@dataclass(slots=True)
class CheckResult:
    checked_list: CheckedList | None
    problems: list[ListProblem]

    @property
    def is_transient(self) -> bool:
        """Whether all of it may be a set that is still being written."""
        return bool(self.problems) and all(p.code in TRANSIENT_CODES for p in self.problems)


class ListChecker:
    """Checks sets one after the other; keeps the permitted networks between them."""

    def __init__(self, shard_count: int = 0) -> None:
        self.shard_count = shard_count  # how many there are, counted from 0; 0: not told
        self._permitted_cache: PermittedNetworks | None = None

    def check(
        self,
        files: list[ParsedFile],
        digest: str,
        current: CurrentList,
        resolved: Mapping[str, Collection[str]],
    ) -> CheckResult:
        """`files`: the main file first. `resolved`: addresses by host name; a name that failed is absent."""
        problems = [p for parsed in files for p in parsed.problems]
        main = files[0]
        problems += self._misplaced_statements(main, files[1:])
        version = self._check_version(main, digest, current, problems)
        permitted = self._permitted_networks(files, problems)
        servers = self._check_endpoints(files, permitted, resolved, problems)
        if not problems:
            self._check_coverage(main, servers, problems)
        if problems:
            return CheckResult(None, problems)
        return CheckResult(CheckedList(version, digest, servers, tuple(f.file for f in files)), [])

    @staticmethod
    def _misplaced_statements(main: ParsedFile, others: list[ParsedFile]) -> list[ListProblem]:
        found = []
        for parsed in others:
            for what, at in (("version", parsed.version), ("manifest", parsed.manifest)):
                if at is not None:
                    found.append(ListProblem("L107", at[1], f"{what} belongs into {main.file} alone"))
        return found + [
            ListProblem("L107", place, "digests belong into the manifest")
            for parsed in (main, *others)
            for _, _, place in parsed.digests
        ]

    @staticmethod
    def _check_version(
        main: ParsedFile, digest: str, before: CurrentList, problems: list[ListProblem]
    ) -> int:
        if main.version is None:
            if not main.problems:
                problems.append(ListProblem("L212", FilePosition(main.file), "the list has no version"))
            return -1
        version, place = main.version
        if version < before.version:
            why = f"version {version} is older than {before.version}, which is in force"
            problems.append(ListProblem("L209", place, why))
        elif version == before.version and digest != before.digest:
            why = f"version {version} is in force with other content: a changed list needs a higher version"
            problems.append(ListProblem("L210", place, why))
        return version

    def _permitted_networks(
        self, files: list[ParsedFile], problems: list[ListProblem]
    ) -> PermittedNetworks | None:
        texts, sound = [], True
        for parsed in files:
            for text, place in parsed.networks:
                try:
                    IPNetwork(text)
                    texts.append(text)
                except (AddrFormatError, ValueError):
                    problems.append(ListProblem("L211", place, f"{text} is no network"))
                    sound = False
        if not texts or not sound:
            return None
        if self._permitted_cache is None or self._permitted_cache.networks != tuple(texts):
            self._permitted_cache = PermittedNetworks(texts)
        return self._permitted_cache

    @staticmethod
    def _inventory_hosts(files: list[ParsedFile]) -> set[str]:
        return {name for parsed in files for name, _ in parsed.hosts}

    def _check_endpoints(
        self,
        files: list[ParsedFile],
        permitted: PermittedNetworks | None,
        resolved: Mapping[str, Collection[str]],
        problems: list[ListProblem],
    ) -> dict[str, EndpointSpec]:
        found: dict[str, EndpointSpec] = {}
        at: dict[str, FilePosition] = {}
        taken: dict[Address, str] = {}
        inventory = self._inventory_hosts(files)
        for parsed in files:
            for entry in parsed.endpoint_statements:
                server, place = entry.endpoint, entry.position
                if server.name in found:
                    first = at[server.name]
                    problems.append(
                        ListProblem("L201", place, f"server {server.name} stands at {first} already")
                    )
                    continue
                at[server.name], found[server.name] = place, server
                address = self._resolve_address(entry, inventory, resolved, problems)
                if address is None:
                    continue
                if address != server.address:
                    found[server.name] = replace(server, address=address)
                if address in taken:
                    text = f"{address[0]}:{address[1]} is {taken[address]}'s already"
                    problems.append(ListProblem("L202", place, text))
                taken[address] = server.name
                if permitted is not None and address[0] not in permitted:
                    networks = ", ".join(permitted.networks)
                    text = f"server {server.name}: {address[0]} lies outside {networks}"
                    problems.append(ListProblem("L203", place, text))
        return found

    @staticmethod
    def _resolve_address(
        entry: EndpointStatement,
        inventory: set[str],
        resolved: Mapping[str, Collection[str]],
        problems: list[ListProblem],
    ) -> Address | None:
        assert entry.endpoint.address is not None  # the grammar demands one
        host, port = entry.endpoint.address
        name, place = entry.endpoint.name, entry.position
        if is_ip_address(host):
            try:
                return str(IPAddress(host)) if ":" in host else host, _checked_port(host, port)
            except (AddrFormatError, ValueError):
                problems.append(ListProblem("L101", place, f"server {name}: {host} is no address"))
                return None
        if inventory and host not in inventory:
            near = difflib.get_close_matches(host, inventory, 1, 0.6)
            text = f"server {name}: host {host} is not in the inventory"
            problems.append(ListProblem("L204", place, text, near[0] if near else ""))
            return None
        addresses = resolved.get(host, ())
        if len(addresses) != 1:
            why = "does not resolve" if not addresses else f"has {len(addresses)} addresses"
            near = difflib.get_close_matches(host, [h for h, a in resolved.items() if len(a) == 1], 1, 0.6)
            text = f"server {name}: host {host} {why}"
            problems.append(ListProblem("L205", place, text, near[0] if near else ""))
            return None
        return next(iter(addresses)), port

    def _check_coverage(
        self, main: ParsedFile, servers: dict[str, EndpointSpec], problems: list[ListProblem]
    ) -> None:
        place = FilePosition(main.file)
        if not servers:
            problems.append(ListProblem("L213", place, "the list has no servers"))
            return
        ready = [s for s in servers.values() if s.state is EndpointStatus.UP]
        shards = {s.shard for s in ready}
        if missing := sorted(set(range(self.shard_count)) - shards):
            shown = ", ".join(map(str, missing[:8])) + (" ..." if len(missing) > 8 else "")
            problems.append(ListProblem("L206", place, f"no ready server for shard {shown}"))
        weights = [s.weight for s in ready if s.weight is not None]
        if weights and len(weights) == len(ready) and not any(weights):
            problems.append(ListProblem("L208", place, "all ready servers have weight 0"))


def _checked_port(host: str, port: int) -> int:
    """The port, once the address has been read as one."""
    IPAddress(host)
    return port


def manifest_problems(
    main: str, manifest: ParsedFile, digests: Mapping[str, str], place: FilePosition
) -> list[ListProblem]:
    """`digests`: SHA-256 by file of the set, as read, the main file's included."""
    problems = list(manifest.problems)
    for what in (manifest.endpoint_statements, manifest.includes, manifest.networks, manifest.hosts):
        for thing in what:
            at = thing.position if isinstance(thing, EndpointStatement) else thing[1]
            problems.append(ListProblem("L107", at, "a manifest holds digests alone"))
    told: dict[str, str] = {}
    for name, digest, at in manifest.digests:
        if name in told:
            problems.append(ListProblem("L106", at, f"{name} is given twice"))
        told[name] = digest
        if name not in digests:
            problems.append(ListProblem("L406", at, f"{name} is no file of this set"))
        elif digests[name] != digest:
            problems.append(ListProblem("L405", at, f"{name} is not what the manifest says: half written?"))
    for name in digests:
        if name not in told:
            problems.append(ListProblem("L406", place, f"{name} is not in the manifest"))
    return problems
