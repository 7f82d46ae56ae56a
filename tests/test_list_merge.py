"""The list in force, compared with a simple reference model over sequences of events.

All short sequences are run, and long random ones. Other tests cover confirmation, flap damping and weights.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.helpers import T0, endpoint_list, handle_events, new_request, new_scheduler, sent_request_ids
from umberlead.membership.flap_damping import FlapDamper, FlapDampingSettings
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.model import CheckedList, EndpointSpec, diff_endpoints
from umberlead.membership.pending_list import NoPendingListError
from umberlead.scheduling.actions import Send
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointStatus, Outcome
from umberlead.scheduling.weighted_round_robin import SmoothWeightedRoundRobin
from umberlead.testing.explore import A, B, C, World, checked_list, endpoint_spec, explore

DEPTH = 3
SECOND = 1_000_000


def test_all_event_sequences_up_to_a_depth() -> None:
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


# Hypothesis derives its seed from the source of this class, except comments: a rename changes the examples.
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

    # The files become invalid.
    @rule()
    def broken(self) -> None:
        self.world.reject_files()

    @precondition(lambda self: self.world.membership.pending is not None)
    @rule(cut=st.sampled_from([3, 8, 64]))
    def confirm(self, cut: int) -> None:
        pending = self.world.membership.pending
        assert pending is not None
        self.world.confirm(pending.checked_list.digest[:cut])

    @rule(whole=st.booleans(), servers=st.lists(SERVERS, max_size=3), gone=st.lists(NAMES, max_size=2))
    def discovery(self, whole: bool, servers: list[EndpointSpec], gone: list[str]) -> None:
        told = {s.name: s for s in servers} | {n: endpoint_spec(n, 1, 0, EndpointStatus.GONE) for n in gone}
        self.world.discovery(whole, *told.values())

    # An operator sets or removes a manual drain.
    @rule(name=NAMES, out=st.booleans())
    def mark(self, name: str, out: bool) -> None:
        self.world.set_manual_drain(name, out)

    @rule(by=st.sampled_from([1, SECOND, 12 * SECOND, 50 * SECOND]))
    def wait(self, by: int) -> None:
        self.world.wait(by)

    # The list in force is that of the reference model.
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


def test_a_pending_list_is_applied_only_with_its_own_digest() -> None:
    membership = Membership(MembershipSettings())
    membership.apply_files(1, checked_list("11111111", A, B, C))
    smaller_list = checked_list("22222222", A)
    assert not membership.apply_files(2, smaller_list) and set(membership.active_endpoints) == {"a", "b", "c"}
    assert [problem.code for problem in membership.rejection_problems] == ["L301"]
    for wrong_digest in ("2222222", "11111111", ""):
        with pytest.raises(NoPendingListError):
            membership.confirm(3, wrong_digest)
    membership.reject_files([])  # the files have changed to an invalid list
    with pytest.raises(NoPendingListError):
        membership.confirm(4, smaller_list.digest)
    membership.apply_files(5, smaller_list)
    assert set(membership.active_endpoints) == {"a", "b", "c"}
    assert {endpoint.id for endpoint in membership.confirm(6, smaller_list.digest[:8]).removed} == {"b", "c"}


def test_a_name_with_a_new_address_gets_a_new_id_even_after_its_removal() -> None:
    membership = Membership(MembershipSettings(1.0, 60 * SECOND))
    membership.apply_files(1, checked_list("11111111", A, B))
    first_id = membership.active_endpoints["a"].id
    membership.apply_files(2, checked_list("22222222", B))
    moved = membership.apply_files(3, checked_list("33333333", endpoint_spec("a", 7), B)).added[0]
    returned = membership.apply_files(4, checked_list("44444444", A, B))
    ids = {first_id, moved.id, returned.added[0].id}
    assert first_id == "a" and len(ids) == 3 and [endpoint.id for endpoint in returned.removed] == [moved.id]


def test_a_delta_against_another_list_is_not_used() -> None:
    """An operator can confirm a pending list, which changes the list in force, while another list loads."""
    membership = Membership(MembershipSettings(1.0))
    membership.apply_files(1, checked_list("11111111", A, B))
    other_delta = diff_endpoints({}, {"a": A})
    change = membership.apply_files(2, checked_list("22222222", A), other_delta, "somewhere else")
    assert [endpoint.id for endpoint in change.removed] == ["b"]


def test_damping_suppresses_a_flapping_endpoint_and_releases_it() -> None:
    damping = FlapDampingSettings()
    damper, now_us = FlapDamper(damping), 0
    suppressed_after_return = [damper.record_return("a", now_us := now_us + SECOND) for _ in range(4)]
    assert suppressed_after_return == [False, False, False, True]
    release_us = damper.suppressed_until_us("a")
    assert not damper.release_due(release_us - 2) and damper.suppressed == {"a"}
    assert damper.release_due(release_us) == ["a"] and not damper.suppressed
    for _ in range(100):
        damper.record_return("b", now_us)
    assert damper.suppressed_until_us("b") - now_us <= damping.max_suppression_us
    # Decayed penalties are deleted.
    assert damper.release_due(now_us + 10 * damping.max_suppression_us) and not damper._penalties


def test_suppression_depends_on_the_other_endpoints_of_the_shard() -> None:
    """A suppressed endpoint is used again as soon as its shard has no other usable endpoint."""
    membership = Membership(
        MembershipSettings(1.0, 60 * SECOND, FlapDampingSettings(30 * SECOND, 1500.0, 1000.0, 4000.0))
    )
    now_us = 1
    for _ in range(3):
        membership.apply_discovery(now_us := now_us + SECOND, True, [A, B])
        membership.apply_discovery(now_us := now_us + SECOND, True, [B])
    membership.apply_discovery(now_us := now_us + SECOND, True, [A, B])
    assert membership.active_endpoints["a"].suppressed
    assert [
        endpoint.suppressed for _, endpoint in membership.set_manual_drain(now_us, "b", True, now_us).changed
    ] == [False]
    assert [
        endpoint.suppressed for _, endpoint in membership.set_manual_drain(now_us, "b", False).changed
    ] == [True]
    removal = membership.apply_discovery(now_us, False, [endpoint_spec("b", 2, state=EndpointStatus.GONE)])
    assert (
        [endpoint.id for endpoint in removal.removed],
        [endpoint.suppressed for _, endpoint in removal.changed],
    ) == (["b"], [False])
    assert [
        endpoint.suppressed for _, endpoint in membership.apply_discovery(now_us, False, [B]).changed
    ] == [True]


def test_the_state_of_removed_names_is_deleted() -> None:
    """State of removed names is deleted, whether they were ready or draining, so that it stays bounded."""
    membership, now_us = Membership(MembershipSettings()), 0
    for index in range(50):
        state = EndpointStatus.UP if index % 2 else EndpointStatus.DRAINING
        membership.apply_discovery(
            now_us := now_us + SECOND, True, [endpoint_spec(f"s{index}", index, state=state)]
        )
    membership.advance_time(now_us + 200 * SECOND)
    assert (
        len(membership._identities) == 1
        and not membership._not_ready_since_us
        and not membership._removed_us
        and len(membership._ready_names_by_shard) == 1
    )


@pytest.mark.parametrize("rules", [(0, 3, 1, 8), (1, 1, 1, 8), (1, 3, 0, 8), (1, 9, 1, 8)])
def test_invalid_damping_settings_are_rejected(rules: tuple[int, float, float, float]) -> None:
    with pytest.raises(ValueError):
        FlapDampingSettings(*rules)


def test_smooth_weighted_round_robin_is_proportional_and_interleaved() -> None:
    balancer, weights, selected = SmoothWeightedRoundRobin(), {"a": 5.0, "b": 1.0, "c": 1.0}, ""
    for _ in range(70):
        name = balancer.select(weights)
        balancer.record_selection(name, weights)
        selected += name
    assert (selected.count("a"), selected.count("b"), selected.count("c")) == (50, 10, 10)
    assert "aaaaa" not in selected  # no long run of one name: selections are interleaved
    balancer.record_selection("b", {"b": 1.0})
    assert set(balancer._credit) == {"b"}


def _weighted(name: str, shard: int, weight: float | None, max_units: float = 0.0) -> Endpoint:
    return Endpoint(name, EndpointStatus.UP, shard, 0, weight, max_units)


def test_weights_divide_new_objects_and_do_not_affect_reads() -> None:
    scheduler = new_scheduler(T0, _weighted("n0", 0, 3.0), _weighted("n1", 1, 1.0), _weighted("n2", 2, 0.0))
    sent = []
    for index in range(40):
        actions = handle_events(
            scheduler, T0 + index, new_request(f"w{index}", T0 + index, "once", shard=-1, key=f"k{index}")
        )
        sent += [action.endpoint for action in actions if isinstance(action, Send)]
        for action in actions:
            if isinstance(action, Send):
                handle_events(
                    scheduler,
                    T0 + index,
                    Outcome(action.request_id, action.endpoint, 0, AttemptResult.OK, 9_000, True),
                )
    assert (sent.count("n0"), sent.count("n1"), sent.count("n2")) == (30, 10, 0)
    # Weight 0 does not affect reads.
    assert sent_request_ids(handle_events(scheduler, T0 + 99, new_request("r", T0 + 99, shard=2))) == ["r"]


def test_weights_apply_among_endpoints_with_free_capacity() -> None:
    """If the endpoint of higher weight is full, requests go to the other one and do not wait."""
    scheduler = new_scheduler(T0, _weighted("n0", 0, 9.0, max_units=2.0), _weighted("n1", 1, 1.0))
    actions = handle_events(
        scheduler,
        T0,
        *[new_request(f"w{index}", cls="once", shard=-1, key=f"k{index}") for index in range(4)],
    )
    assert sorted(action.endpoint for action in actions if isinstance(action, Send)) == [
        "n0",
        "n1",
        "n1",
        "n1",
    ]


def test_an_endpoints_listed_limit_lowers_its_concurrency_limit_at_once() -> None:
    scheduler = new_scheduler(T0, _weighted("n0", 0, None))
    assert (
        len(sent_request_ids(handle_events(scheduler, T0, *[new_request(f"a{index}") for index in range(3)])))
        == 3
    )
    handle_events(scheduler, T0 + 1, endpoint_list(_weighted("n0", 0, None, max_units=4.0), complete=False))
    assert sent_request_ids(handle_events(scheduler, T0 + 2, new_request("b", T0 + 2))) == []
