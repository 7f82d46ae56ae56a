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

SCENARIO_HEAD = "format 1\nscenario s seed 3\nfleet servers 12 fronts 3 rooms 3 copies {copies}\n"
SCENARIO_HEAD += "day seconds 24 load 35% excess 50% retries 1\n"


def play_scenario(
    *lines: str, rooms: dict[str, Any] | None = None, copies: int = 2, gossip: str = ""
) -> VirtualScenario:
    text = SCENARIO_HEAD.format(copies=copies) + "".join(f"{line}\n" for line in lines)
    suite, problems = parse(f"{text}end {text.count(chr(10))}\n", "s")
    assert not problems, problems
    tables: dict[str, Any] = {"rooms": {"spill": "learnt"} if rooms is None else rooms}
    tables |= {"gossip": gossip} if gossip else {}
    scenario = VirtualScenario(plan(suite.scenarios[0], Figures(), None, lambda table: table.update(tables)))
    scenario.play()
    assert not scenario.faults, scenario.faults
    assert not Judge(scenario.plan, scenario.state.records).breaches()
    return scenario


def zone_counters(scenario: VirtualScenario) -> list[Counter[str]]:
    return [
        Counter(
            {
                name: count
                for name, count in front.engine.counters.report().items()
                if name.startswith("rooms_")
            }
        )
        for front in scenario.fronts
    ]


def test_an_unreachable_zone_is_down_and_recovers_at_every_front() -> None:
    scenario = play_scenario("at 6s dark room 1 for 6s")
    for counters in zone_counters(scenario):
        assert counters["rooms_lost"] >= 1 and counters["rooms_return"] >= 1 and counters["rooms_trials"] >= 4
    assert all(front.zones.router.zone_health.state("1") is ZoneState.HEALTHY for front in scenario.fronts)
    fallen = [record for record in scenario.state.records.lives if record.what == "fallen"]
    assert not fallen


def test_requests_for_a_shard_only_in_the_down_zone_are_rejected_at_once() -> None:
    scenario = play_scenario("at 6s dark room 1 for 8s", copies=1)
    run_records, down_shards = (
        scenario.state.records,
        {node_start.shard for node_start in scenario.plan.node_starts if node_start.zone == 1},
    )
    requests = {
        record.id: record
        for record in run_records.asked
        if record.shard in down_shards and 9 * MICROSECONDS_PER_S < record.at < 13 * MICROSECONDS_PER_S
    }
    delays_us = [
        record.at - requests[record.id].at
        for record in run_records.answered
        if record.id in requests and record.kind == "refused"
    ]
    assert len(delays_us) > 50
    # All but trials, which are rejected only after their attempts failed.
    assert sum(delay_us < 5_000 for delay_us in delays_us) / len(delays_us) > 0.85
    arrival_counts = Counter(arrival.id for arrival in run_records.came if arrival.id in requests)
    assert sum(arrival_counts.values()) <= 4 * 4 * 2 * len(scenario.fronts)  # only trials were sent


def test_attempts_stay_bounded_while_a_zone_is_down() -> None:
    """With two copies each read could be retried, but no more than the retry budget adds is sent."""
    scenario = play_scenario("at 6s dark room 1 for 8s", "at 16s cut room 2 for 4s")
    for front in scenario.fronts:
        front_counters = front.engine.counters
        assert front_counters["attempts_sent"] <= front_counters["requests_taken"] * 1.1 + 10 * 24


def test_deployments_and_slow_endpoints_mark_no_zone_down() -> None:
    scenario = play_scenario("at 6s deploy 80% batch 15% drain 3s over 12s", "at 5s slow 5 n03 for 10s")
    assert all(not counters["rooms_lost"] for counters in zone_counters(scenario))


def test_repeated_failures_of_a_zone_are_counted() -> None:
    scenario = play_scenario("at 2s dark room 1 for 4s", "at 12s dark room 1 for 5s")
    assert max(front.zones.router.zone_health.zones["1"].failures for front in scenario.fronts) >= 2


def test_spillover_mode_never_rejects_requests_that_would_spill_over() -> None:
    event = "at 6s dark room 1 for 8s"
    with_never, with_all = (
        play_scenario(event, rooms={"spill": "never"}),
        play_scenario(event, rooms={"spill": "all"}),
    )
    front_numbers = [
        front.number for front in with_never.fronts if with_never.plan.front_zones[front.number] == 1
    ]
    assert front_numbers
    assert sum(
        zone_counters(with_never)[front_number]["rooms_refused"] for front_number in front_numbers
    ) > sum(zone_counters(with_all)[front_number]["rooms_refused"] for front_number in front_numbers)
    assert not sum(counters["rooms_spilled"] for counters in zone_counters(with_never))


