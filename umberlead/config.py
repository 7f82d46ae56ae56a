"""The one place where configuration is read, checked and given defaults.

Three sources: the platform's environment and JSON (`EDGE_*`), an operator's TOML file (`UMBERLEAD_CONFIG`),
and the settings of the simulator's wire. All settings go through `settings_of`. What is wrong is a
`ConfigError` that names the key."""

import json
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from umberlead.scheduling import interface as i

Address = tuple[str, int]

TABLES = (
    "name",
    "listen",
    "management",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
    "objects",
    "plugins",
    "log",
    "membership",
    "state",
    "rooms",
)
EFFECTS = {"idempotent": i.Effect.SAFE, "deduplicated": i.Effect.KEYED, "at_most_once": i.Effect.UNSAFE}
GROUPS = {word: word for word in ("all", "zone", "cell")}
HOST, PORT = re.compile(r"[!-~]{1,255}"), re.compile(r"[0-9]{1,5}")
SPAN_LEAST = 1000  # us of an aim or a deadline: no answer comes in less, and parts of it round to nothing
SMALLEST = 1e-9  # of what others are divided by, so that no quotient of two figures is without bounds
TICK_LEAST, TICK_MOST = 100, 2000  # us; answers are due within 15 ms of a request's end here
STATES = {"ready": i.NodeState.UP, "draining": i.NodeState.DRAINING, "gone": i.NodeState.GONE}


