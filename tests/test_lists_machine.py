"""The list in force, compared with a simple reference model over sequences of events.

All short sequences are run, and long random ones. Other tests cover confirmation, flap damping and weights.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.helpers import T0, ask, feed, head, nodes, sends
from umberlead.membership.flap_damping import FlapDamper, FlapDampingSettings
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.model import CheckedList, EndpointSpec, diff_endpoints
from umberlead.membership.pending_list import NoPendingListError
from umberlead.scheduling.actions import Send
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointStatus, Outcome
from umberlead.scheduling.weighted_round_robin import SmoothWeightedRoundRobin
from umberlead.testing.explore import A, B, C, World, explore, listing, server

DEPTH = 3
SECOND = 1_000_000


def test_all_orders_of_events_to_a_depth() -> None:
    states, steps = explore(DEPTH)
    assert states > 400 and steps > 2000


NAMES = st.sampled_from("abcd")
SERVERS = st.builds(
    lambda name, port, shard, ready, weight, started: EndpointSpec(
        name,
        ("127.0.0.1", port),
        shard,
        EndpointStatus.UP if ready else EndpointStatus.DRAINING,
        weight=weight,
        started_us=started,
    ),
    NAMES,
    st.integers(1, 3),
    st.integers(0, 1),
    st.booleans(),
    st.sampled_from([None, 0.0, 2.0]),
    st.sampled_from([0, 5]),
)


class Machine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = World.new(
            MembershipSettings(0.4, 40 * SECOND, FlapDampingSettings(10 * SECOND, 2000.0, 1000.0, 5000.0))
        )
        self.count = 0

    @rule(servers=st.lists(SERVERS, max_size=5))
    def files(self, servers: list[EndpointSpec]) -> None:
        self.count += 1
        self.world.files(CheckedList(self.count, f"{self.count:08d}{'0' * 56}", {s.name: s for s in servers}))

    @rule()
    def broken(self) -> None:
        self.world.refused()

    @precondition(lambda self: self.world.machine.pending is not None)
    @rule(cut=st.sampled_from([3, 8, 64]))
    def confirm(self, cut: int) -> None:
        pending = self.world.machine.pending
        assert pending is not None
        self.world.confirm(pending.checked_list.digest[:cut])

    @rule(whole=st.booleans(), servers=st.lists(SERVERS, max_size=3), gone=st.lists(NAMES, max_size=2))
    def discovery(self, whole: bool, servers: list[EndpointSpec], gone: list[str]) -> None:
        told = {s.name: s for s in servers} | {n: server(n, 1, 0, EndpointStatus.GONE) for n in gone}
        self.world.discovery(whole, *told.values())

    @rule(name=NAMES, out=st.booleans())
    def mark(self, name: str, out: bool) -> None:
        self.world.mark(name, out)

    @rule(by=st.sampled_from([1, SECOND, 12 * SECOND, 50 * SECOND]))
    def wait(self, by: int) -> None:
        self.world.wait(by)

    @invariant()
    def as_the_plain_account_has_it(self) -> None:
        self.world.settle()


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    max_examples=250,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


def test_a_list_is_pending_until_just_that_one_is_confirmed() -> None:
    m = Membership(MembershipSettings())
    m.apply_files(1, listing("11111111", A, B, C))
    small = listing("22222222", A)
    assert not m.apply_files(2, small) and set(m.active_endpoints) == {"a", "b", "c"}
    assert [p.code for p in m.rejection_problems] == ["L301"]
    for wrong in ("2222222", "11111111", ""):
        with pytest.raises(NoPendingListError):
            m.confirm(3, wrong)
    m.reject_files([])  # the files have changed to an invalid list
    with pytest.raises(NoPendingListError):
        m.confirm(4, small.digest)
    m.apply_files(5, small)
    assert set(m.active_endpoints) == {"a", "b", "c"}
    assert {x.id for x in m.confirm(6, small.digest[:8]).removed} == {"b", "c"}


def test_a_name_with_a_new_address_is_another_endpoint_also_after_its_removal() -> None:
    m = Membership(MembershipSettings(1.0, 60 * SECOND))
    m.apply_files(1, listing("11111111", A, B))
    first = m.active_endpoints["a"].id
    m.apply_files(2, listing("22222222", B))
    moved = m.apply_files(3, listing("33333333", server("a", 7), B)).added[0]
    back = m.apply_files(4, listing("44444444", A, B))
    ids = {first, moved.id, back.added[0].id}
    assert first == "a" and len(ids) == 3 and [x.id for x in back.removed] == [moved.id]


def test_a_delta_against_another_list_is_not_used() -> None:
    """An operator can confirm a pending list, which changes the list in force, while another list loads."""
    m = Membership(MembershipSettings(1.0))
    m.apply_files(1, listing("11111111", A, B))
    stale = diff_endpoints({}, {"a": A})
    change = m.apply_files(2, listing("22222222", A), stale, "somewhere else")
    assert [x.id for x in change.removed] == ["b"]


def test_damping_suppresses_a_flapping_endpoint_and_releases_it() -> None:
    rules = FlapDampingSettings()
    flaps, now = FlapDamper(rules), 0
    held = [flaps.record_return("a", now := now + SECOND) for _ in range(4)]
    assert held == [False, False, False, True]
    until = flaps.suppressed_until_us("a")
    assert not flaps.release_due(until - 2) and flaps.suppressed == {"a"}
    assert flaps.release_due(until) == ["a"] and not flaps.suppressed
    for _ in range(100):
        flaps.record_return("b", now)
    assert flaps.suppressed_until_us("b") - now <= rules.max_suppression_us
    assert (
        flaps.release_due(now + 10 * rules.max_suppression_us) and not flaps._penalties
    )  # decayed penalties are deleted


def test_suppression_depends_on_the_other_endpoints_of_the_shard() -> None:
    """A suppressed endpoint is used again as soon as its shard has no other usable endpoint."""
    m = Membership(
        MembershipSettings(1.0, 60 * SECOND, FlapDampingSettings(30 * SECOND, 1500.0, 1000.0, 4000.0))
    )
    now = 1
    for _ in range(3):
        m.apply_discovery(now := now + SECOND, True, [A, B])
        m.apply_discovery(now := now + SECOND, True, [B])
    m.apply_discovery(now := now + SECOND, True, [A, B])
    assert m.active_endpoints["a"].suppressed
    assert [x.suppressed for _, x in m.set_manual_drain(now, "b", True, now).changed] == [False]
    assert [x.suppressed for _, x in m.set_manual_drain(now, "b", False).changed] == [True]
    gone = m.apply_discovery(now, False, [server("b", 2, state=EndpointStatus.GONE)])
    assert ([x.id for x in gone.removed], [x.suppressed for _, x in gone.changed]) == (["b"], [False])
    assert [x.suppressed for _, x in m.apply_discovery(now, False, [B]).changed] == [True]


def test_removed_names_are_forgotten() -> None:
    """State of removed names is deleted, whether they were ready or draining, so that it stays bounded."""
    m, now = Membership(MembershipSettings()), 0
    for k in range(50):
        state = EndpointStatus.UP if k % 2 else EndpointStatus.DRAINING
        m.apply_discovery(now := now + SECOND, True, [server(f"s{k}", k, state=state)])
    m.advance_time(now + 200 * SECOND)
    assert (
        len(m._identities) == 1
        and not m._not_ready_since_us
        and not m._removed_us
        and len(m._ready_names_by_shard) == 1
    )


@pytest.mark.parametrize("rules", [(0, 3, 1, 8), (1, 1, 1, 8), (1, 3, 0, 8), (1, 9, 1, 8)])
def test_invalid_damping_settings_are_rejected(rules: tuple[int, float, float, float]) -> None:
    with pytest.raises(ValueError):
        FlapDampingSettings(*rules)


def test_smooth_choice_keeps_proportions_and_mixes() -> None:
    choice, weights, taken = SmoothWeightedRoundRobin(), {"a": 5.0, "b": 1.0, "c": 1.0}, ""
    for _ in range(70):
        name = choice.select(weights)
        choice.record_selection(name, weights)
        taken += name
    assert (taken.count("a"), taken.count("b"), taken.count("c")) == (50, 10, 10)
    assert "aaaaa" not in taken  # no long run of one name: selections are interleaved
    choice.record_selection("b", {"b": 1.0})
    assert set(choice._credit) == {"b"}


def _weighted(name: str, shard: int, weight: float | None, units: float = 0.0) -> Endpoint:
    return Endpoint(name, EndpointStatus.UP, shard, 0, weight, units)


def test_weights_divide_new_objects_and_leave_reads_alone() -> None:
    h = head(T0, _weighted("n0", 0, 3.0), _weighted("n1", 1, 1.0), _weighted("n2", 2, 0.0))
    sent = []
    for k in range(40):
        acts = feed(h, T0 + k, ask(f"w{k}", T0 + k, "once", shard=-1, key=f"k{k}"))
        sent += [a.endpoint for a in acts if isinstance(a, Send)]
        for a in acts:
            if isinstance(a, Send):
                feed(h, T0 + k, Outcome(a.request_id, a.endpoint, 0, AttemptResult.OK, 9_000, True))
    assert (sent.count("n0"), sent.count("n1"), sent.count("n2")) == (30, 10, 0)
    assert sends(feed(h, T0 + 99, ask("r", T0 + 99, shard=2))) == ["r"]  # weight 0 does not affect reads


def test_weights_act_among_those_that_can_take_a_request_now() -> None:
    """If the endpoint of higher weight is full, requests go to the other one and do not wait."""
    h = head(T0, _weighted("n0", 0, 9.0, units=2.0), _weighted("n1", 1, 1.0))
    acts = feed(h, T0, *[ask(f"w{k}", cls="once", shard=-1, key=f"k{k}") for k in range(4)])
    assert sorted(a.endpoint for a in acts if isinstance(a, Send)) == ["n0", "n1", "n1", "n1"]


def test_an_endpoints_listed_limit_lowers_its_concurrency_limit_at_once() -> None:
    h = head(T0, _weighted("n0", 0, None))
    assert len(sends(feed(h, T0, *[ask(f"a{k}") for k in range(3)]))) == 3
    feed(h, T0 + 1, nodes(_weighted("n0", 0, None, units=4.0), whole=False))
    assert sends(feed(h, T0 + 2, ask("b", T0 + 2))) == []
