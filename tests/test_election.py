"""Tests of the leader election: as a model, and in a cluster with crashes and delayed requests."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from ashdock.cluster_version import SUPPORTED_VERSION
from ashdock.core.allocator import ScaleOut
from ashdock.core.shard_status import Reclaim
from ashdock.election.candidates import better_candidate, rank_candidates
from ashdock.election.election import Election, ElectionState, KeyHolder
from ashdock.election.fencing import NotLeaderError, TermFence
from ashdock.leader.machine_records import RecordWrite
from ashdock.settings import SettingsError, load
from ashdock.wire import frames
from ashdock.wire.frame_errors import FrameError
from ashdock.wire.frames import FrameKind
from ashdock.wire.peer_messages import (
    FencedCommand,
    ReclaimsInProgress,
    TransferMachine,
    TransferShard,
)
from tests.cluster import Service, job
from tests.election_model import FENCES, Model, random_walks, search
from tests.test_cluster import run_scenario
from tests.test_wire import VALID_SETTINGS
from tests.virtual_time import spawn

# -- the election alone ----------------------------------------------------------------------------


def test_no_order_of_events_gives_two_leaders() -> None:
    """Searches all states of two controllers, and walks randomly through those of three."""
    assert search(Model(2, 2, 1, "write")).violation == ""
    assert search(Model(2, 2, 0, "command")).violation == ""
    for kind in ("write", "command"):
        assert random_walks(Model(3, 5, 2, kind), 150, 80, seed=1) == ""


@pytest.mark.parametrize("fence", FENCES)
def test_the_model_detects_each_missing_fence(fence: str) -> None:
    kind = "command" if fence == "command_term" else "write"
    assert search(Model(2, 2, 0, kind, without=fence)).violation != ""


EVENT_SEQUENCES: list[
    tuple[list[tuple[Any, ...]], ElectionState, bool, bool]
] = [  # events -> state, whether term 7 may act and may decide, at time 10
    ([("begin_campaign",), ("fail_campaign",)], ElectionState.FOLLOWER, False, False),
    ([("begin_campaign",), ("acquire", 7, 9.0, 3.0, 9.1)], ElectionState.RECONCILING, True, False),
    (
        [("acquire", 7, 9.0, 3.0, 9.1), ("complete_reconciliation", 7)],
        ElectionState.LEADER,
        True,
        True,
    ),
    (
        [("acquire", 7, 9.0, 3.0, 9.1), ("complete_reconciliation", 6)],
        ElectionState.RECONCILING,
        True,
        False,
    ),
    (
        [("acquire", 7, 6.9, 3.0, 7.0), ("complete_reconciliation", 7), ("check_expiry", 10.0)],
        ElectionState.SUSPENDED,
        False,
        False,
    ),
    (
        [
            ("acquire", 7, 6.9, 3.0, 7.0),
            ("complete_reconciliation", 7),
            ("check_expiry", 10.0),
            ("renew", 9.9, 3.0, 10.0),
        ],
        ElectionState.LEADER,
        True,
        True,
    ),
    (
        [("acquire", 7, 6.9, 3.0, 7.0), ("check_expiry", 10.0), ("renew", 9.9, 3.0, 10.0)],
        ElectionState.RECONCILING,
        True,
        False,
    ),
    (
        [("acquire", 7, 9.0, 3.0, 9.1), ("complete_reconciliation", 7), ("begin_transfer",)],
        ElectionState.TRANSFERRING,
        True,
        False,
    ),
    (
        [
            ("acquire", 7, 9.0, 3.0, 9.1),
            ("complete_reconciliation", 7),
            ("begin_transfer",),
            ("cancel_transfer",),
        ],
        ElectionState.LEADER,
        True,
        True,
    ),
    # No transfer before reconciliation.
    (
        [("acquire", 7, 9.0, 3.0, 9.1), ("begin_transfer",)],
        ElectionState.RECONCILING,
        True,
        False,
    ),
    ([("acquire", 7, 9.0, 3.0, 9.1), ("lose",)], ElectionState.FOLLOWER, False, False),
    (
        [
            ("acquire", 6, 8.0, 3.0, 8.1),
            ("lose",),
            ("acquire", 9, 9.5, 3.0, 9.6),
            ("complete_reconciliation", 9),
        ],
        ElectionState.LEADER,
        False,
        False,
    ),  # elected in another term than 7
]


@pytest.mark.parametrize(("events", "state", "may_act", "may_decide"), EVENT_SEQUENCES)
def test_the_state_machine(
    events: list[tuple[Any, ...]], state: ElectionState, may_act: bool, may_decide: bool
) -> None:
    election = Election("machines", "leader", "n1", 5)
    for method, *arguments in events:
        getattr(election, method)(*arguments)
    assert (
        election.state is state
        and election.may_act(10.0, 7) is may_act
        and election.may_decide(10.0, 7) is may_decide
    )
    assert not election.may_act(10.0, 7, duration_s=5.0)
    values = [
        (None, KeyHolder.NOBODY),
        ({"label": "n2"}, KeyHolder.ANOTHER_CONTROLLER),
        ({"label": "n1", "incarnation": 5}, KeyHolder.THIS_CONTROLLER),
    ]
    for value, holder in [
        *values,
        ({"label": "n1", "incarnation": 0, "by": "n2"}, KeyHolder.THIS_CONTROLLER),
    ]:
        assert election.key_holder(value) is holder


@pytest.mark.parametrize(
    ("eligible", "allowed", "load", "ranked", "better"),
    [
        (["a", "b", "c"], [], {"a": 9, "b": 4}, ["c", "b", "a"], "c"),
        (["a", "b"], [], {"a": 9, "b": 5}, ["b", "a"], None),
        (["a", "b", "c"], ["a", "b"], {"a": 9, "b": 4}, ["b", "a"], "b"),
        (["a", "b"], ["z"], {}, ["a", "b"], None),
        (["a", "b", "c"], ["b"], {"b": 50}, ["b"], "b"),
        (["a"], [], {"a": 9}, ["a"], None),
        ([], [], {}, [], None),
        (
            ["a", "b", "c"],
            [],
            {"a": 4, "b": 9},
            ["c", "a", "b"],
            None,
        ),  # only the most loaded leader transfers
    ],
)
def test_ranking_of_candidates(
    eligible: list[str],
    allowed: list[str],
    load: dict[str, int],
    ranked: list[str],
    better: str | None,
) -> None:
    assert (
        rank_candidates(eligible, allowed, load) == ranked
        and better_candidate("a", eligible, allowed, load) == better
    )


def test_commands_include_their_term_and_lower_terms_are_refused() -> None:
    for command in (TransferMachine("red", "vm-1", "blue"), TransferShard("red", "n2")):
        packed = frames.pack(FencedCommand(1 << 40, command))
        kind, length = frames.unpack_header(packed[: frames.HEADER.size])
        assert length == len(packed) - frames.HEADER.size and frames.unpack(
            kind, packed[frames.HEADER.size :]
        ) == FencedCommand(1 << 40, command)
    reclaims = ReclaimsInProgress("red", [("vm-1", "blue"), ("vm-2", "")])
    assert (
        frames.unpack(FrameKind.RECLAIMS_IN_PROGRESS, frames.pack(reclaims)[frames.HEADER.size :])
        == reclaims
    )
    for inner in (
        b"",
        b"\x00",
        bytes([FrameKind.FENCED_COMMAND]),
        bytes([FrameKind.PEER_HEARTBEAT]) + bytes(60),
        bytes([FrameKind.TRANSFER_SHARD]) + b"\x00\x09",
    ):
        with pytest.raises(FrameError):
            frames.unpack(FrameKind.FENCED_COMMAND, frames.U64.pack(7) + inner)
    fence = TermFence()
    assert [fence.admit(term) for term in (5, 5, 4, 9, 5)] == [
        True,
        True,
        False,
        True,
        False,
    ] and fence.refused_commands == 2


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('duties {\n machines = ["n0", "n1"]\n}\n', ""),
        ('duties {\n machines = ["n7"]\n}\n', "duties.machines.*'n7'"),
        ('duties {\n machines = "n0"\n}\n', "Expected `array`.*duties.machines"),
        ("duties {\n renting = 1\n}\n", "unknown field `renting`"),
    ],
)
def test_the_list_of_allowed_leaders_is_read_or_refused(
    text: str, message: str, tmp_path: Path
) -> None:
    (tmp_path / "s.toml").write_text(VALID_SETTINGS)
    (tmp_path / "o.hcl").write_text(text)
    if not message:
        assert load(str(tmp_path / "s.toml"), tmp_path / "o.hcl").operators.duties.machines == [
            "n0",
            "n1",
        ]
        return
    with pytest.raises(SettingsError, match=message) as error:
        load(str(tmp_path / "s.toml"), tmp_path / "o.hcl")
    assert "o.hcl" in str(error.value)


# -- in a cluster ----------------------------------------------------------------------------------


async def wait_for_leader(service: Service) -> int:
    """Return the index of the controller that leads, once it has reconciled."""
    while service.now() < 300:
        for index, controller in service.controllers.items():
            if (
                controller.leader is not None
                and controller.elector.election.state is ElectionState.LEADER
            ):
                return index
        await asyncio.sleep(0.02)
    pytest.fail("no controller leads")


JOBS = [
    job(1, shares=8, expect_s=20.0),
    job(2, owner="blue", shape="ensemble", shares=2, accelerators=4.0, expect_s=15.0),
    job(3, shares=8),
]


async def wait_until_idle(service: Service, within_s: float = 150.0) -> None:
    """Wait until all jobs are done, all machines released, and only permanent keys are stored."""
    assert await service.until_final([submission["id"] for submission in JOBS], within_s) == []
    until = service.now() + within_s
    while service.cloud.workers and service.now() < until:
        await asyncio.sleep(1.0)
    assert not service.cloud.workers
    await asyncio.sleep(15)
    # `life/` is written by controllers that join after the cluster version was raised, for example
    # restarted ones.
    remaining = {path.split("/")[0] for path in service.store.keys} - {"life"}
    assert remaining == {"catalog", "job", "leader", "member", "part", "upgrade"}


@pytest.mark.parametrize(
    "key", ["charter/", "delete charter/", "machine/", "delete machine/", "leader"]
)
@pytest.mark.parametrize(("nth", "restart_after_s"), [(1, 0.05), (2, 0.3), (1, 4.0)])
def test_the_leader_crashes_at_each_write(
    key: str, nth: int, restart_after_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader crashes when its nth write of a kind is applied but not answered.

    The next leader must carry out the unfinished work, and only once.
    """

    async def scenario(service: Service) -> None:
        matching_writes = 0

        def hook(writes: list[dict[str, Any]]) -> None:
            nonlocal matching_writes
            keys = [
                ("" if "set" in write else "delete ") + (write.get("set") or write["delete"])
                for write in writes
            ]
            leader = next(
                (index for index, c in service.controllers.items() if c.leader is not None), None
            )
            if leader is not None and any(written.startswith(key) for written in keys):
                matching_writes += 1
                if matching_writes == nth:
                    service.crash(leader, restart_after_s)

        service.store.on_transaction = hook
        for submission in JOBS:
            await service.submit(dict(submission))
        await wait_until_idle(service)
        assert sum(len(names) for names in service.cloud.machines_by_intent.values()) <= 8

    run_scenario(monkeypatch, 61, scenario, machines=2, capacity=8)