class ConfigError(ValueError):
    """`key` can't be used."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key = key


class Keys:
    """A mapping of dotted keys, each read once checked."""

    def __init__(self, got: Mapping[str, Any], under: str = "") -> None:
        self.got, self.under = got, under

    def raw(self, key: str) -> Any:
        value = self.got.get(key)
        return None if value in (None, "-") else value

    def name(self, key: str) -> str:
        return f"{self.under}.{key}" if self.under else key

    def wrong(self, key: str, why: str) -> ConfigError:
        return ConfigError(self.name(key), why)

    def num(self, key: str, default: float | None = None, low: float = 0.0, high: float = 1e18) -> float:
        value = self.raw(key)
        if value is None:
            if default is None:
                raise self.wrong(key, "is missing")
            return default
        try:
            number = float(value)
        except (TypeError, ValueError, OverflowError):
            raise self.wrong(key, f"is no number: {value!r}") from None
        if isinstance(value, bool) or not low <= number <= high:
            raise self.wrong(key, f"must be a number from {low:g} to {high:g}, not {value!r}")
        return number

    def none_or(self, key: str, low: float) -> float:
        """0, which is none, as is what is missing, or a number from `low`."""
        return self.num(key, 0.0) and self.num(key, 0.0, low)

    def whole(self, key: str, default: int | None = None, low: int = 0, high: int = 1 << 62) -> int:
        return int(self.num(key, default, low, high))

    def text(self, key: str, default: str | None = None) -> str:
        value = self.raw(key)
        if value is None and default is None:
            value = self.got.get(key)  # what may not be missing is no "-" that stands for nothing
        if value is None:
            if default is None:
                raise self.wrong(key, "is missing")
            return default
        if isinstance(value, dict | list | bool):
            raise self.wrong(key, f"must be text, not {value!r}")
        if value == "" and default is None:
            raise self.wrong(key, "must not be empty")
        return str(value)

    def flag(self, key: str, default: bool = False) -> bool:
        value = self.raw(key)
        if value is None:
            return default
        if value in (True, "true", "1"):
            return True
        if value in (False, "false", "0"):
            return False
        raise self.wrong(key, f"must be true or false, not {value!r}")

    def one_of(self, key: str, words: Mapping[str, Any], default: str) -> Any:
        word = self.text(key, default)
        if word not in words:
            raise self.wrong(key, f"must be one of {', '.join(words)}, not {word!r}")
        return words[word]

    def table(self, key: str) -> "Keys":
        value = self.raw(key)
        if value is None:
            return Keys({}, self.name(key))
        if not isinstance(value, dict):
            raise self.wrong(key, "must be a table")
        return Keys(value, self.name(key))

    def words(self, key: str) -> tuple[str, ...]:
        """A list, or as on the wire words with commas between them."""
        value = self.raw(key)
        words = value.split(",") if isinstance(value, str) else [] if value is None else value
        if not isinstance(words, list) or not all(isinstance(word, str) for word in words):
            raise self.wrong(key, f"must be a list of words, not {value!r}")
        return tuple(word for word in words if word)

    def several(self, key: str) -> range:
        """The places of a list of tables, one at least."""
        count = self.whole(f"{key}.count", 0, 0, 1000)
        if not count:
            raise self.wrong(key, "must be a list of tables, one at least")
        return range(count)

    def items(self, key: str) -> list[Any]:
        value = self.raw(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self.wrong(key, "must be a list")
        return value

    def address(self, key: str, default: str | None = None) -> Address:
        return self.as_address(key, self.text(key, default))

    def as_address(self, key: str, text: str) -> Address:
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not HOST.fullmatch(host) or not PORT.fullmatch(port) or int(port) > 65535:
            raise self.wrong(key, f"must be host:port, not {text!r}")
        return host, int(port)


def flat(value: Any, path: str = "") -> dict[str, Any]:
    """Nested settings as the wire's dotted paths. What has parts also stands under its own: read as one
    value, it is an error, and not missing."""
    found: dict[str, Any] = {path: value} if path else {}
    if isinstance(value, dict):
        for key, inner in value.items():
            found |= flat(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        found[f"{path}.count"] = len(value)
        for k, inner in enumerate(value):
            found |= flat(inner, f"{path}.{k}")
    return found


def _memory(k: Keys, n: int) -> int:
    """How long repeats of a class are dropped (us). Decisions know no zones: where only the chunk servers of
    one zone drop them, and there are others, nothing that may have run is sent again."""
    told = k.whole(f"grades.{n}.memorySpan", 0)
    return 0 if k.raw(f"grades.{n}.group") == "zone" and len(k.words("azs")) != 1 else told


def settings_of(got: Mapping[str, Any]) -> i.Settings:
    """The module's settings from path=value pairs; what is unknown is left alone."""
    k = Keys(got, "settings")
    for name in ("bounds", "callers", "extra", "guarantees", "loadReport"):
        k.table(name)
    classes = tuple(
        i.RequestClass(
            name=k.text(f"grades.{n}.name"),
            aim=k.whole(f"grades.{n}.aim", None, SPAN_LEAST),
            deadline=k.whole(f"grades.{n}.hardLimit", None, SPAN_LEAST),
            effect=k.one_of(f"grades.{n}.effect", EFFECTS, "at_most_once"),
            group=k.one_of(f"grades.{n}.group", GROUPS, "cell"),
            memory=_memory(k, n),
            ordered=k.flag(f"grades.{n}.sequential"),
            worth=k.num(f"grades.{n}.credit", 1),
            late_worth=k.num(f"grades.{n}.lateWorth", 0),
        )
        for n in k.several("grades")
    )
    plans = tuple(
        i.Plan(
            name=k.text(f"plans.{n}.name"),
            weight=k.num(f"plans.{n}.weight", 1, SMALLEST),
            rate=k.num(f"plans.{n}.usualRate", 0),
            reserve=k.num(f"plans.{n}.reservation", 0),
            price=k.num(f"plans.{n}.valueFactor", 1),
            limit_rate=k.none_or(f"plans.{n}.neverOver", SMALLEST),
            limit_burst=k.num(f"plans.{n}.mostAtOnce", 0),
            limit_slack=k.num(f"plans.{n}.capSlack", 0),
        )
        for n in k.several("plans")
    )
    for key, names in (("grades", [c.name for c in classes]), ("plans", [p.name for p in plans])):
        for n, name in enumerate(names):
            if name in names[:n]:
                raise k.wrong(f"{key}.{n}.name", f"is there twice: {name!r}")
    warm_up, cold_units = k.whole("guarantees.warmUp", 0), k.num("extra.coldUnits", 0)
    made = i.Settings(
        classes=classes,
        plans=plans,
        heads=k.whole("instances", 1, 1),
        mean_units=k.num("extra.meanUnits", 1, SMALLEST),
        max_units=k.num("extra.maxUnits", 1, SMALLEST),
        fair_worth=k.num("extra.fairWorth", 1),
        idle_worth=k.num("extra.idleWorth", 1),
        max_attempts=k.whole("bounds.maxAttempts", 1, 1),
        may_cancel=k.flag("bounds.cancel"),
        link_timeout=k.whole("bounds.dialTimeout", 0),
        marked=k.flag("callers.marksRetry"),
        retry_after_max=k.whole("bounds.maxRetryAfter", 0) if k.flag("bounds.retryAfter") else 0,
        ask_for_nodes=k.one_of("discovery", {"push": False, "ask": True}, "push"),
        answer_grace=k.whole("guarantees.graceToAnswer", 0),
        shards=k.whole("extra.nShards", 0, 0, 1 << 20),
        cold_units=cold_units if warm_up else 0.0,  # without an end to it, nothing is ever cold
        cold_share=k.num("guarantees.coldShare", 1, 0, 1),
        cold_multiple=k.num("guarantees.fallMultiple", 1),
        cold_window=k.whole("guarantees.overloadFor", 0),
        warm_up=warm_up,
        order_rest=k.whole("guarantees.orderPause", 0),
        budget_window=k.whole("guarantees.resendSpan", 0),
        budget_free=k.whole("guarantees.freeResends", 0),
        budget_share=k.num("guarantees.resendRatio", 0),
    )
    try:
        i.check(made)
    except ValueError as fault:
        raise ConfigError("settings", str(fault)) from None
    return made


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A chunk server as discovery's form tells of it."""

    node: i.Node
    address: Address | None  # what is not ready may come without one


