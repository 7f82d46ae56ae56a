"""The checks that a parsed set of list files must pass before the list is put in force.

The module does no I/O: its functions take parsed files and resolved host names. Each problem has a code with
an entry in docs/watched-lists.md. A check reports all problems of a set and does not stop at the first.
"""

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
    "L102": "the closing line is missing or has a wrong count: the file may be half written",
    "L103": "the last line has no newline: the file may be half written",
    "L104": "the format is missing, unknown or not the first statement",
    "L105": "there is a statement after the closing line",
    "L106": "a statement that is allowed once is given twice",
    "L107": "a statement is not allowed in this file",
    "L201": "two servers have the same name",
    "L202": "two servers have the same address",
    "L203": "an address is outside the permitted networks",
    "L204": "a host name is not in the inventory",
    "L205": "a host name does not resolve to exactly one address",
    "L206": "a shard has no ready server",
    "L208": "all weights are 0: no server may store new objects",
    "L209": "the version is lower than the one in force",
    "L210": "the version is already in force with other content",
    "L211": "a network is not valid",
    "L212": "the list has no version",
    "L213": "the list has no servers",
    "L301": "too many servers are withdrawn at once: the list is held until confirmed",
    "L302": "shards would be left without a ready server: the list is held until confirmed",
    "L401": "a file can't be read",
    "L402": "the files are too large, too many, or nested too deep",
    "L403": "files include each other in a loop",
    "L404": "an include names no existing file or folder",
    "L405": "a file's digest differs from the manifest",
    "L406": "a file of the set is not in the manifest, or a file of the manifest is not in the set",
    "L407": "the files changed while they were read",
    "L408": "a path or pattern can't be used",
}
# Problems that may occur because the files are still being written.
TRANSIENT_CODES = frozenset(("L102", "L103", "L405", "L406", "L407", "L401", "L404"))
NO_VERSION = -1
SIMILARITY_THRESHOLD = 0.6
MAX_SHOWN_SHARDS_COUNT = 8
# Similar names are searched only for the first problems: the search reads all names of the list each time.
MAX_PROBLEMS_WITH_SUGGESTION_COUNT = 50

ResolvedHosts = Mapping[str, Collection[str]]


@dataclass(frozen=True, slots=True)
class CurrentList:
    """The list in force, as far as the checks need it.

    Attributes:
        version: Its version; -1 if there is no list in force.
        digest: Its digest; "" if there is no list in force.
    """

    version: int = NO_VERSION
    digest: str = ""


class PermittedNetworks:
    """The union of the permitted networks.

    Decisions are cached by address, since most addresses are the same in each list that is checked.
    """

    def __init__(self, networks: Iterable[str]) -> None:
        """Create the union of networks such as "10.1.0.0/16"."""
        self.networks = tuple(networks)
        self._ip_set = IPSet(IPNetwork(network) for network in self.networks)
        self._decisions: dict[str, bool] = {}

    def __contains__(self, address: str) -> bool:
        """Return whether an IP address is in one of the networks."""
        permitted = self._decisions.get(address)
        if permitted is None:
            permitted = self._decisions[address] = self._is_in_networks(address)
        return permitted

    def _is_in_networks(self, address: str) -> bool:
        try:
            return IPAddress(address) in self._ip_set
        except (AddrFormatError, ValueError):  # The resolver may name an interface, as in fe80::1%eth0.
            return False


def is_ip_address(host: str) -> bool:
    """Return whether a host is written as an IP address, valid or not, and not as a name."""
    return ":" in host or host.replace(".", "").isdigit()


def host_names(files: Iterable[ParsedFile]) -> set[str]:
    """Return the host names that need to be resolved."""
    names = set()
    for parsed in files:
        for statement in parsed.endpoint_statements:
            address = statement.endpoint.address
            if address is not None and not is_ip_address(address[0]):
                names.add(address[0])
    return names


def format_shards(shards: Collection[int]) -> str:
    """Join shard numbers for a message; a long list is cut."""
    shown = ", ".join(map(str, list(shards)[:MAX_SHOWN_SHARDS_COUNT]))
    return shown + (" ..." if len(shards) > MAX_SHOWN_SHARDS_COUNT else "")


@dataclass(slots=True)
class CheckResult:
    """The list if it passed its checks, or else its problems."""

    checked_list: CheckedList | None
    problems: list[ListProblem]

    @property
    def is_transient(self) -> bool:
        """Whether all problems may have occurred because the files are still being written."""
        return bool(self.problems) and all(problem.code in TRANSIENT_CODES for problem in self.problems)


