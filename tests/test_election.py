"""Leader election: as a model, and in a cluster where machines, controllers and requests fail or come late."""

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
from tests.election_model import FENCES, Model, random_walks, search
from tests.simtime import spawn
from tests.test_whole import play
from tests.test_wire import VALID_SETTINGS
from tests.whole import Service, job

# -- the election, alone ---------------------------------------------------------------------------------------


def test_no_order_of_events_gives_two_leaders() -> None:
    """Two controllers, their leases and late effects, exhaustively; three, too many for that, on seeded walks."""
    assert search(Model(2, 2, 1, "write")).violation == ""
    assert search(Model(2, 2, 0, "command")).violation == ""
    for kind in ("write", "command"):
        assert random_walks(Model(3, 5, 2, kind), 150, 80, seed=1) == ""


@pytest.mark.parametrize("fence", FENCES)
def test_the_model_finds_each_fence_that_is_left_out(fence: str) -> None:
    kind = "command" if fence == "command_term" else "write"
    assert search(Model(2, 2, 0, kind, without=fence)).violation != ""


EVENT_SEQUENCES: list[
    tuple[list[tuple[Any, ...]], ElectionState, bool, bool]
] = [  # -> state, may act, may decide, at time 10
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
    (
        [("acquire", 7, 9.0, 3.0, 9.1), ("begin_transfer",)],
        ElectionState.RECONCILING,
        True,
        False,
    ),  # not before it has reconciled
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
    ),  # another term
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
    ("fit", "allowed", "load", "ranked", "better"),
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
        ),  # only the most loaded one transfers
    ],
)
def test_who_should_lead(
    fit: list[str], allowed: list[str], load: dict[str, int], ranked: list[str], better: str | None
) -> None:
    assert (
        rank_candidates(fit, allowed, load) == ranked
        and better_candidate("a", fit, allowed, load) == better
    )


def test_commands_carry_their_term_and_lower_ones_are_refused() -> None:
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
    ] and fence.refused == 2


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('duties {\n machines = ["n0", "n1"]\n}\n', ""),
        ('duties {\n machines = ["n7"]\n}\n', "duties.machines.*'n7'"),
        ('duties {\n machines = "n0"\n}\n', "Expected `array`.*duties.machines"),
        ("duties {\n renting = 1\n}\n", "unknown field `renting`"),
    ],
)
def test_who_may_lead_is_read_or_refused(text: str, message: str, tmp_path: Path) -> None:
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


# -- in a cluster --------------------------------------------------------------------------


async def wait_for_leader(service: Service) -> int:
    """The number of the controller that leads, once it has reconciled."""
    while service.now() < 300:
        for n, controller in service.controllers.items():
            if (
                controller.leader is not None
                and controller.elector.election.state is ElectionState.LEADER
            ):
                return n
        await asyncio.sleep(0.02)
    pytest.fail("nobody leads")


JOBS = [
    job(1, shares=8, expect_s=20.0),
    job(2, owner="blue", shape="ensemble", shares=2, accelerators=4.0, expect_s=15.0),
    job(3, shares=8),
]


async def wait_until_all_is_clean(service: Service, within_s: float = 150.0) -> None:
    """The jobs are done, no machine is left that nobody needs, and nothing in the store without an owner."""
    assert await service.until_final([submission["id"] for submission in JOBS], within_s) == []
    until = service.now() + within_s
    while service.world.workers and service.now() < until:
        await asyncio.sleep(1.0)
    assert not service.world.workers
    await asyncio.sleep(15)
    left = {path.split("/")[0] for path in service.state.keys} - {
        "life"
    }  # written with the second life
    assert left == {"catalog", "job", "leader", "member", "part", "upgrade"}


