"""What a parsed set of files must satisfy before it may be taken. Free of I/O: names are resolved before, and
what the files held is handed in.

Each check has a code; docs/watched-lists.md has an entry for each. All of a set's problems are found in one
go."""

import difflib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from umberlead.membership.model import Address, Entry, Listing, Parsed, Place, Problem, Server
from umberlead.scheduling.interface import NodeState

CODES = {
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
PASSING = frozenset(("L102", "L103", "L405", "L406", "L407", "L401", "L404"))  # perhaps still being written


@dataclass(frozen=True, slots=True)
class Before:
    """What stands in force, as far as checks ask for it."""

    version: int = -1  # -1: none
    digest: str = ""


class Networks:
    """The permitted networks as one set, remembering what was found: lists are checked again and again."""

    def __init__(self, texts: Iterable[str]) -> None:
        self.texts = tuple(texts)
        self._set = IPSet(IPNetwork(text) for text in self.texts)
        self._known: dict[str, bool] = {}

    def __contains__(self, address: str) -> bool:
        found = self._known.get(address)
        if found is None:
            found = self._known[address] = IPAddress(address) in self._set
        return found


def is_ip(host: str) -> bool:
    return ":" in host or host.replace(".", "").isdigit()


def names(files: Iterable[Parsed]) -> set[str]:
    """Host names that have to be resolved."""
    found = set()
    for parsed in files:
        for entry in parsed.entries:
            address = entry.server.address
            if address is not None and not is_ip(address[0]):
                found.add(address[0])
    return found


@dataclass(slots=True)
class Verdict:
    listing: Listing | None
    problems: list[Problem]

    @property
    def passing(self) -> bool:
        """Whether all of it may be a set that is still being written."""
        return bool(self.problems) and all(p.code in PASSING for p in self.problems)


class Checks:
    """Checks sets one after the other; keeps the permitted networks between them."""

    def __init__(self, shards: int = 0) -> None:
        self.shards = shards  # how many there are, counted from 0; 0: not told
        self._networks: Networks | None = None

    def check(
        self, files: list[Parsed], digest: str, before: Before, resolved: Mapping[str, Collection[str]]
    ) -> Verdict:
        """`files`: the main file first. `resolved`: addresses by host name; a name that failed is absent."""
        problems = [p for parsed in files for p in parsed.problems]
        main = files[0]
        problems += self._placed(main, files[1:])
        version = self._version(main, digest, before, problems)
        permitted = self._permitted(files, problems)
        servers = self._servers(files, permitted, resolved, problems)
        if not problems:
            self._covered(main, servers, problems)
        if problems:
            return Verdict(None, problems)
        return Verdict(Listing(version, digest, servers, tuple(f.file for f in files)), [])

    @staticmethod
    def _placed(main: Parsed, others: list[Parsed]) -> list[Problem]:
        found = []
        for parsed in others:
            for what, at in (("version", parsed.version), ("manifest", parsed.manifest)):
                if at is not None:
                    found.append(Problem("L107", at[1], f"{what} belongs into {main.file} alone"))
        return found + [
            Problem("L107", place, "digests belong into the manifest")
            for parsed in (main, *others)
            for _, _, place in parsed.digests
        ]

    @staticmethod
    def _version(main: Parsed, digest: str, before: Before, problems: list[Problem]) -> int:
        if main.version is None:
            if not main.problems:
                problems.append(Problem("L212", Place(main.file), "the list has no version"))
            return -1
        version, place = main.version
        if version < before.version:
            why = f"version {version} is older than {before.version}, which is in force"
            problems.append(Problem("L209", place, why))
        elif version == before.version and digest != before.digest:
            why = f"version {version} is in force with other content: a changed list needs a higher version"
            problems.append(Problem("L210", place, why))
        return version

    def _permitted(self, files: list[Parsed], problems: list[Problem]) -> Networks | None:
        texts, sound = [], True
        for parsed in files:
            for text, place in parsed.networks:
                try:
                    IPNetwork(text)
                    texts.append(text)
                except (AddrFormatError, ValueError):
                    problems.append(Problem("L211", place, f"{text} is no network"))
                    sound = False
        if not texts or not sound:
            return None
        if self._networks is None or self._networks.texts != tuple(texts):
            self._networks = Networks(texts)
        return self._networks

    @staticmethod
    def _inventory(files: list[Parsed]) -> set[str]:
        return {name for parsed in files for name, _ in parsed.hosts}

    def _servers(
        self,
        files: list[Parsed],
        permitted: Networks | None,
        resolved: Mapping[str, Collection[str]],
        problems: list[Problem],
    ) -> dict[str, Server]:
        found: dict[str, Server] = {}
        at: dict[str, Place] = {}
        taken: dict[Address, str] = {}
        inventory = self._inventory(files)
        for parsed in files:
            for entry in parsed.entries:
                server, place = entry.server, entry.place
                if server.name in found:
                    first = at[server.name]
                    problems.append(Problem("L201", place, f"server {server.name} stands at {first} already"))
                    continue
                at[server.name], found[server.name] = place, server
                address = self._address(entry, inventory, resolved, problems)
                if address is None:
                    continue
                if address != server.address:
                    found[server.name] = replace(server, address=address)
                if address in taken:
                    text = f"{address[0]}:{address[1]} is {taken[address]}'s already"
                    problems.append(Problem("L202", place, text))
                taken[address] = server.name
                if permitted is not None and address[0] not in permitted:
                    networks = ", ".join(permitted.texts)
                    text = f"server {server.name}: {address[0]} lies outside {networks}"
                    problems.append(Problem("L203", place, text))
        return found

    @staticmethod
    def _address(
        entry: Entry, inventory: set[str], resolved: Mapping[str, Collection[str]], problems: list[Problem]
    ) -> Address | None:
        assert entry.server.address is not None  # the grammar demands one
        host, port = entry.server.address
        name, place = entry.server.name, entry.place
        if is_ip(host):
            try:
                return str(IPAddress(host)) if ":" in host else host, _port_of(host, port)
            except (AddrFormatError, ValueError):
                problems.append(Problem("L101", place, f"server {name}: {host} is no address"))
                return None
        if inventory and host not in inventory:
            near = difflib.get_close_matches(host, inventory, 1, 0.6)
            text = f"server {name}: host {host} is not in the inventory"
            problems.append(Problem("L204", place, text, near[0] if near else ""))
            return None
        addresses = resolved.get(host, ())
        if len(addresses) != 1:
            why = "does not resolve" if not addresses else f"has {len(addresses)} addresses"
            near = difflib.get_close_matches(host, [h for h, a in resolved.items() if len(a) == 1], 1, 0.6)
            text = f"server {name}: host {host} {why}"
            problems.append(Problem("L205", place, text, near[0] if near else ""))
            return None
        return next(iter(addresses)), port

    def _covered(self, main: Parsed, servers: dict[str, Server], problems: list[Problem]) -> None:
        place = Place(main.file)
        if not servers:
            problems.append(Problem("L213", place, "the list has no servers"))
            return
        ready = [s for s in servers.values() if s.state is NodeState.UP]
        shards = {s.shard for s in ready}
        if missing := sorted(set(range(self.shards)) - shards):
            shown = ", ".join(map(str, missing[:8])) + (" ..." if len(missing) > 8 else "")
            problems.append(Problem("L206", place, f"no ready server for shard {shown}"))
        weights = [s.weight for s in ready if s.weight is not None]
        if weights and len(weights) == len(ready) and not any(weights):
            problems.append(Problem("L208", place, "all ready servers have weight 0"))


def _port_of(host: str, port: int) -> int:
    """The port, once the address has been read as one."""
    IPAddress(host)
    return port


def manifest_problems(main: str, manifest: Parsed, digests: Mapping[str, str], place: Place) -> list[Problem]:
    """`digests`: SHA-256 by file of the set, as read, the main file's included."""
    problems = list(manifest.problems)
    for what in (manifest.entries, manifest.includes, manifest.networks, manifest.hosts):
        for thing in what:
            at = thing.place if isinstance(thing, Entry) else thing[1]
            problems.append(Problem("L107", at, "a manifest holds digests alone"))
    told: dict[str, str] = {}
    for name, digest, at in manifest.digests:
        if name in told:
            problems.append(Problem("L106", at, f"{name} is given twice"))
        told[name] = digest
        if name not in digests:
            problems.append(Problem("L406", at, f"{name} is no file of this set"))
        elif digests[name] != digest:
            problems.append(Problem("L405", at, f"{name} is not what the manifest says: half written?"))
    for name in digests:
        if name not in told:
            problems.append(Problem("L406", place, f"{name} is not in the manifest"))
    return problems