class ListChecker:
    """Checks sets of list files; keeps the permitted networks from one set to the next."""

    def __init__(self, shard_count: int = 0) -> None:
        """Create a checker for shards 0 to `shard_count - 1`; 0 if the number of shards is not known."""
        self.shard_count = shard_count
        self._permitted_cache: PermittedNetworks | None = None

    def check(
        self, files: list[ParsedFile], digest: str, current: CurrentList, resolved: ResolvedHosts
    ) -> CheckResult:
        """Check a set, and return the list or all problems.

        Args:
            files: The parsed files, the main one first.
            digest: The set's digest.
            current: The list in force.
            resolved: Addresses by host name; a name that could not be resolved is absent.
        """
        problems = [problem for parsed in files for problem in parsed.problems]
        main = files[0]
        problems += self._misplaced_statements(main, files[1:])
        version = self._check_version(main, digest, current, problems)
        permitted = self._permitted_networks(files, problems)
        inventory = {host for parsed in files for host, _ in parsed.hosts}
        checker = _EndpointChecker(inventory, permitted, resolved, problems)
        for parsed in files:
            for statement in parsed.endpoint_statements:
                checker.add(statement)
        if not problems:
            self._check_coverage(main, checker.endpoints, problems)
        if problems:
            return CheckResult(None, problems)
        names = tuple(parsed.file for parsed in files)
        return CheckResult(CheckedList(version, digest, checker.endpoints, names), [])

    @staticmethod
    def _misplaced_statements(main: ParsedFile, others: list[ParsedFile]) -> list[ListProblem]:
        problems = []
        for parsed in others:
            for keyword, statement in (("version", parsed.version), ("manifest", parsed.manifest)):
                if statement is not None:
                    message = f"{keyword} is allowed in {main.file} alone"
                    problems.append(ListProblem("L107", statement.position, message))
        return problems + [
            ListProblem("L107", digest.position, "file digests are allowed only in the manifest")
            for parsed in (main, *others)
            for digest in parsed.digests
        ]

    @staticmethod
    def _check_version(
        main: ParsedFile, digest: str, current: CurrentList, problems: list[ListProblem]
    ) -> int:
        if main.version is None:
            if not main.problems:
                problems.append(ListProblem("L212", FilePosition(main.file), "the list has no version"))
            return NO_VERSION
        version, position = main.version
        if version < current.version:
            message = f"version {version} is older than {current.version}, which is in force"
            problems.append(ListProblem("L209", position, message))
        elif version == current.version and digest != current.digest:
            message = f"version {version} is already in force with other content"
            message += ": a changed list needs a higher version"
            problems.append(ListProblem("L210", position, message))
        return version

    def _permitted_networks(
        self, files: list[ParsedFile], problems: list[ListProblem]
    ) -> PermittedNetworks | None:
        """Return the permitted networks; None if there are none, or one is not valid."""
        networks = []
        all_valid = True
        for parsed in files:
            for network, position in parsed.networks:
                try:
                    IPNetwork(network)
                    networks.append(network)
                except (AddrFormatError, ValueError):
                    problems.append(ListProblem("L211", position, f"{network} is not a network"))
                    all_valid = False
        if not networks or not all_valid:
            return None
        if self._permitted_cache is None or self._permitted_cache.networks != tuple(networks):
            self._permitted_cache = PermittedNetworks(networks)
        return self._permitted_cache

    def _check_coverage(
        self, main: ParsedFile, endpoints: dict[str, EndpointSpec], problems: list[ListProblem]
    ) -> None:
        """Check that each shard has a ready endpoint, and that some ready endpoint may store new objects."""
        position = FilePosition(main.file)
        if not endpoints:
            problems.append(ListProblem("L213", position, "the list has no servers"))
            return
        ready = [endpoint for endpoint in endpoints.values() if endpoint.status is EndpointStatus.UP]
        shards = {endpoint.shard for endpoint in ready}
        if missing := sorted(set(range(self.shard_count)) - shards):
            message = f"no ready server for shard {format_shards(missing)}"
            problems.append(ListProblem("L206", position, message))
        weights = [endpoint.weight for endpoint in ready if endpoint.weight is not None]
        if weights and len(weights) == len(ready) and not any(weights):
            problems.append(ListProblem("L208", position, "all ready servers have weight 0"))