@pytest.mark.parametrize(
    "key", ["charter/", "delete charter/", "machine/", "delete machine/", "leader"]
)
@pytest.mark.parametrize(("nth", "back_s"), [(1, 0.05), (2, 0.3), (1, 4.0)])
def test_the_leader_crashes_at_each_write(
    key: str, nth: int, back_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At its nth such write, applied and not answered: what it had begun is carried out once, by the next leader."""

    async def scenario(service: Service) -> None:
        matching_writes = 0

        def hook(writes: list[dict[str, Any]]) -> None:
            nonlocal matching_writes
            keys = [
                ("" if "set" in write else "delete ") + (write.get("set") or write["delete"])
                for write in writes
            ]
            leader = next((n for n, c in service.controllers.items() if c.leader is not None), None)
            if leader is not None and any(written.startswith(key) for written in keys):
                matching_writes += 1
                if matching_writes == nth:
                    service.crash(leader, back_s)

        service.state.hook = hook
        for submission in JOBS:
            await service.submit(dict(submission))
        await wait_until_all_is_clean(service)
        assert sum(len(names) for names in service.world.charters.values()) <= 8

    play(monkeypatch, 61, scenario, machines=2, capacity=8)


@pytest.mark.parametrize("paused_s", [1.0, 10.0, 60.0])
def test_a_leader_that_was_paused_does_nothing_more_of_its_term(
    paused_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It wakes with its old memory, in the middle of a call to the cloud, and finds its lease over by its own clock."""

    async def scenario(service: Service) -> None:
        await service.submit(dict(JOBS[0]))
        await asyncio.sleep(4)
        first = await wait_for_leader(service)
        controller = service.controllers[first]
        leader, election = controller.leader, controller.elector.election
        assert leader is not None
        before, calls = election.term, len(service.world.charters)
        # As if the whole process had been paused: its clock has gone on, and nothing of it has run since.
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
        assert len(service.world.charters) == calls and scale_out not in leader.allocator.scale_outs
        # Renewed in time, it goes on in its term; replaced, what it still writes fails by its condition on the key.
        assert await wait_for_leader(service) == first and election.term == before
        service.state.keys["leader"] = (
            {"label": "n9", "incarnation": 1},
            service.state.ledger + 1,
            None,
        )
        await service.state._apply([])
        path = next(path for path in service.state.keys if path.startswith("machine/"))
        with pytest.raises(NotLeaderError):
            await leader.records._write_batch(
                {path.removeprefix("machine/"): RecordWrite(service.state.keys[path][1], None)}
            )
        assert path in service.state.keys
        del service.state.keys["leader"]
        await service.state._apply([{"delete": "leader"}])
        service.state.changes.append({"delete": "leader", "stamp": service.state.ledger})
        await service.until_final(["req-000001"], 90)

    play(monkeypatch, 62, scenario)


def test_leadership_goes_to_the_least_loaded_controller_and_leaves_one_that_operators_do_not_allow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await service.submit(job(1, shares=16, expect_s=70.0))
        await service.submit(job(2, owner="blue", shares=8, expect_s=70.0))
        key_writes: list[tuple[float, str]] = []
        service.state.hook = lambda writes: key_writes.extend(
            (service.now(), w["value"]["label"]) for w in writes if w.get("set") == "leader"
        )
        await asyncio.sleep(20)
        leader = await wait_for_leader(service)
        assert not service.controllers[leader].owners, (
            "two shards, three controllers: the third leads"
        )
        for controller in service.controllers.values():
            controller.elector.allowed = [f"n{(leader + 1) % 3}"]
        await asyncio.sleep(14)
        assert await wait_for_leader(service) == (leader + 1) % 3
        named = [i for i in range(1, len(key_writes)) if key_writes[i][1] == key_writes[i - 1][1]]
        assert named and all(
            key_writes[i][0] - key_writes[i - 1][0] < 0.25 for i in named
        )  # named, and elected at once
        assert await service.until_final(["req-000001", "req-000002"], 120) == []
        page = service.controllers[(leader + 1) % 3].metrics().body.decode()
        assert (
            'ashdock_duty_state{duty="machines",state="holding"} 1.0' in page
            and "ashdock_duty_gap_seconds_bucket" in page
        )

    play(monkeypatch, 63, scenario)


def test_a_successor_that_does_not_come_delays_nothing(
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
        assert service.now() - began < 3.0  # a store lease, and a round of the election
        assert await service.until_final(["req-000001"], 60) == []

    play(monkeypatch, 64, scenario)


def test_three_leaders_crash_in_a_row_and_each_reconciles_intents_of_earlier_terms_before_it_decides(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        await wait_for_leader(service)
        service.world.down = True
        for submission in JOBS:
            await service.submit(dict(submission))
        for _ in range(3):
            await asyncio.sleep(4)
            service.crash(await wait_for_leader(service), 0.3)
        intents = [path for path in service.state.keys if path.startswith("charter/")]
        assert intents
        service.world.down = False
        await wait_until_all_is_clean(service)
        # Each is repeated under its own name, and nothing is scaled out beside what they bring.
        assert sum(len(names) for names in service.world.charters.values()) <= 8

    play(monkeypatch, 65, scenario, machines=1, capacity=9)


def test_a_release_that_arrives_late_hits_nothing_that_is_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every machine that a release names is decommissioned durably before, and that is never undone.

    Delayed by ten seconds and delivered while the next leader works, it finds machines that nobody else may have.
    """

    async def scenario(service: Service) -> None:
        delayed: list[list[str]] = []
        handle = service.world.handle

        async def delay_releases(request: Any) -> Any:
            if request.target == "/hosts/release" and len(delayed) < 2:
                delayed.append(request.body)
                spawn(service.net, "10.2.0.2", _call_later(10.0, handle, request))
                service.crash(await wait_for_leader(service), 0.3)
                await asyncio.sleep(60)
            return await handle(request)

        service.world.handle = delay_releases  # type: ignore[method-assign]
        service.world.server.handler = delay_releases
        for submission in JOBS:
            await service.submit(dict(submission))
        await wait_until_all_is_clean(service)
        assert delayed

    play(monkeypatch, 66, scenario, machines=4, capacity=8)


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
        term = owner.terms.highest
        owner.frame_dispatcher.dispatch(
            "n9", FencedCommand(term - 1, Reclaim("red", "blue", [name]))
        )
        owner.frame_dispatcher.dispatch(
            "n9", Reclaim("red", "blue", [name])
        )  # without a term: of a process of an earlier version that has ended
        assert shard.machines[name].usable and owner.terms.refused == 1
        owner.frame_dispatcher.dispatch("n9", FencedCommand(term, Reclaim("red", "blue", [name])))
        assert not shard.machines[name].usable
        # The next leader counts the machine that this one reclaimed as on its way.
        other = next(c for c in service.controllers.values() if c is not owner)
        other.frame_dispatcher.dispatch(
            owner.label, ReclaimsInProgress("red", shard.status_reporter.leaving_machines())
        )
        leader = service.controllers[await wait_for_leader(service)].leader
        assert leader is not None and (name, "blue") in other.leaving()
        leader.allocator.note_reclaims(other.leaving(), leader.context.now())
        assert leader.allocator.pending_reclaims[name][0] == "blue"
        assert await service.until_final(["req-000001"], 120) == []

    play(monkeypatch, 67, scenario)


def test_the_cluster_version_waits_for_a_controller_of_the_version_between(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Commands carry a term only once all controllers understand it: an older one closes the link on such a frame."""

    async def scenario(service: Service) -> None:
        service.net.kill("10.0.0.2")
        service.controllers.pop(2)
        service.state.ledger += 1
        service.state.keys["upgrade/node/n2"] = ({"forms": 2}, service.state.ledger, None)
        await service.submit(job(1, shares=2))
        await asyncio.sleep(4)
        assert service.state.keys["upgrade/mark"][0]["forms"] == 2
        assert all(
            c.cluster_version.supports_dependencies
            and not c.cluster_version.fences_commands
            and not c.names_successor()
            for c in service.controllers.values()
        )
        service.boot(2)
        await asyncio.sleep(4)
        assert service.state.keys["upgrade/mark"][0]["forms"] == SUPPORTED_VERSION and all(
            c.cluster_version.fences_commands for c in service.controllers.values()
        )
        assert await service.until_final(["req-000001"], 60) == []

    play(monkeypatch, 68, scenario)
