"""Zones in fronts: in virtual time with emulated nodes, in the admin API, and in the configuration."""

import json
import urllib.request
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.emulator.figures import Figures
from umberlead.emulator.judge import Judge
from umberlead.emulator.loop import Alarm, Loop
from umberlead.emulator.plan import plan
from umberlead.emulator.virtual import VirtualScenario
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, Attempt, IncomingRequest
from umberlead.routing_tests.language import parse
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings
from umberlead.zones.integration import ZoneIntegration, with_retry_budget, zone_settings
from umberlead.zones.model import MICROSECONDS_PER_S, ZoneState

HEAD = "format 1\nscenario s seed 3\nfleet servers 12 fronts 3 rooms 3 copies {copies}\n"
HEAD += "day seconds 24 load 35% excess 50% retries 1\n"


def played(
    *lines: str, rooms: dict[str, Any] | None = None, copies: int = 2, gossip: str = ""
) -> VirtualScenario:
    text = HEAD.format(copies=copies) + "".join(f"{line}\n" for line in lines)
    suite, problems = parse(f"{text}end {text.count(chr(10))}\n", "s")
    assert not problems, problems
    told: dict[str, Any] = {"rooms": {"spill": "learnt"} if rooms is None else rooms}
    told |= {"gossip": gossip} if gossip else {}
    world = VirtualScenario(plan(suite.scenarios[0], Figures(), None, lambda t: t.update(told)))
    world.play()
    assert not world.faults, world.faults
    assert not Judge(world.plan, world.state.records).breaches()
    return world


def states(world: VirtualScenario) -> list[Counter[str]]:
    return [
        Counter({w: n for w, n in f.engine.counters.report().items() if w.startswith("rooms_")})
        for f in world.fronts
    ]


def test_an_unreachable_zone_is_down_and_recovers_at_every_front() -> None:
    world = played("at 6s dark room 1 for 6s")
    for made in states(world):
        assert made["rooms_lost"] >= 1 and made["rooms_return"] >= 1 and made["rooms_trials"] >= 4
    assert all(f.zones.router.zone_health.state("1") is ZoneState.HEALTHY for f in world.fronts)
    lived = [r for r in world.state.records.lives if r.what == "fallen"]
    assert not lived


def test_a_shard_of_the_down_zone_alone_is_rejected_at_once() -> None:
    world = played("at 6s dark room 1 for 8s", copies=1)
    of, dark = world.state.records, {b.shard for b in world.plan.node_starts if b.zone == 1}
    asked = {
        a.id: a
        for a in of.asked
        if a.shard in dark and 9 * MICROSECONDS_PER_S < a.at < 13 * MICROSECONDS_PER_S
    }
    took = [a.at - asked[a.id].at for a in of.answered if a.id in asked and a.kind == "refused"]
    assert len(took) > 50
    # All but trials, which are rejected only after their attempts failed.
    assert sum(t < 5_000 for t in took) / len(took) > 0.85
    came = Counter(c.id for c in of.came if c.id in asked)
    assert sum(came.values()) <= 4 * 4 * 2 * len(world.fronts)  # only trials were sent


def test_attempts_stay_bounded_while_a_zone_is_down() -> None:
    """With two copies each read could be retried, but no more than the retry budget adds is sent."""
    world = played("at 6s dark room 1 for 8s", "at 16s cut room 2 for 4s")
    for front in world.fronts:
        counts = front.engine.counters
        assert counts["attempts_sent"] <= counts["requests_taken"] * 1.1 + 10 * 24


def test_calm_days_mark_no_zone_down() -> None:
    world = played("at 6s deploy 80% batch 15% drain 3s over 12s", "at 5s slow 5 n03 for 10s")
    assert all(not made["rooms_lost"] for made in states(world))


def test_a_zone_that_flaps_is_down_for_longer() -> None:
    world = played("at 2s dark room 1 for 4s", "at 12s dark room 1 for 5s")
    assert max(f.zones.router.zone_health.zones["1"].failures for f in world.fronts) >= 2


def test_spillover_mode_never_rejects_what_would_have_to_move() -> None:
    line = "at 6s dark room 1 for 8s"
    never, all_ = played(line, rooms={"spill": "never"}), played(line, rooms={"spill": "all"})
    own = [f.number for f in never.fronts if never.plan.front_zones[f.number] == 1]
    assert own
    assert sum(states(never)[n]["rooms_refused"] for n in own) > sum(
        states(all_)[n]["rooms_refused"] for n in own
    )
    assert not sum(made["rooms_spilled"] for made in states(never))