@pytest.mark.parametrize("gossip", ["liars", "mute"])
def test_false_reports_or_silence_of_peers_mark_no_zone_down(gossip: str) -> None:
    scenario = play_scenario("at 5s slow 5 n03 for 10s", gossip=gossip)
    assert scenario.gossip is not None and any(member.alive_members() for member in scenario.gossip.members)
    assert all(not counters["rooms_lost"] for counters in zone_counters(scenario))
    if gossip == "liars":
        assert any(
            zone_record.peer_states
            for front in scenario.fronts
            for zone_record in front.zones.router.zone_health.zones.values()
        )


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

        def alarm(delay_us: int, callback: Any) -> Alarm:
            new_alarm = Alarm(callback)
            loop.at(loop.now + delay_us, new_alarm)
            return new_alarm

        wheel = TimerWheel(lambda: loop.now, alarm, 2000)
        self.log_lines: list[tuple[str, dict[str, Any]]] = []
        self.lifecycle = RequestLifecycle(
            SETTINGS, 1, lambda: loop.now, wheel, loop.soon, Counters(), lambda *args, **fields: None
        )
        self.lifecycle.transport = self
        settings = zone_settings(configuration.ZoneConfig(own_zone="a", nearby_zones=("b",)))
        self.zones = ZoneIntegration(
            settings,
            self.lifecycle,
            1,
            lambda: loop.now,
            None,
            lambda event, **fields: self.log_lines.append((event, fields)),
        )
        endpoints = [
            Endpoint(f"{zone_name}{shard}{number}", EndpointStatus.UP, shard, zone=zone_name)
            for zone_name in "ab"
            for shard in (0, 1)
            for number in (0, 1)
        ]
        self.lifecycle.apply_endpoint_list(
            EndpointList(True, (*endpoints, Endpoint("only", EndpointStatus.UP, 2, zone="a")))
        )
        self.in_flight: list[Attempt] = []
        self.stopped_attempts: list[Attempt] = []
        self.answers: dict[str, Answer] = {}
        self.run(0)

    def start(self, attempt: Attempt) -> None:
        attempt.transport_state = self
        self.in_flight.append(attempt)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        self.stopped_attempts.append(attempt)
        self.loop.soon(lambda: self.end_attempt(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False

    def end_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        self.in_flight.remove(attempt)
        self.lifecycle.attempt_ended(attempt, result)

    def run(self, duration_us: int) -> None:
        for _ in range(max(duration_us // 100_000, 1)):
            self.loop.run(self.loop.now + min(duration_us, 100_000))
            self.zones.tick()

    def send_request(self, name: str, class_name: str = "read", shard: int = 0) -> None:
        deadline_us = self.loop.now + (2_000_000 if class_name == "read" else 3_000_000)
        incoming = IncomingRequest(class_name, "basic", "v", name, shard, 1.0, deadline_us, None)
        self.lifecycle.accept(incoming, lambda answer: self.answers.__setitem__(name, answer))
        self.run(0)

    def fail_zone(self) -> None:
        """Mark zone a as down by two broken attempts at each of its endpoints."""
        for name in ("a00", "a01", "a10", "a11", "only"):
            for number in range(2):
                self.zones.router.record_outcome(
                    self.loop.now, f"{name}{number}", name, AttemptResult.CONNECT_FAILED, 1
                )
        self.zones.tick()
        self.run(0)


def test_a_transition_is_logged_with_its_evidence_and_counted() -> None:
    harness = ZoneHarness()
    harness.fail_zone()
    (event, fields) = harness.log_lines[0]
    assert (
        event == "room_verdict"
        and fields["room"] == "a"
        and "of 5 servers down, 0 mute, 0 up" in fields["evidence"]
    )
    assert harness.lifecycle.counters["rooms_lost"] == 1


def test_reads_in_flight_in_a_down_zone_are_retried_elsewhere() -> None:
    harness = ZoneHarness()
    harness.send_request("r")
    harness.send_request("u", "upload")
    assert {attempt.endpoint[0] for attempt in harness.in_flight} == {"a"}
    harness.fail_zone()
    # The upload may have run, so it stays there.
    assert [attempt.request.incoming.key for attempt in harness.stopped_attempts] == ["r"]
    assert [(attempt.request.incoming.key, attempt.endpoint[0]) for attempt in harness.in_flight] == [
        ("u", "a"),
        ("r", "b"),
    ]


def test_requests_waiting_for_a_shard_only_in_a_down_zone_are_rejected() -> None:
    harness = ZoneHarness()
    for number in range(200):
        harness.send_request(f"q{number}", shard=2)
    waiting = [name for name in (f"q{number}" for number in range(200)) if name not in harness.answers]
    sent = {attempt.request.incoming.key for attempt in harness.in_flight}
    assert len(sent) < len(waiting)
    harness.fail_zone()
    rejected = {request_name for request_name in waiting if request_name in harness.answers}
    assert rejected == set(waiting) - sent
    assert all(
        harness.answers[request_name].kind is AnswerKind.REJECTED
        and harness.answers[request_name].retry_after_us > 0
        for request_name in rejected
    )
    harness.send_request("later", shard=2)
    assert harness.answers["later"].reason == "room a is lost"


def test_an_evacuated_zone_is_left_at_once_and_used_again_when_cleared() -> None:
    harness = ZoneHarness()
    assert harness.zones.set_override("a", "evacuate") and not harness.zones.set_override("x", "evacuate")
    harness.run(0)
    harness.send_request("r")
    assert [attempt.endpoint[0] for attempt in harness.in_flight] == ["b"]
    assert harness.zones.status()["rooms"]["a"]["by_hand"] == "evacuate"
    assert harness.zones.set_override("a", "")
    harness.run(0)
    harness.send_request("s")
    assert harness.in_flight[-1].endpoint[0] == "a"


def test_the_admin_api_shows_states_evidence_and_spillover() -> None:
    harness = ZoneHarness()
    harness.fail_zone()
    zones_status = harness.zones.status()
    assert zones_status["own"] == "a" and zones_status["rooms"]["a"]["state"] == "lost"
    assert sorted(zones_status["rooms"]["a"]["servers_down"]) == ["a00", "a01", "a10", "a11", "only"]
    assert zones_status["spill"]["mode"] == "learnt" and json.dumps(zones_status)


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
def test_configuration_error_names_the_key(table: dict[str, Any], why: str, tmp_path: Path) -> None:
    with pytest.raises(configuration.ConfigError) as caught:
        configuration.parse_zones(configuration.Keys(table, "rooms"), tmp_path)
    assert why in str(caught.value)


def test_retry_budget_is_added_unless_configured() -> None:
    assert with_retry_budget(SETTINGS, 0.1).retry_budget_ratio == 0.1
    assert with_retry_budget(SETTINGS, 0) is SETTINGS
    own = Settings(SETTINGS.classes, SETTINGS.plans, retry_budget_window_us=5, retry_budget_ratio=0.3)
    assert with_retry_budget(own, 0.1) is own


def test_front_without_zones_does_not_import_the_zone_packages() -> None:
    import subprocess
    import sys

    code = "import sys, umberlead.daemon.process, umberlead.frontends.admin_api as c; "
    code += "print([m for m in sys.modules if m.startswith(('umberlead.zones', 'umberlead.gossip'))])"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"


def test_admin_api_calls_reach_zones(tmp_path: Path) -> None:
    """Over a running front: the state of zones, an evacuation, and unknown zones and overrides."""
    import asyncio

    from tests.test_lists_front import running_front

    async def test() -> None:
        async with running_front(tmp_path) as front:
            front.process.terminate()
            await front.process.wait()
            path = tmp_path / "front.toml"
            path.write_text('management = "127.0.0.1:0"\n' + path.read_text() + '\n[rooms]\nown = ""\n')
            front.process = await asyncio.create_subprocess_exec(
                *front.program, cwd=Path(__file__).parent.parent, stderr=asyncio.subprocess.PIPE
            )
            front.reader = asyncio.create_task(front._read(front.process.stderr))
            line_count = len(front.lines)
            line = await front.wait_for_log_line("admin_api_listening", line_count)
            port = line.split('address="127.0.0.1:')[1].split('"')[0]

            def call(method: str, path: str) -> tuple[int, str]:
                request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method)
                opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
                try:
                    with opener.open(request, timeout=10) as response:
                        return response.status, response.read().decode()
                except urllib.error.HTTPError as http_error:
                    return http_error.code, http_error.read().decode()

            status, body = await asyncio.to_thread(call, "GET", "/control/rooms")
            assert status == 200 and json.loads(body)["rooms"]["-"]["servers"] == 2
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms/x/evacuate"))[0] == 404
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms//evacuate")) == (200, "done\n")
            status, body = await asyncio.to_thread(call, "GET", "/control/rooms")
            assert json.loads(body)["rooms"]["-"]["by_hand"] == "evacuate"
            assert (await asyncio.to_thread(call, "PUT", "/control/rooms//drop"))[0] == 404
            assert await front.terminate() == 0

    asyncio.run(test())
