"""Cancellations that are unknown to a shard's owner because the store refuses only its requests.

Another controller confirms the cancellations to users. Then the store fails for all controllers,
for longer than `cancel_s`, while workers keep reporting to the refused owner. The cancelled tasks
must still end in time (docs/incidents/refused-alone.md).
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import pytest

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.net.mesh import MAX_UNSENT_BYTES
from tests.cluster import Service, job, shared
from tests.fakes import STORE_HOST
from tests.test_cluster import run_scenario
from tests.test_restarts import wait_for_owner
from tests.virtual_time import spawn

CANCEL_S, LEASE_S, TTL_S = 20.0, 6.0, 1.0
DELAY_S = 30.0  # of a run command; longer than it takes to place its task on a new machine
# Watermark age up to which worker leases may be renewed, before the allowance for clock drift.
MAX_WATERMARK_AGE_S = CANCEL_S - LEASE_S


# -- cancellation watermark ----------------------------------------------------------------------

PEERS = ("n1", "n2")


class LinkEvent(NamedTuple):
    """An echo of a number, or a new link.

    Attributes:
        label: Label of the peer.
        at: Time of the event, in seconds.
        sent_at: Time at which the echoed number was sent; None: the peer has made a new link.
    """

    label: str
    at: float
    sent_at: float | None


def echoes(label: str, *times: float) -> list[LinkEvent]:
    """Return echoes on one link, each of a number sent one second earlier."""
    return [LinkEvent(label, at, at - 1) for at in times]


def new_link(label: str, at: float) -> list[LinkEvent]:
    """Return the event of a new link made by the peer."""
    return [LinkEvent(label, at, None)]


# Description, time until which the store has reported cancellations, events, watermark.
WATERMARK_CASES: list[tuple[str, float, list[LinkEvent], float]] = [
    ("no echo", 10, [], 10),
    ("one peer proves nothing for the other", 10, echoes("n1", 5, 50), 10),
    ("both, continuous", 10, echoes("n1", 5, 50) + echoes("n2", 6, 47), 46),
    ("a first echo alone", 10, echoes("n1", 5) + echoes("n2", 5), 10),
    ("one began after what was read", 10, echoes("n1", 5, 50) + echoes("n2", 11, 47), 10),
    ("read after it began", 12, echoes("n1", 5, 50) + echoes("n2", 11, 47), 46),
    ("one sends nothing any more", 10, echoes("n1", 5, 50) + echoes("n2", 6, 20), 19),
    (
        "a new link: what came between is unknown",
        10,
        echoes("n1", 5, 50) + echoes("n2", 6, 20) + new_link("n2", 21) + echoes("n2", 22, 50),
        19,
    ),
    (
        "a new link, and read after its first echo",
        23,
        echoes("n1", 5, 50) + echoes("n2", 6, 20) + new_link("n2", 21) + echoes("n2", 22, 50),
        49,
    ),
    (
        "many links",
        10,
        echoes("n1", 5, 50)
        + [event for k in range(20) for event in new_link("n2", 6 + k) + echoes("n2", 6.5 + k)],
        10,
    ),
    ("read just now", 49.9, [], 49.9),
]


@pytest.mark.parametrize(("description", "base", "events", "known_until"), WATERMARK_CASES)
def test_known_until(
    description: str, base: float, events: list[LinkEvent], known_until: float
) -> None:
    watermark = CancellationWatermark(shared().workers, PEERS, 1 << 40)
    numbers: dict[float, int] = {}
    for at, event in sorted(
        [(event.at, event) for event in events]
        + [(event.sent_at, None) for event in events if event.sent_at is not None],
        key=lambda row: row[0],
    ):
        if event is None:
            numbers.setdefault(at, watermark.next_number(at))
        elif event.sent_at is None:
            watermark.link_established(event.label)
        else:
            watermark.echo_received(event.label, numbers[event.sent_at], at)
    assert watermark.known_until(base, 51.0) == known_until
    max_age_s = MAX_WATERMARK_AGE_S - 0.002 * CANCEL_S
    assert watermark.may_renew(base, known_until + max_age_s - 0.001) and not watermark.may_renew(
        base, known_until + max_age_s
    )


@pytest.mark.parametrize("number", [0, 1, (1 << 40) + 9, 1 << 63])
def test_a_number_that_was_not_sent_proves_nothing(number: int) -> None:
    watermark = CancellationWatermark(shared().workers, PEERS, 1 << 40)
    watermark.next_number(10.0)
    for label in (*PEERS, "n9"):
        watermark.echo_received(label, number, 11.0)
        watermark.echo_received(label, number, 40.0)
    assert watermark.known_until(10.0, 41.0) == 10.0
    # Without peers only this controller confirms cancellations.
    assert CancellationWatermark(shared().workers, (), 0).known_until(10.0, 41.0) == 41.0


def test_old_numbers_are_forgotten() -> None:
    watermark = CancellationWatermark(shared().workers, PEERS, 0)
    for second in range(1000):
        watermark.next_number(float(second))
    assert len(watermark.sent_at) <= CANCEL_S + 2


# -- refused owner in a simulated cluster --------------------------------------------------------


class Scenario(NamedTuple):
    """Faults of one run; times are in seconds from when the store begins to refuse the owner.

    Attributes:
        cancelled_at: When users cancel jobs through another controller, the confirmer.
        outage_at: When the store fails for all controllers.
        outage_s: Duration of the outage.
        refused_s: Duration of the refusal at most; the end of the outage ends it as well.
        leads: Whether the owner leads too; None: either.
        crashes: Which controller crashes right after the cancellations, "confirmer" or "owner".
        restart_s: Time from the crash to the restart.
        cut_peers: Whose links to the owner are cut: "confirmer", "third" or "both".
        workers_cut_at: When workers can no longer reach the owner.
        response_lost: Whether the response to the transaction of the cancellation is lost, so that
            a retry finds it applied.
        refused_again: Whether the owner is refused again after the outage and other jobs are
            cancelled.
        in_turn: Whether all three controllers are refused in turn, each for less than a
            membership's lease.
        max_timer_delay_s: Longest delay of the owner's timers, from the refusal on.
        keeps_work: Whether jobs that were not cancelled must have kept running undisturbed.
    """

    cancelled_at: float = 0.3
    outage_at: float = 0.5
    outage_s: float = 28.0
    refused_s: float = 100.0
    leads: bool | None = None
    crashes: str = ""
    restart_s: float = 0.1
    cut_peers: str = ""
    workers_cut_at: float | None = None
    response_lost: bool = False
    refused_again: bool = False
    in_turn: bool = False
    max_timer_delay_s: float = 0.0
    keeps_work: bool = False


SCENARIOS = {
    "the incident": Scenario(keeps_work=True),
    "leads too": Scenario(leads=True, keeps_work=True),
    "does not lead": Scenario(leads=False, keeps_work=True),
    "outage 0.2 s after": Scenario(outage_at=0.5, keeps_work=True),
    "outage at once": Scenario(outage_at=0.31, keeps_work=True),
    "no refusal, outage as it is confirmed": Scenario(
        refused_s=0.0, outage_at=0.301, keeps_work=True
    ),
    "refused 1 s": Scenario(cancelled_at=0.6, outage_at=0.9, refused_s=1.0, keeps_work=True),
    "refused a lease": Scenario(cancelled_at=2.0, outage_at=LEASE_S),
    "refused just under the bound": Scenario(cancelled_at=3.0, outage_at=MAX_WATERMARK_AGE_S - 0.5),
    "refused just over the bound": Scenario(cancelled_at=3.0, outage_at=MAX_WATERMARK_AGE_S + 0.5),
    "refused cancel_s": Scenario(cancelled_at=10.0, outage_at=CANCEL_S),
    "the confirmer crashes": Scenario(crashes="confirmer", outage_at=0.35),
    "the confirmer crashes for long": Scenario(crashes="confirmer", restart_s=20.0, outage_at=0.35),
    "the owner crashes": Scenario(crashes="owner", outage_at=0.35),
    "the third cut off": Scenario(cut_peers="third"),
    "the confirmer cut off": Scenario(cut_peers="confirmer"),
    "both peers cut off": Scenario(cut_peers="both"),
    "workers change controller": Scenario(workers_cut_at=2.0),
    "workers and confirmer gone": Scenario(workers_cut_at=2.0, cut_peers="confirmer"),
    "cancelled by a transaction that was not answered": Scenario(response_lost=True, outage_at=3.0),
    "refused again after the outage": Scenario(refused_again=True),
    "three in turn": Scenario(in_turn=True, outage_at=2.5),
    "the owner's timers are late by up to a second": Scenario(max_timer_delay_s=1.0),
    "the owner's timers are late by up to five seconds": Scenario(max_timer_delay_s=5.0),
    "refused cancel_s, late by up to five seconds": Scenario(
        cancelled_at=10.0, outage_at=CANCEL_S, max_timer_delay_s=5.0
    ),
    "both peers cut off, late by up to five seconds": Scenario(
        cut_peers="both", max_timer_delay_s=5.0
    ),
    "an outage under the bound": Scenario(outage_s=MAX_WATERMARK_AGE_S - 2, keeps_work=True),
}


class RefusedOwner:
    """One run of a scenario.

    The store refuses the owner of the shard. The confirmer cancels jobs for users. The third
    controller is the remaining one.
    """

    def __init__(self, service: Service, scenario: Scenario, owner: int) -> None:
        """Assign the roles and start the clock of the scenario.

        Args:
            service: The simulated cluster.
            scenario: The faults.
            owner: Number of the controller that owns the shard.
        """
        self.service = service
        self.scenario = scenario
        self.owner = owner
        self.confirmer = (owner + 1) % 3
        self.third = (owner + 2) % 3
        self.hosts = [f"10.0.0.{n}" for n in range(3)]
        self.began_at = service.now()

    async def sleep_until(self, second: float) -> None:
        """Sleep until a time in seconds from the refusal."""
        await asyncio.sleep(max(self.began_at + second - self.service.now(), 0.0))

    async def refuse(self) -> None:
        """Have the store refuse the owner, or each of the three controllers in turn."""
        scenario, store = self.scenario, self.service.store
        refused = (self.owner, self.confirmer, self.third) if scenario.in_turn else (self.owner,)
        for n in refused:
            store.refused_hosts = {self.hosts[n]} if scenario.refused_s else set()
            await asyncio.sleep(0.8 if scenario.in_turn else scenario.refused_s)
        store.refused_hosts = set()

    async def cut_workers(self) -> None:
        """Cut the workers off from the owner at the scenario's time."""
        if self.scenario.workers_cut_at is not None:
            await self.sleep_until(self.scenario.workers_cut_at)
            workers = self.service.cloud.workers.values()
            self.service.net.partition(self.hosts[self.owner], *(worker.host for worker in workers))

    def begin_faults(self) -> None:
        """Start the faults that last from the refusal on."""
        service, scenario = self.service, self.scenario
        owner_host = self.hosts[self.owner]
        if scenario.max_timer_delay_s:
            service.net.max_timer_delay_s = {owner_host: scenario.max_timer_delay_s}
        spawn(service.net, "users", self.refuse())
        spawn(service.net, "users", self.cut_workers())
        for n, role in ((self.confirmer, "confirmer"), (self.third, "third")):
            if scenario.cut_peers in (role, "both"):
                service.net.partition(owner_host, self.hosts[n])

    async def cancel(self, *numbers: int) -> None:
        """Cancel these jobs as their users, through the confirmer."""
        service = self.service
        service.entry_points = [self.confirmer]
        if self.scenario.response_lost:
            service.store.lost_answer_share = 1.0
            asyncio.get_running_loop().call_later(
                0.5, lambda: setattr(service.store, "lost_answer_share", 0.0)
            )
        statuses = await asyncio.gather(
            *(service.cancel(f"req-{number:06d}") for number in numbers)
        )
        assert set(statuses) == {"withdrawn"}

    def crash(self) -> None:
        """Crash the controller that is to crash after the cancellations, if any."""
        if self.scenario.crashes:
            crashing = self.confirmer if self.scenario.crashes == "confirmer" else self.owner
            self.service.crash(crashing, self.scenario.restart_s)

    async def store_outage(self) -> None:
        """Have the store fail for all controllers."""
        store = self.service.store
        store.down = True
        await asyncio.sleep(self.scenario.outage_s)
        store.down, store.refused_hosts = False, set()

    async def refuse_again(self) -> None:
        """Refuse the current owner, cancel other jobs, and have the store fail once more."""
        await asyncio.sleep(8)
        self.service.store.refused_hosts = {self.hosts[await wait_for_owner(self.service)]}
        await self.cancel(3, 4)
        await self.store_outage()