def endpoint_of(got: Any, key: str) -> Endpoint:
    if not isinstance(got, dict):
        raise ConfigError(key, "must be a table")
    k = Keys(got, key)
    node = i.Node(
        node=k.text("name"),
        state=k.one_of("status", STATES, "ready"),
        shard=k.whole("group", -1, -1),
        started=k.whole("since_ms", 0) * 1000,
        room=k.text("zone", ""),
    )
    if node.state is not i.NodeState.UP and k.raw("address") is None:
        return Endpoint(node, None)
    return Endpoint(node, k.address("address"))


@dataclass(frozen=True, slots=True)
class Listing:
    """One message of discovery."""

    index: int
    whole: bool
    endpoints: tuple[Endpoint, ...]


def listing_of(got: Any, key: str = "discovery", bad: Callable[[ConfigError], None] | None = None) -> Listing:
    """With `bad`, an entry that can't be read is told to it and passed by: the others still count."""
    if not isinstance(got, dict):
        raise ConfigError(key, "must be a table")
    k = Keys(got, key)
    endpoints = []
    for n, entry in enumerate(k.items("endpoints")):
        try:
            endpoints.append(endpoint_of(entry, f"{key}.endpoints.{n}"))
        except ConfigError as fault:
            if bad is None:
                raise
            bad(fault)
    return Listing(k.whole("index", 0), k.flag("snapshot", True), tuple(endpoints))


@dataclass(frozen=True, slots=True)
class Operation:
    """How the object front asks for one kind of work."""

    class_name: str
    within: int  # us: the answer is due by then; 0 stands for the class's deadline


@dataclass(frozen=True, slots=True)
class Objects:
    """The object front, from an operator's file."""

    listen: Address
    shards: int
    buckets: dict[str, str]  # bucket to plan
    read: Operation
    write: Operation
    upload: Operation
    bulk_over: int  # bytes from which a read counts as bulk
    bulk: Operation
    block: int
    buffer: int
    max_object: int
    max_part: int
    max_parts: int
    max_uploads: int
    upload_idle: int  # us
    unit_bytes: int
    parallel: int
    memory: int


@dataclass(frozen=True, slots=True)
class Lists:
    """Watched lists of chunk servers; times in us."""

    main: Path
    snapshot: Path | None
    settle: int
    poll: int
    withdrawn_most: float
    half_life: int
    suppress: float
    reuse: float
    gate: Path | None = None  # a suite of routing tests that must hold under a new list
    gate_budget: float = 30.0  # s


@dataclass(frozen=True, slots=True)
class Rooms:
    """What is decided by rooms; docs/rooms.md. Times in us."""

    own: str = ""
    near: tuple[str, ...] = ()  # the others, the nearest first
    spill: str = "learnt"  # or "all", "never"
    spill_part: float = 8.0
    far: float = 1.25
    quiet: int = 700_000
    window: int = 5_000_000
    hold: int = 2_000_000
    hold_most: int = 60_000_000
    trial: int = 1_000_000
    back: int = 4_000_000
    come_back: int = 1_000_000
    retry_part: float = 0.1  # attempts beyond the first, of first ones, in 10 s; 0: no bound
    peers: "Peers | None" = None