class _EndpointChecker:
    """Collects the endpoints of a set with resolved addresses, and the problems found in them."""

    def __init__(
        self,
        inventory: set[str],
        permitted: PermittedNetworks | None,
        resolved: ResolvedHosts,
        problems: list[ListProblem],
    ) -> None:
        self.endpoints: dict[str, EndpointSpec] = {}
        self._inventory = inventory
        self._permitted = permitted
        self._resolved = resolved
        self._problems = problems
        self._positions: dict[str, FilePosition] = {}
        self._name_by_address: dict[Address, str] = {}

    def add(self, statement: EndpointStatement) -> None:
        """Check one statement and keep its endpoint; of two with the same name, the first is kept."""
        endpoint = statement.endpoint
        position = statement.position
        name = endpoint.name
        if name in self.endpoints:
            message = f"server {name} is listed at {self._positions[name]} already"
            self._problems.append(ListProblem("L201", position, message))
            return
        self._positions[name] = position
        self.endpoints[name] = endpoint
        address = self._resolve_address(statement)
        if address is None:
            return
        if address != endpoint.address:
            self.endpoints[name] = replace(endpoint, address=address)
        host, port = address
        if address in self._name_by_address:
            message = f"{host}:{port} is the address of {self._name_by_address[address]} already"
            self._problems.append(ListProblem("L202", position, message))
        self._name_by_address[address] = name
        if self._permitted is not None and host not in self._permitted:
            networks = ", ".join(self._permitted.networks)
            message = f"server {name}: {host} is outside {networks}"
            self._problems.append(ListProblem("L203", position, message))

    def _resolve_address(self, statement: EndpointStatement) -> Address | None:
        """Return the IP address and port; record a problem and return None if there is no single one."""
        assert statement.endpoint.address is not None  # The grammar requires one.
        host, port = statement.endpoint.address
        label = f"server {statement.endpoint.name}:"
        position = statement.position
        if is_ip_address(host):
            try:
                address = IPAddress(host)
                return (str(address) if ":" in host else host), port
            except (AddrFormatError, ValueError):
                self._problems.append(ListProblem("L101", position, f"{label} {host} is not an IP address"))
                return None
        if self._inventory and host not in self._inventory:
            suggestion = self._nearest(host, self._inventory)
            message = f"{label} host {host} is not in the inventory"
            self._problems.append(ListProblem("L204", position, message, suggestion))
            return None
        addresses = self._resolved.get(host, ())
        if len(addresses) != 1:
            reason = "does not resolve" if not addresses else f"has {len(addresses)} addresses"
            message = f"{label} host {host} {reason}"
            suggestion = self._nearest(host, self._resolvable_hosts())
            self._problems.append(ListProblem("L205", position, message, suggestion))
            return None
        return next(iter(addresses)), port

    def _resolvable_hosts(self) -> Iterable[str]:
        return (name for name, found in self._resolved.items() if len(found) == 1)

    def _nearest(self, host: str, hosts: Iterable[str]) -> str:
        """Return the most similar of `hosts`; "" if none is similar, or after many problems."""
        if len(self._problems) >= MAX_PROBLEMS_WITH_SUGGESTION_COUNT:
            return ""
        nearest = difflib.get_close_matches(host, list(hosts), 1, SIMILARITY_THRESHOLD)
        return nearest[0] if nearest else ""


def manifest_problems(
    main: str, manifest: ParsedFile, digests: Mapping[str, str], position: FilePosition
) -> list[ListProblem]:
    """Return the differences between a set and its manifest, and the problems of the manifest itself.

    Args:
        main: The main file's name.
        manifest: The parsed manifest.
        digests: The SHA-256 of each list file as read, including the main file.
        position: Where the main file names the manifest.
    """
    problems = list(manifest.problems)
    misplaced = (manifest.endpoint_statements, manifest.includes, manifest.networks, manifest.hosts)
    for statements in misplaced:
        for statement in statements:
            message = "a manifest may contain only file digests"
            problems.append(ListProblem("L107", statement.position, message))
    listed: set[str] = set()
    for name, digest, digest_position in manifest.digests:
        if name in listed:
            problems.append(ListProblem("L106", digest_position, f"{name} is given twice"))
        listed.add(name)
        if name not in digests:
            problems.append(ListProblem("L406", digest_position, f"{name} is not a file of this set"))
        elif digests[name] != digest:
            problems.append(
                ListProblem("L405", digest_position, f"{name} does not match its digest: half written?")
            )
    problems += [
        ListProblem("L406", position, f"{name} is not in the manifest")
        for name in digests
        if name not in listed
    ]
    return problems