@pytest.mark.parametrize("gossip", ["liars", "mute"])
def test_peers_that_lie_or_say_nothing_mark_no_zone_down_by_themselves(gossip: str) -> None:
    world = played("at 5s slow 5 n03 for 10s", gossip=gossip)
    assert world.gossip is not None and any(m.alive_members() for m in world.gossip.members)
    assert all(not made["rooms_lost"] for made in states(world))
    if gossip == "liars":
        assert any(r.peer_states for f in world.fronts for r in f.zones.router.zone_health.zones.values())


# A single request lifecycle whose attempts the test ends


SETTINGS = Settings(
    classes=(
        RequestClass("read", 300_000, 2_000_000, Repeatability.IDEMPOTENT),
        RequestClass("upload", 600_000, 3_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(Plan("basic", usual_units_per_second=50.0),),
    mean_request_units=1.0,
    max_request_units=6.0,
    shard_count=2,
    max_attempts=3,
    cancellation_allowed=True,
)


class ZoneHarness:
    """A request lifecycle with zones, whose attempts are ended by the test."""

    def __init__(self) -> None:
        loop = self.loop = Loop()

        def alarm(delay: int, what: Any) -> Alarm:
            made = Alarm(what)
            loop.at(loop.now + delay, made)
            return made

        wheel = TimerWheel(lambda: loop.now, alarm, 2000)
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.engine = RequestLifecycle(
            SETTINGS, 1, lambda: loop.now, wheel, loop.soon, Counters(), lambda *w, **p: None
        )
        self.engine.transport = self
        rules = zone_settings(configuration.ZoneConfig(own_zone="a", nearby_zones=("b",)))
        self.rooms = ZoneIntegration(
            rules, self.engine, 1, lambda: loop.now, None, lambda event, **p: self.lines.append((event, p))
        )
        nodes = [
            Endpoint(f"{r}{s}{k}", EndpointStatus.UP, s, zone=r) for r in "ab" for s in (0, 1) for k in (0, 1)
        ]
        self.engine.apply_endpoint_list(
            EndpointList(True, (*nodes, Endpoint("only", EndpointStatus.UP, 2, zone="a")))
        )
        self.out: list[Attempt] = []
        self.stopped: list[Attempt] = []
        self.answers: dict[str, Answer] = {}
        self.run(0)

    def start(self, attempt: Attempt) -> None:
        attempt.transport_state = self
        self.out.append(attempt)

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        self.stopped.append(attempt)
        self.loop.soon(lambda: self.end(attempt, why))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        self.out.remove(attempt)
        self.engine.attempt_ended(attempt, result)

    def run(self, wait: int) -> None:
        for _ in range(max(wait // 100_000, 1)):
            self.loop.run(self.loop.now + min(wait, 100_000))
            self.rooms.tick()

    def ask(self, name: str, cls: str = "read", shard: int = 0) -> None:
        until = self.loop.now + (2_000_000 if cls == "read" else 3_000_000)
        ask = IncomingRequest(cls, "basic", "v", name, shard, 1.0, until, None)
        self.engine.accept(ask, lambda answer: self.answers.__setitem__(name, answer))
        self.run(0)

    def lose(self) -> None:
        """Mark zone a as down by two broken attempts at each of its endpoints."""
        for name in ("a00", "a01", "a10", "a11", "only"):
            for k in range(2):
                self.rooms.router.record_outcome(
                    self.loop.now, f"{name}{k}", name, AttemptResult.CONNECT_FAILED, 1
                )
        self.rooms.tick()
        self.run(0)


def test_a_transition_is_logged_with_its_evidence_and_counted() -> None:
    of = ZoneHarness()
    of.lose()
    (event, pairs) = of.lines[0]
    assert (
        event == "room_verdict"
        and pairs["room"] == "a"
        and "of 5 servers down, 0 mute, 0 up" in pairs["evidence"]
    )
    assert of.engine.counters["rooms_lost"] == 1


def test_reads_in_flight_in_a_down_zone_are_retried_elsewhere() -> None:
    of = ZoneHarness()
    of.ask("r")
    of.ask("u", "upload")
    assert {a.endpoint[0] for a in of.out} == {"a"}
    of.lose()
    assert [a.request.incoming.key for a in of.stopped] == ["r"]  # the upload may have run, so it stays there
    assert [(a.request.incoming.key, a.endpoint[0]) for a in of.out] == [("u", "a"), ("r", "b")]


def test_requests_waiting_for_a_down_zone_alone_are_rejected() -> None:
    of = ZoneHarness()
    for k in range(200):
        of.ask(f"q{k}", shard=2)
    waiting = [name for name in (f"q{k}" for k in range(200)) if name not in of.answers]
    sent = {a.request.incoming.key for a in of.out}
    assert len(sent) < len(waiting)
    of.lose()
    refused = {n for n in waiting if n in of.answers}
    assert refused == set(waiting) - sent
    assert all(
        of.answers[n].kind is AnswerKind.REJECTED and of.answers[n].retry_after_us > 0 for n in refused
    )
    of.ask("later", shard=2)
    assert of.answers["later"].reason == "room a is lost"


def test_an_evacuated_zone_is_left_at_once_and_used_again_when_cleared() -> None:
    of = ZoneHarness()
    assert of.rooms.set_override("a", "evacuate") and not of.rooms.set_override("x", "evacuate")
    of.run(0)
    of.ask("r")
    assert [a.endpoint[0] for a in of.out] == ["b"]
    assert of.rooms.status()["rooms"]["a"]["by_hand"] == "evacuate"
    assert of.rooms.set_override("a", "")
    of.run(0)
    of.ask("s")
    assert of.out[-1].endpoint[0] == "a"


def test_the_admin_api_shows_states_evidence_and_spillover() -> None:
    of = ZoneHarness()
    of.lose()
    shown = of.rooms.status()
    assert shown["own"] == "a" and shown["rooms"]["a"]["state"] == "lost"
    assert sorted(shown["rooms"]["a"]["servers_down"]) == ["a00", "a01", "a10", "a11", "only"]
    assert shown["spill"]["mode"] == "learnt" and json.dumps(shown)


# The configuration


@pytest.mark.parametrize(
    ("table", "why"),
    [
        ({"onw": "a"}, "rooms.onw: is unknown"),
        ({"own": "a", "near": ["a"]}, "rooms.near: names a room twice, or this front's own"),
        ({"near": ["b", "b"]}, "rooms.near"),
        ({"spill": "some"}, "rooms.spill: must be one of learnt, all, never"),
        ({"hold_s": 10, "hold_most_s": 5}, "rooms.hold_most_s"),
        ({"quiet_s": 0}, "rooms.quiet_s"),
        ({"peers": {"listen": "127.0.0.1:0", "keys": "none"}}, "rooms.peers.keys: no such file"),
        ({"peers": {"lsiten": "x"}}, "rooms.peers.lsiten: is unknown"),
    ],
)
def test_a_bad_table_names_its_key(table: dict[str, Any], why: str, tmp_path: Path) -> None:
    with pytest.raises(configuration.ConfigError) as caught:
        configuration.parse_zones(configuration.Keys(table, "rooms"), tmp_path)
    assert why in str(caught.value)


def test_the_bound_on_retries_is_kept_where_the_operator_gave_one() -> None:
    assert with_retry_budget(SETTINGS, 0.1).retry_budget_ratio == 0.1
    assert with_retry_budget(SETTINGS, 0) is SETTINGS
    own = Settings(SETTINGS.classes, SETTINGS.plans, retry_budget_window_us=5, retry_budget_ratio=0.3)
    assert with_retry_budget(own, 0.1) is own


def test_a_front_without_zones_loads_none_of_it() -> None:
    import subprocess
    import sys

    code = "import sys, umberlead.daemon.process, umberlead.frontends.admin_api as c; "
    code += "print([m for m in sys.modules if m.startswith(('umberlead.zones', 'umberlead.gossip'))])"
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert got.stdout == "[]\n"


def test_admin_api_calls_reach_zones(tmp_path: Path) -> None:
    """Over a running front: the state of zones, an evacuation, and unknown zones and overrides."""
    import asyncio

    from tests.test_lists_front import world

    async def test() -> None:
        async with world(tmp_path) as w:
            w.process.terminate()
            await w.process.wait()
            path = tmp_path / "front.toml"
            path.write_text('management = "127.0.0.1:0"\n' + path.read_text() + '\n[rooms]\nown = ""\n')
            w.process = await asyncio.create_subprocess_exec(
                *w.program, cwd=Path(__file__).parent.parent, stderr=asyncio.subprocess.PIPE
            )
            w.reader = asyncio.create_task(w._read(w.process.stderr))
            count = len(w.lines)
            line = await w.said("admin_api_listening", count)
            port = line.split('address="127.0.0.1:')[1].split('"')[0]

            def call(method: str, path: str) -> tuple[int, str]:
                request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method)
                opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
                try:
                    with opener.open(request, timeout=10) as answer:
                        return answer.status, answer.read().decode()
                except urllib.error.HTTPError as fault:
                    return fault.code, fault.read().decode()

            status, body = await asyncio.to_thread(call, "GET", "/control/rooms")
            assert status == 200 and json.loads(body)["rooms"]["-"]["servers"] == 2
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms/x/evacuate"))[0] == 404
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms//evacuate")) == (200, "done\n")
            status, body = await asyncio.to_thread(call, "GET", "/control/rooms")
            assert json.loads(body)["rooms"]["-"]["by_hand"] == "evacuate"
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms//drop"))[0] == 404
            assert await w.end() == 0

    asyncio.run(test())