@dataclass(frozen=True, slots=True)
class Peers:
    """Other fronts that rooms are talked over with; off on the platform."""

    listen: Address
    join: tuple[Address, ...]
    keys: Path
    bytes_a_second: int


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    seed: int
    settings: i.Settings
    load_fields: tuple[str, ...]
    known: Listing
    listen: Address | None = None
    discovery: Address | None = None
    management: Address | None = None  # the operators' door
    state: Path | None = None  # what this process and the one that replaces it share
    objects: Objects | None = None
    lists: Lists | None = None
    rooms: Rooms | None = None
    sockets: int = 1024
    memory: int = 192 << 20
    cores: float = 1.0
    keepalive: int = 15_000_000
    tick: int = 2000
    retry_after: int = 500_000
    margin: int = 15_000
    client_idle: int = 60_000_000  # us after which a silent client's connection is closed; 0: never
    plugins: tuple[Path, ...] = ()
    plugin_limit: int = 5000
    collector: str = ""
    log_level: str = "info"


def _common(k: Keys, settings: dict[str, Any], known: Any) -> dict[str, Any]:
    s = Keys(settings, "settings")
    most = s.whole("bounds.maxRetryAfter", 500_000) or 500_000
    return {
        "seed": _seed(k),
        "settings": settings_of(settings),
        "load_fields": s.words("loadReport.fields"),
        "known": listing_of({} if known is None else known, "known"),
        "sockets": k.table("limits").whole("sockets", 1024, 32, 1_000_000),
        "cores": k.table("limits").num("cores", 1.0, 0.01, 1024),
        "memory": k.table("limits").whole("memory_mb", 192, 16, 1 << 20) << 20,
        "keepalive": s.whole("bounds.keepalive", 15_000_000, 1),
        # The settings' is the simulator's gap between batches, which may be as coarse as it likes.
        "tick": min(max(s.whole("tick", TICK_MOST, 1), TICK_LEAST), TICK_MOST),
        "retry_after": most,
    }


def _seed(k: Keys) -> int:
    text = k.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError:
        raise k.wrong("seed", f"must be hex digits, not {text!r}") from None


def platform(env: Mapping[str, str]) -> Config:
    """What the platform tells a front."""
    path = env["EDGE_CONFIG"]
    try:
        got = json.loads(Path(path).read_bytes())  # UTF-8, whatever the locale is
    except (OSError, ValueError) as fault:
        raise ConfigError("EDGE_CONFIG", str(fault)) from None
    if not isinstance(got, dict):
        raise ConfigError("EDGE_CONFIG", "must hold an object")
    for variable, key in (
        ("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_DISCOVERY", "discovery"),
        ("EDGE_MANAGEMENT", "management"),
    ):  # fmt: skip
        if variable in env and got.get(key) is None:
            got[key] = env[variable]  # the file is the newer word: it may be replaced while the front runs
    k = Keys(got)
    settings = flat(k.table("settings").got)
    return Config(
        name=k.text("name", "front"),
        listen=k.address("listen"),
        discovery=k.address("discovery"),
        management=k.address("management") if k.raw("management") is not None else None,
        state=Path(env["TMPDIR"]) / "umberlead" if env.get("TMPDIR") else None,
        **_common(k, settings, got.get("known")),
    )