async def elect(service: Service, owner: int, leads: bool) -> None:
    """Make the owner or another controller the leader."""
    for controller in service.controllers.values():
        controller.elector.allowed = [f"n{owner if leads else (owner + 1) % 3}"]
    await asyncio.sleep(3 * LEASE_S)
    assert (service.controllers[owner].leader is not None) is leads


def incarnations(service: Service) -> dict[str, int]:
    """Return the incarnation of each worker, by the worker's name."""
    return {name: worker.incarnation for name, worker in service.cloud.workers.items()}


async def owner_refused_alone(service: Service, scenario: Scenario) -> None:
    """Refuse the owner, cancel jobs through another controller, and have the store fail for all."""
    for number in range(1, 7):
        await service.submit(
            job(number, shape="daemon" if number % 2 else "sweep", shares=1, expect_s=400.0)
        )
    await asyncio.sleep(CANCEL_S + 2 if scenario.crashes == "owner" else 6)
    owner = await wait_for_owner(service)
    if scenario.leads is not None:
        await elect(service, owner, scenario.leads)
    incarnations_before = incarnations(service)
    run = RefusedOwner(service, scenario, owner)
    run.begin_faults()
    await run.sleep_until(scenario.cancelled_at - 0.01)
    await run.cancel(1, 2)
    run.crash()
    await run.sleep_until(scenario.outage_at)
    await run.store_outage()
    service.net.heal()
    service.net.max_timer_delay_s = {}
    if scenario.refused_again:
        await run.refuse_again()
    if scenario.keeps_work:
        assert incarnations(service) == incarnations_before
        assert all(
            service.invariants.placements.get((f"req-{number:06d}", 0)) for number in (3, 4, 5, 6)
        )
    service.entry_points = [0, 1, 2]
    await asyncio.sleep(LEASE_S)
    for number in (5, 6):
        assert await service.poll(f"req-{number:06d}") in ("running", "queued")


