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
class LoadedSuite:
    """A valid suite with its configuration and lists."""

    suite: Suite
    settings: Settings
    listing: CheckedList
    lists: dict[str, CheckedList] = field(default_factory=dict)


def _load_list(path: Path, problems: list[ListProblem]) -> CheckedList | None:
    loader = ListLoader(
        path, 0, NameResolver(lambda host: (host,))
    )  # nothing is sent, so host names need not be resolved
    verdict = loader.load(None).check_result
    problems += verdict.problems
    return verdict.checked_list


def load(path: Path, config_path: Path | None = None, list_path: Path | None = None) -> LoadedSuite:
    """Loads a suite with its configuration and lists.

    Args:
        path: The suite file.
        config_path: Configuration to use in place of the suite's.
        list_path: List file to use in place of the suite's.

    Raises:
        UnreadableSuiteError: The suite, its configuration or a list is invalid; it has all problems.
    """
    try:
        suite, problems = parse(path.read_text(), path.name)
    except (OSError, UnicodeDecodeError) as error:
        raise UnreadableSuiteError([ListProblem("E100", FilePosition(str(path)), str(error))]) from None
    settings = None
    listing = None
    lists = dict[str, CheckedList]()
    if config_path is None and suite.config is not None:
        config_path = path.parent / suite.config[0]
    if config_path is None:
        problems.append(
            ListProblem(
                "E110",
                FilePosition(path.name),
                "neither the suite nor the command line names a configuration",
            )
        )
    else:
        try:
            settings = configuration.load_operator_file(str(config_path)).settings
        except configuration.ConfigError as error:
            problems.append(ListProblem("E110", FilePosition(str(config_path)), str(error)))
    if list_path is None and suite.listed is not None:
        list_path = path.parent / suite.listed[0]
    if list_path is None:
        problems.append(
            ListProblem(
                "E111", FilePosition(path.name), "neither the suite nor the command line names a list"
            )
        )
    else:
        listing = _load_list(list_path, problems)
    for scenario in suite.scenarios:
        if scenario.fleet is not None:
            message = f"scenario {scenario.name} has a fleet: play it with `umberlead rehearse`"
            problems.append(ListProblem("E130", scenario.place, message))
        for happening in scenario.happenings:
            if happening.kind == "list" and happening.label not in lists:
                checked_list = _load_list(path.parent / happening.label, problems)
                if checked_list is not None:
                    lists[happening.label] = checked_list
    if settings is not None and listing is not None:
        problems += _check_references(suite, settings, listing, lists)
    if problems or settings is None or listing is None:
        raise UnreadableSuiteError(problems)
    return LoadedSuite(suite, settings, listing, lists)


def _check_references(
    suite: Suite, settings: Settings, listing: CheckedList, lists: dict[str, CheckedList]
) -> list[ListProblem]:
    """Finds unknown names, contradictory expectations and scenarios without expectations."""
    problems = list[ListProblem]()
    servers = {n for checked_list in (listing, *lists.values()) for n in checked_list.endpoints}
    classes = {c.name for c in settings.classes}
    plans = {p.name for p in settings.plans}

    def check(place: FilePosition, kind: str, name: str, known_names: set[str]) -> None:
        import difflib

        if name and name not in known_names:
            suggestions = difflib.get_close_matches(name, known_names, 1, 0.6)
            problems.append(
                ListProblem(
                    "E112", place, f"there is no {kind} {name}", suggestions[0] if suggestions else ""
                )
            )

    for collection in suite.collections.values():
        check(FilePosition(suite.file), "plan", collection.plan, plans)
    for scenario in suite.scenarios:
        if not scenario.expectations:
            problems.append(
                ListProblem("E113", scenario.place, f"scenario {scenario.name} has no expectations")
            )
        for load_ in scenario.loads:
            check(load_.place, "class", load_.class_name, classes)
        for happening in scenario.happenings:
            for name in happening.servers:
                check(happening.place, "server", name, servers)
        for expectation in scenario.expectations:
            check(expectation.place, "class", expectation.selector.class_name, classes)
            check(expectation.place, "plan", expectation.selector.plan, plans)
            check(expectation.place, "collection", expectation.selector.collection, set(suite.collections))
            for name in expectation.servers:
                check(expectation.place, "server", name, servers)
        for a, b, reason in contradictions(scenario.expectations):
            problems.append(ListProblem("E114", b.place, f"contradicts line {a.place.line}: {reason}"))
    return problems


def side(path: Path, list_path: Path | None = None) -> tuple[Settings, CheckedList, Path]:
    """Loads a configuration and its list; returns the settings, the list and the path of the list.

    Args:
        path: The configuration file.
        list_path: List file to use in place of the configuration's.

    Raises:
        UnreadableSuiteError: The configuration or the list is invalid.
    """
    try:
        config = configuration.load_operator_file(str(path))
    except configuration.ConfigError as error:
        raise UnreadableSuiteError([ListProblem("E110", FilePosition(str(path)), str(error))]) from None
    used_list_path = (
        list_path
        if list_path is not None
        else config.watched_lists.main_path
        if config.watched_lists is not None
        else None
    )
    if used_list_path is None:
        message = "it has no membership table, and --list names no list"
        raise UnreadableSuiteError([ListProblem("E111", FilePosition(str(path)), message)])
    problems: list[ListProblem] = []
    listing = _load_list(used_list_path, problems)
    if listing is None:
        raise UnreadableSuiteError(problems)
    return config.settings, listing, used_list_path