@pytest.mark.parametrize("paused_s", [1.0, 10.0, 60.0])
def test_a_leader_that_was_paused_begins_no_effect_after_its_lease(
    paused_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader's process is suspended past the end of its lease and resumes with its old state.

    It must refuse to call the cloud, since the lease has expired by its own clock. Once another
    controller has been elected, its writes must fail by their condition on the leadership key.
    """

    async def scenario(service: Service) -> None:
        await service.submit(dict(JOBS[0]))
        await asyncio.sleep(4)
        first = await wait_for_leader(service)
        controller = service.controllers[first]
        leader, election = controller.leader, controller.elector.election
        assert leader is not None
        term, calls = election.term, len(service.cloud.machines_by_intent)
        # Simulates a suspended process: its clock has advanced, and none of its code has run.
        election.lease_valid_until = time.monotonic() - paused_s
        with pytest.raises(NotLeaderError):
            await controller.cloud.rent("late", "g4", "a", False, 1, leader.leadership.check)
        with pytest.raises(NotLeaderError):
            leader.leadership.check()
        leader._spawn(
            leader.provisioner.scale_out(scale_out := ScaleOut((("red", 1),), "g4", "a", False))
        )
        leader.allocator.scale_outs.append(scale_out)
        await asyncio.sleep(0.01)
        assert (
            len(service.cloud.machines_by_intent) == calls
            and scale_out not in leader.allocator.scale_outs
        )
        # After a renewal it continues in its term. Then another controller replaces it.
        assert await wait_for_leader(service) == first and election.term == term
        service.store.keys["leader"] = (
            {"label": "n9", "incarnation": 1},
            service.store.revision + 1,
            None,
        )
        await service.store._apply([])
        path = next(path for path in service.store.keys if path.startswith("machine/"))
        with pytest.raises(NotLeaderError):
            await leader.records._write_batch(
                {path.removeprefix("machine/"): RecordWrite(service.store.keys[path][1], None)}
            )
        assert path in service.store.keys
        del service.store.keys["leader"]
        await service.store._apply([{"delete": "leader"}])
        service.store.changes.append({"delete": "leader", "stamp": service.store.revision})
        await service.until_final(["req-000001"], 90)

    run_scenario(monkeypatch, 62, scenario)


def test_leadership_is_transferred_by_load_and_by_the_operators_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=16, expect_s=70.0))
        await service.submit(job(2, owner="blue", shares=8, expect_s=70.0))
        key_writes: list[tuple[float, str]] = []
        service.store.on_transaction = lambda writes: key_writes.extend(
            (service.now(), w["value"]["label"]) for w in writes if w.get("set") == "leader"
        )
        await asyncio.sleep(20)
        leader = await wait_for_leader(service)
        assert not service.controllers[leader].owners, (
            "with two shards and three controllers, the one without a shard leads"
        )
        for controller in service.controllers.values():
            controller.elector.allowed = [f"n{(leader + 1) % 3}"]
        await asyncio.sleep(14)
        assert await wait_for_leader(service) == (leader + 1) % 3
        named = [i for i in range(1, len(key_writes)) if key_writes[i][1] == key_writes[i - 1][1]]
        # A named successor acquires leadership at once.
        assert named and all(key_writes[i][0] - key_writes[i - 1][0] < 0.25 for i in named)
        assert await service.until_final(["req-000001", "req-000002"], 120) == []
        page = service.controllers[(leader + 1) % 3].metrics().body.decode()
        assert (
            'ashdock_duty_state{duty="machines",state="holding"} 1.0' in page
            and "ashdock_duty_gap_seconds_bucket" in page
        )

    run_scenario(monkeypatch, 63, scenario)


def test_a_crashed_successor_delays_the_next_leader_by_a_store_lease_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=4))
        leader = await wait_for_leader(service)
        controller = service.controllers[leader]
        crashed = (leader + 1) % 3
        service.crash(crashed, 60.0)
        await controller.elector._transfer(f"n{crashed}")
        assert controller.leader is None
        began = service.now()
        await wait_for_leader(service)
        assert service.now() - began < 3.0  # a store lease, and one campaign
        assert await service.until_final(["req-000001"], 60) == []

    run_scenario(monkeypatch, 64, scenario)


def test_each_of_three_crashing_leaders_reconciles_earlier_intents_before_it_decides(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await wait_for_leader(service)
        service.cloud.down = True
        for submission in JOBS:
            await service.submit(dict(submission))
        for _ in range(3):
            await asyncio.sleep(4)
            service.crash(await wait_for_leader(service), 0.3)
        intents = [path for path in service.store.keys if path.startswith("charter/")]
        assert intents
        service.cloud.down = False
        await wait_until_idle(service)
        # Each intent is repeated under its own name, and nothing is scaled out in addition.
        assert sum(len(names) for names in service.cloud.machines_by_intent.values()) <= 8

    run_scenario(monkeypatch, 65, scenario, machines=1, capacity=9)


def test_a_delayed_release_affects_no_machine_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A release request is delayed by ten seconds and delivered while the next leader works.

    It must not release machines in use: each machine that it names was decommissioned durably
    before, which is never undone, so no team can be using it.
    """

    async def scenario(service: Service) -> None:
        delayed: list[list[str]] = []
        handle = service.cloud.handle

        async def delay_releases(request: Any) -> Any:
            if request.target == "/hosts/release" and len(delayed) < 2:
                delayed.append(request.body)
                spawn(service.net, "10.2.0.2", _call_later(10.0, handle, request))
                service.crash(await wait_for_leader(service), 0.3)
                await asyncio.sleep(60)
            return await handle(request)

        service.cloud.handle = delay_releases  # type: ignore[method-assign]
        service.cloud.server.handler = delay_releases
        for submission in JOBS:
            await service.submit(dict(submission))
        await wait_until_idle(service)
        assert delayed

    run_scenario(monkeypatch, 66, scenario, machines=4, capacity=8)


async def _call_later(seconds: float, function: Any, *arguments: Any) -> None:
    await asyncio.sleep(seconds)
    await function(*arguments)


def test_a_command_of_a_replaced_leader_is_refused_by_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=8, expect_s=30.0))
        await asyncio.sleep(8)
        owner = next(c for c in service.controllers.values() if "red" in c.owners)
        shard = owner.owners["red"].shard
        assert shard is not None
        name = next(name for name, machine in shard.machines.items() if machine.usable)
        term = owner.term_fence.highest_term
        owner.frame_dispatcher.dispatch(
            "n9", FencedCommand(term - 1, Reclaim("red", "blue", [name]))
        )
        # Without a term: sent by a process of an earlier version that has ended.
        owner.frame_dispatcher.dispatch("n9", Reclaim("red", "blue", [name]))
        assert shard.machines[name].usable and owner.term_fence.refused_commands == 1
        owner.frame_dispatcher.dispatch("n9", FencedCommand(term, Reclaim("red", "blue", [name])))
        assert not shard.machines[name].usable
        # The next leader counts the reclaimed machine as already on its way to the other team.
        other = next(c for c in service.controllers.values() if c is not owner)
        other.frame_dispatcher.dispatch(
            owner.label, ReclaimsInProgress("red", shard.status_reporter.leaving_machines())
        )
        leader = service.controllers[await wait_for_leader(service)].leader
        assert leader is not None and (name, "blue") in other.leaving_machines()
        leader.allocator.note_reclaims(other.leaving_machines(), leader.context.now())
        assert leader.allocator.pending_reclaims[name][0] == "blue"
        assert await service.until_final(["req-000001"], 120) == []

    run_scenario(monkeypatch, 67, scenario)


def test_commands_are_not_fenced_while_a_controller_has_an_intermediate_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller of an older version closes the link when it receives a command with a term.

    Commands must not contain a term before all controllers understand it.
    """

    async def scenario(service: Service) -> None:
        service.net.kill("10.0.0.2")
        service.controllers.pop(2)
        service.store.revision += 1
        service.store.keys["upgrade/node/n2"] = ({"forms": 2}, service.store.revision, None)
        await service.submit(job(1, shares=2))
        await asyncio.sleep(4)
        assert service.store.keys["upgrade/mark"][0]["forms"] == 2
        assert all(
            c.cluster_version.supports_dependencies
            and not c.cluster_version.fences_commands
            and not c.can_name_successor()
            for c in service.controllers.values()
        )
        service.boot(2)
        await asyncio.sleep(4)
        assert service.store.keys["upgrade/mark"][0]["forms"] == SUPPORTED_VERSION and all(
            c.cluster_version.fences_commands for c in service.controllers.values()
        )
        assert await service.until_final(["req-000001"], 60) == []

    run_scenario(monkeypatch, 68, scenario)