@pytest.mark.parametrize("name", SCENARIOS)
def test_cancelled_tasks_end_in_time(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    run_scenario(
        monkeypatch,
        61,
        lambda service: owner_refused_alone(service, SCENARIOS[name]),
        machines=2,
        capacity=2,
    )


# -- cancellations are sent to peers before they are confirmed -----------------------------------


async def start_long_job(service: Service, number: int) -> int:
    """Submit a long job, wait until it runs, and return the number of its shard's owner."""
    await service.submit(job(number, shape="daemon", shares=1))
    while not service.invariants.placements.get((f"req-{number:06d}", 0)):
        await asyncio.sleep(0.2)
    return await wait_for_owner(service)


@pytest.mark.parametrize("lost", ["nothing", "full", "closed"])
def test_a_cancellation_that_could_not_be_sent_ends_the_link(
    lost: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancellation is sent in full, or the link ends and so shows that something is missing.

    The next link does not extend an interval of the earlier one.
    """

    async def scenario(service: Service) -> None:
        owner = await start_long_job(service, 1)
        await asyncio.sleep(8)
        receiver, sender = service.controllers[owner], service.controllers[(owner + 1) % 3]
        link = receiver.cancellations.watermark.links[sender.label]
        interval_count = len(link.intervals)
        writer = sender.mesh.peers[receiver.label].writer
        assert writer is not None and interval_count == 1
        service.store.refused_hosts = {f"10.0.0.{owner}"}
        synced_at = receiver.jobs.synced_at
        if lost == "full":
            # Only while the cancellation is sent; a link that stays full is closed later anyway.
            writer.transport.get_write_buffer_size = (  # type: ignore[method-assign]
                lambda: MAX_UNSENT_BYTES + 1
            )
        elif lost == "closed":
            writer.close()
        service.entry_points = [(owner + 1) % 3]
        assert await service.cancel("req-000001") == "withdrawn"
        if lost == "full":
            writer.transport.get_write_buffer_size = lambda: 0  # type: ignore[method-assign]
        await asyncio.sleep(0.05)
        assert receiver.front.is_withdrawn("req-000001")  # sent on by the third controller
        await asyncio.sleep(3)
        known_until = link.known_until(synced_at)
        if lost == "nothing":
            assert (
                len(link.intervals) == interval_count
                and known_until > service.now() - 2
                and not service.invariants.placements.get(("req-000001", 0))
            )
        else:
            assert len(link.intervals) == interval_count + 1 and known_until < service.now() - 2.5
        service.store.refused_hosts = set()
        service.entry_points = [0, 1, 2]
        await asyncio.sleep(3)
        assert (
            receiver.cancellations.watermark.known_until(receiver.jobs.synced_at, service.now())
            > service.now() - 2
        )

    run_scenario(monkeypatch, 62, scenario)


def test_with_an_earlier_cluster_version_nothing_is_sent_and_the_deadline_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        owner = await start_long_job(service, 1)
        await asyncio.sleep(CANCEL_S)
        service.store.refused_hosts = {f"10.0.0.{owner}"}
        service.entry_points = [(owner + 1) % 3]
        assert await service.cancel("req-000001") == "withdrawn"
        service.store.down = True
        await asyncio.sleep(2 * CANCEL_S)
        assert not service.controllers[owner].front.is_withdrawn("req-000001")
        assert all(
            not link.intervals
            for c in service.controllers.values()
            for link in c.cancellations.watermark.links.values()
        )
        service.store.down, service.store.refused_hosts = False, set()
        await asyncio.sleep(LEASE_S)

    monkeypatch.setattr("ashdock.cluster_version.SUPPORTED_VERSION", 3)
    run_scenario(monkeypatch, 63, scenario)


# -- delayed run command -------------------------------------------------------------------------


@pytest.mark.parametrize("delay_s", [2.0, CANCEL_S + 5])
def test_a_delayed_run_command_is_not_carried_out_after_its_job_was_cancelled(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A run command is in flight when its job is cancelled and the store fails.

    During the outage the fencing token that would refuse the command cannot be raised.
    """

    async def scenario(service: Service) -> None:
        n = await start_long_job(service, 1)
        await asyncio.sleep(CANCEL_S)
        service.cloud.held_commands = (1.0, delay_s, delay_s)
        await service.submit(job(2, shape="daemon", shares=1))
        while not any(
            machine.outstanding_runs
            for owner in service.controllers[n].owners.values()
            if owner.shard
            for machine in owner.shard.machines.values()
        ):
            await asyncio.sleep(0.01)
        spawn(service.net, "users", service.cancel("req-000002"))
        await asyncio.sleep(0.05)
        service.store.down = True
        await asyncio.sleep(2 * CANCEL_S)
        service.store.down = False
        assert await service.cancel("req-000002") == "withdrawn"
        await asyncio.sleep(LEASE_S)

    run_scenario(monkeypatch, 64, scenario)


def test_a_delayed_run_command_is_not_carried_out_after_its_task_was_placed_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kill command is answered while the writes that would raise the token are lost."""

    async def lost(_: dict[str, Any]) -> None:
        pass

    async def scenario(service: Service) -> None:
        owner = service.controllers[await start_long_job(service, 1)].owners["red"]
        shard = owner.shard
        assert shard is not None
        await service.submit(job(2, shares=1, expect_s=60.0, spans={0: 60.0}))
        delayed = shard.jobs["req-000002"]
        service.cloud.held_commands = (1.0, DELAY_S, DELAY_S)
        while not (delayed.live and shard.machines[delayed.live[0].machine].outstanding_runs):
            await asyncio.sleep(0.01)
        service.cloud.held_commands = None
        monkeypatch.setattr(service.store, "_commit_late", lost)
        machine = shard.machines[delayed.live[0].machine]
        service.store.fault_for_writes = lambda writes: (
            "late" if any(write.get("set") == f"machine/{machine.name}" for write in writes) else ""
        )
        machine.cordon("test")
        shard.preempt(delayed, [0], "test", service.now())
        owner.wake.set()
        await asyncio.sleep(DELAY_S + LEASE_S)
        service.store.fault_for_writes = None
        await asyncio.sleep(4 * LEASE_S)
        assert delayed.live[0].machine != machine.name and delayed.live[0].running_at

    run_scenario(monkeypatch, 65, scenario)


# -- cut off from the store and the peers, but not from users ------------------------------------


@pytest.mark.parametrize(
    ("store_cut", "peers_cut", "store_down", "ready"),
    [
        (True, True, False, False),
        (True, False, False, False),
        (False, True, False, True),
        (False, False, True, True),
        (False, True, True, False),
    ],
)
def test_a_controller_that_cannot_answer_users_is_not_ready(
    store_cut: bool, peers_cut: bool, store_down: bool, ready: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller that is cut off cannot answer users.

    If it reported itself ready, it would keep their connections without answering their requests.
    """

    async def scenario(service: Service) -> None:
        n = await start_long_job(service, 1)
        others = [f"10.0.0.{k}" for k in range(3) if k != n]
        service.net.partition(
            f"10.0.0.{n}", *([STORE_HOST] if store_cut else []), *(others if peers_cut else [])
        )
        service.store.down = store_down
        await asyncio.sleep(6)
        assert service.controllers[n].ready() is ready
        service.net.heal()
        service.store.down = False
        await asyncio.sleep(4)
        assert all(controller.ready() for controller in service.controllers.values())

    run_scenario(monkeypatch, 65, scenario)


def test_a_failover_that_meets_an_outage_leaves_the_workers_with_the_earlier_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A shard is claimed by another controller, which cannot load it because the store fails.

    The store has refused the owner for longer than the lease of its membership. The workers must
    keep the leases that the earlier owner renews.
    """

    async def scenario(service: Service) -> None:
        n = await start_long_job(service, 1)
        await asyncio.sleep(CANCEL_S)
        incarnations_before = incarnations(service)

        def fail_after_claim(writes: list[dict[str, object]]) -> None:
            if any(write.get("set") == "part/red" for write in writes):
                asyncio.get_running_loop().call_later(
                    0.004, lambda: setattr(service.store, "down", True)
                )

        service.store.on_transaction = fail_after_claim
        service.store.refused_hosts = {f"10.0.0.{n}"}
        while not service.store.down:
            await asyncio.sleep(0.05)
        service.store.on_transaction = None
        assert service.store.keys["part/red"][0]["owner"] != f"n{n}"
        await asyncio.sleep(MAX_WATERMARK_AGE_S + 2 * LEASE_S)
        assert incarnations(service) == incarnations_before
        service.store.down, service.store.refused_hosts = False, set()
        await asyncio.sleep(2 * LEASE_S)
        assert service.invariants.placements.get(("req-000001", 0)) and {
            worker.incarnation for worker in service.cloud.workers.values()
        } == {1}

    run_scenario(monkeypatch, 66, scenario)