def operator(path: str) -> Config:
    """An operator's TOML file: the same keys as the platform's JSON, and tables of its own."""
    import tomllib  # loaded only for it: a front that is back sooner is missed less

    file = Path(path)
    try:
        got = tomllib.loads(file.read_text())
    except (OSError, ValueError) as fault:
        raise ConfigError("UMBERLEAD_CONFIG", str(fault)) from None
    for key in got:
        if key not in TABLES:
            raise ConfigError(key, f"is unknown; known are {', '.join(TABLES)}")
    k, log, hooks = Keys(got), Keys(got).table("log"), Keys(got).table("plugins")
    settings = flat(k.table("settings").got)
    common = _common(k, settings, got.get("known"))
    scripts = tuple((file.parent / str(s)).resolve() for s in hooks.items("scripts"))
    for n, script in enumerate(scripts):
        if not script.is_file():
            raise hooks.wrong(f"scripts.{n}", f"no such file: {script}")
    collector = log.text("collector", "")
    if collector and not collector.startswith(("tcp://", "unix://")):
        raise log.wrong("collector", "must begin with tcp:// or unix://")
    if collector.startswith("tcp://"):
        log.as_address("collector", collector.removeprefix("tcp://"))
    return Config(
        name=k.text("name", "front"),
        listen=k.address("listen") if "listen" in got else None,
        discovery=k.address("discovery") if "discovery" in got else None,
        management=k.address("management") if "management" in got else None,
        objects=_objects(k.table("objects"), settings, common["settings"]) if "objects" in got else None,
        lists=_lists(k.table("membership"), file.parent) if "membership" in got else None,
        rooms=rooms_of(k.table("rooms"), file.parent) if "rooms" in got else None,
        # Named, never taken from the environment: fronts of other files may have the same $TMPDIR.
        state=file.parent / k.text("state", "") if "state" in got else None,
        plugins=scripts,
        plugin_limit=int(hooks.num("limit_ms", 5, 0.1, 1000) * 1000),
        collector=collector,
        log_level=log.one_of("level", {w: w for w in ("debug", "info", "warning", "error")}, "info"),
        **common,
    )


def _lists(k: Keys, folder: Path) -> Lists:
    known = {
        "list",
        "snapshot",
        "settle_ms",
        "poll_ms",
        "withdrawn_most",
        "flap_half_life_s",
        "flap_suppress",
        "flap_reuse",
        "gate",
        "gate_within_s",
    }
    for key in k.got:
        if key not in known:
            raise k.wrong(str(key), f"is unknown; known are {', '.join(sorted(known))}")
    text = k.text("snapshot", "")
    made = Lists(
        main=(folder / k.text("list")).absolute(),
        snapshot=(folder / text).absolute() if text else None,
        settle=int(k.num("settle_ms", 10, 0, 200) * 1000),
        poll=int(k.num("poll_ms", 250, 20, 400) * 1000),
        withdrawn_most=k.num("withdrawn_most", 0.25, 0, 1),
        half_life=int(k.num("flap_half_life_s", 15, 0.1, 3600) * 1_000_000),
        suppress=k.num("flap_suppress", 3, 1, 8),
        reuse=k.num("flap_reuse", 1, 0.1, 8),
        gate=(folder / k.text("gate")).absolute() if "gate" in k.got else None,
        gate_budget=k.num("gate_within_s", 30, 1, 600),
    )
    if made.gate is not None and not made.gate.is_file():
        raise k.wrong("gate", f"no such file: {made.gate}")
    if made.reuse >= made.suppress:
        raise k.wrong("flap_reuse", "must be below flap_suppress")
    if made.snapshot is not None and not made.snapshot.parent.is_dir():
        raise k.wrong("snapshot", f"no such folder: {made.snapshot.parent}")
    return made


SPILLS = {"learnt": "learnt", "all": "all", "never": "never"}


def rooms_of(k: Keys, folder: Path | None = None) -> Rooms:
    """The table [rooms]; what is unknown or out of range is an error that names its key."""
    known = {"peers", "retry_part", "own", "near", "spill", "spill_part", "far"}
    times = {"quiet", "window", "hold", "hold_most", "trial", "back", "come_back"}
    for key in k.got:
        if key not in known | {f"{t}_s" for t in times}:
            names = ", ".join(sorted(known | {f"{t}_s" for t in times}))
            raise k.wrong(str(key), f"is unknown; known are {names}")
    plain, own = Rooms(), k.text("own", "")
    near = tuple(str(r) for r in k.items("near"))
    if own in near or len(set(near)) != len(near):
        raise k.wrong("near", "names a room twice, or this front's own")
    made: dict[str, int] = {
        t: int(k.num(f"{t}_s", getattr(plain, t) / 1e6, 0.05, 3600) * 1_000_000) for t in sorted(times)
    }
    if made["hold_most"] < made["hold"]:
        raise k.wrong("hold_most_s", "must not be below hold_s")
    peers = None
    if "peers" in k.got:
        p = k.table("peers")
        for key in p.got:
            if key not in ("listen", "join", "keys", "bytes_a_second"):
                raise p.wrong(str(key), "is unknown; known are bytes_a_second, join, keys, listen")
        join = tuple(p.as_address("join", str(a)) for a in p.items("join"))
        keys = ((folder or Path()) / p.text("keys")).absolute()
        if not keys.is_file():
            raise p.wrong("keys", f"no such file: {keys}")
        most = p.whole("bytes_a_second", 20_000, 500, 10_000_000)
        peers = Peers(p.address("listen"), join, keys, most)
    return Rooms(
        own, near, k.one_of("spill", SPILLS, "learnt"), k.num("spill_part", 8.0, 0.01, 1000),
        k.num("far", 1.25, 1, 100), retry_part=k.num("retry_part", 0.1, 0, 10), peers=peers, **made,
    )  # fmt: skip


