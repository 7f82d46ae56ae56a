"""Loads suites from files and checks them against their configuration and the lists that they name."""

from dataclasses import dataclass, field
from pathlib import Path

from umberlead import configuration
from umberlead.common.errors import UmberleadError
from umberlead.membership.loading import ListLoader
from umberlead.membership.model import CheckedList, FilePosition, ListProblem
from umberlead.membership.name_resolution import NameResolver
from umberlead.routing_tests.language import parse
from umberlead.routing_tests.model import Suite
from umberlead.routing_tests.verdict import contradictions
from umberlead.scheduling.settings import Settings


class UnreadableSuiteError(UmberleadError, ValueError):
    """The suite, its configuration or a list is invalid; `problems` has the position of each problem."""

    def __init__(self, problems: list[ListProblem]) -> None:
        """An error that lists all `problems`."""
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True)
class Ready:
    """A valid suite with its configuration and lists."""

    suite: Suite
    settings: Settings
    listing: CheckedList
    lists: dict[str, CheckedList] = field(default_factory=dict)


def _list(path: Path, problems: list[ListProblem]) -> CheckedList | None:
    loader = ListLoader(
        path, 0, NameResolver(lambda host: (host,))
    )  # nothing is sent, so host names need not be resolved
    verdict = loader.load(None).check_result
    problems += verdict.problems
    return verdict.checked_list


def load(path: Path, conf: Path | None = None, listed: Path | None = None) -> Ready:
    """Loads a suite with its configuration and lists.

    Args:
        path: The suite file.
        conf: Configuration to use in place of the suite's.
        listed: List file to use in place of the suite's.

    Raises:
        UnreadableSuiteError: The suite, its configuration or a list is invalid; it has all problems.
    """
    try:
        suite, problems = parse(path.read_text(), path.name)
    except (OSError, UnicodeDecodeError) as fault:
        raise UnreadableSuiteError([ListProblem("E100", FilePosition(str(path)), str(fault))]) from None
    settings = None
    listing = None
    lists = dict[str, CheckedList]()
    if conf is None and suite.config is not None:
        conf = path.parent / suite.config[0]
    if conf is None:
        problems.append(
            ListProblem(
                "E110",
                FilePosition(path.name),
                "neither the suite nor the command line names a configuration",
            )
        )
    else:
        try:
            settings = configuration.load_operator_file(str(conf)).settings
        except configuration.ConfigError as fault:
            problems.append(ListProblem("E110", FilePosition(str(conf)), str(fault)))
    if listed is None and suite.listed is not None:
        listed = path.parent / suite.listed[0]
    if listed is None:
        problems.append(
            ListProblem(
                "E111", FilePosition(path.name), "neither the suite nor the command line names a list"
            )
        )
    else:
        listing = _list(listed, problems)
    for scenario in suite.scenarios:
        if scenario.fleet is not None:
            why = f"scenario {scenario.name} has a fleet: play it with `umberlead rehearse`"
            problems.append(ListProblem("E130", scenario.place, why))
        for happening in scenario.happenings:
            if happening.kind == "list" and happening.label not in lists:
                found = _list(path.parent / happening.label, problems)
                if found is not None:
                    lists[happening.label] = found
    if settings is not None and listing is not None:
        problems += _unknown(suite, settings, listing, lists)
    if problems or settings is None or listing is None:
        raise UnreadableSuiteError(problems)
    return Ready(suite, settings, listing, lists)


def _unknown(
    suite: Suite, settings: Settings, listing: CheckedList, lists: dict[str, CheckedList]
) -> list[ListProblem]:
    """Finds unknown names, contradictory expectations and scenarios without expectations."""
    found = list[ListProblem]()
    servers = {n for of in (listing, *lists.values()) for n in of.endpoints}
    classes = {c.name for c in settings.classes}
    plans = {p.name for p in settings.plans}

    def check(place: FilePosition, what: str, name: str, known: set[str]) -> None:
        import difflib

        if name and name not in known:
            near = difflib.get_close_matches(name, known, 1, 0.6)
            found.append(ListProblem("E112", place, f"there is no {what} {name}", near[0] if near else ""))

    for collection in suite.collections.values():
        check(FilePosition(suite.file), "plan", collection.plan, plans)
    for scenario in suite.scenarios:
        if not scenario.expectations:
            found.append(ListProblem("E113", scenario.place, f"scenario {scenario.name} has no expectations"))
        for load_ in scenario.loads:
            check(load_.place, "class", load_.class_name, classes)
        for happening in scenario.happenings:
            for name in happening.servers:
                check(happening.place, "server", name, servers)
        for of in scenario.expectations:
            check(of.place, "class", of.selector.class_name, classes)
            check(of.place, "plan", of.selector.plan, plans)
            check(of.place, "collection", of.selector.collection, set(suite.collections))
            for name in of.servers:
                check(of.place, "server", name, servers)
        for a, b, why in contradictions(scenario.expectations):
            found.append(ListProblem("E114", b.place, f"contradicts line {a.place.line}: {why}"))
    return found


def side(path: Path, listed: Path | None = None) -> tuple[Settings, CheckedList, Path]:
    """Loads a configuration and its list; returns the settings, the list and the path of the list.

    Args:
        path: The configuration file.
        listed: List file to use in place of the configuration's.

    Raises:
        UnreadableSuiteError: The configuration or the list is invalid.
    """
    try:
        made = configuration.load_operator_file(str(path))
    except configuration.ConfigError as fault:
        raise UnreadableSuiteError([ListProblem("E110", FilePosition(str(path)), str(fault))]) from None
    where = (
        listed
        if listed is not None
        else made.watched_lists.main_path
        if made.watched_lists is not None
        else None
    )
    if where is None:
        why = "it has no membership table, and --list names no list"
        raise UnreadableSuiteError([ListProblem("E111", FilePosition(str(path)), why)])
    problems: list[ListProblem] = []
    listing = _list(where, problems)
    if listing is None:
        raise UnreadableSuiteError(problems)
    return made.settings, listing, where