def _objects(k: Keys, settings: dict[str, Any], made: i.Settings) -> Objects:
    if not made.marked:
        # the front asks for many blocks of one answer, each with less time left: unmarked, the module would
        # take the later ones for a client's second tries
        raise ConfigError("settings.callers.marksRetry", "must be true with the object front")
    classes, plans = {c.name: c for c in made.classes}, {p.name for p in made.plans}

    def operation(name: str) -> Operation:
        t = k.table(name)
        cls = t.text("class")
        if cls not in classes:
            raise t.wrong("class", f"is no class of the settings: {cls!r}")
        within = int(t.num("within_ms", 0, 0, 3_600_000) * 1000)
        return Operation(cls, within or classes[cls].deadline)

    buckets = {}
    for bucket, plan in k.table("buckets").got.items():
        if str(plan) not in plans:
            raise k.wrong(f"buckets.{bucket}", f"is no plan of the settings: {plan!r}")
        buckets[str(bucket)] = str(plan)
    if not buckets:
        raise k.wrong("buckets", "needs at least one bucket and its plan")
    read, write = operation("read"), operation("write")
    if classes[write.class_name].effect is i.Effect.KEYED:
        raise k.wrong("write.class", "must not be a deduplicated class")
    block = k.whole("block_bytes", 65536, 1024, 65536)
    return Objects(
        listen=k.address("listen"),
        shards=int(Keys(settings, "settings").num("extra.nShards", None, 1, 1e6)),
        buckets=buckets,
        read=read,
        write=write,
        upload=operation("upload") if "upload" in k.got else write,
        bulk=operation("bulk") if "bulk" in k.got else read,
        bulk_over=k.whole("bulk_over_bytes", 4 << 20),
        block=block,
        buffer=k.whole("buffer_bytes", 1 << 20, block, 16 << 20),
        max_object=k.whole("max_object_bytes", 8 << 30, 1),
        max_part=k.whole("max_part_bytes", 8 << 20, 1, 32 << 20),
        max_parts=k.whole("max_parts", 500, 1, 500),
        max_uploads=k.whole("max_uploads", 64, 1, 4096),
        upload_idle=k.whole("upload_idle_s", 3600, 1) * 1_000_000,
        unit_bytes=k.whole("unit_bytes", 32768, 1),
        parallel=k.whole("parallel", 4, 1, 32),
        memory=k.whole("memory_bytes", 32 << 20, 1 << 20, 64 << 20),
    )


LIVE = ("discovery", "sockets", "memory", "keepalive", "retry_after", "client_idle", "log_level")
AT_START = ("seed", "known")  # the start's alone: a new one is no change


def changes(old: Config, new: Config) -> tuple[list[str], list[str]]:
    """What a reload applies, and what stands in the file but waits for the next start."""
    differ = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
    return [n for n in differ if n in LIVE], [n for n in differ if n not in LIVE + AT_START]


def load(env: Mapping[str, str] | None = None) -> Config:
    env = os.environ if env is None else env
    source = "UMBERLEAD_CONFIG" if env.get("UMBERLEAD_CONFIG") else "EDGE_CONFIG"
    if source not in env:
        raise ConfigError("EDGE_CONFIG", "is not set, and neither is UMBERLEAD_CONFIG")
    try:
        made = platform(env) if source == "EDGE_CONFIG" else operator(env[source])
    except RecursionError:
        raise ConfigError(source, "is nested too deeply") from None
    if made.listen is None and made.objects is None:
        raise ConfigError("listen", "neither the platform front nor the object front is set up")
    if made.discovery is None and not made.known.endpoints and made.lists is None:
        raise ConfigError(
            "discovery", "is missing, known lists no endpoints, and there is no membership table"
        )
    return made
