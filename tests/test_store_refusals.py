"""The store refuses one controller alone, another confirms cancellations to users, then the store is down for all.

The outage is longer than `cancel_s`, while workers go on reporting to the refused controller
(docs/incidents/refused-alone.md).
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from ashdock.cancellation.watermark import CancellationWatermark
from ashdock.net.mesh import MAX_UNSENT_BYTES
from tests.simtime import spawn
from tests.standins import STATE
from tests.test_restarts import owned
from tests.test_whole import play
from tests.whole import Service, job, shared

CANCEL_S, LEASE_S, TTL_S = 20.0, 6.0, 1.0
BOUND_S = CANCEL_S - LEASE_S


# -- up to when cancellations are known ------------------------------------------------------------------

PEERS = ("n1", "n2")


class LinkEvent(NamedTuple):
    """The number sent at `sent_at` is back at `at`, from `label`; None: the peer has made a new link."""

    label: str
    at: float
    sent_at: float | None


def echoes(label: str, *times: float) -> list[LinkEvent]:
    """Echoes on one link, each of a number sent a second before."""
    return [LinkEvent(label, at, at - 1) for at in times]


def new_link(label: str, at: float) -> list[LinkEvent]:
    """The peer makes a new link."""
    return [LinkEvent(label, at, None)]


KNOWN: list[tuple[str, float, list[LinkEvent], float]] = [
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


@pytest.mark.parametrize(("description", "base", "events", "known"), KNOWN)
def test_known_until(description: str, base: float, events: list[LinkEvent], known: float) -> None:
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
    assert watermark.known_until(base, 51.0) == known
    bound = BOUND_S - 0.002 * CANCEL_S
    assert watermark.may_renew(base, known + bound - 0.001) and not watermark.may_renew(
        base, known + bound
    )


@pytest.mark.parametrize("number", [0, 1, (1 << 40) + 9, 1 << 63])
def test_a_number_that_was_not_sent_proves_nothing(number: int) -> None:
    watermark = CancellationWatermark(shared().workers, PEERS, 1 << 40)
    watermark.next_number(10.0)
    for label in (*PEERS, "n9"):
        watermark.echo_received(label, number, 11.0)
        watermark.echo_received(label, number, 40.0)
    assert watermark.known_until(10.0, 41.0) == 10.0
    assert (
        CancellationWatermark(shared().workers, (), 0).known_until(10.0, 41.0) == 41.0
    )  # alone, only we confirm


def test_old_numbers_are_forgotten() -> None:
    watermark = CancellationWatermark(shared().workers, PEERS, 0)
    for second in range(1000):
        watermark.next_number(float(second))
    assert len(watermark.sent_at) <= CANCEL_S + 2


# -- a cluster ---------------------------------------------------------------------------


class Scenario(NamedTuple):
    """What happens, and when: times in seconds from when the owner is refused."""

    confirmed: float = 0.3  # when users cancel, through another controller
    outage: float = 0.5
    outage_s: float = 28.0
    refused_s: float = 100.0  # at most: the end of the outage ends the refusal as well
    leads: bool | None = None  # whether the owner leads as well; None: as it comes
    crashes: str = ""  # who crashes right after the cancellations: "confirmer" or "owner"
    back_s: float = 0.1
    cut_peers: str = ""  # whose links to the owner are cut: "confirmer", "third" or "both"
    workers_cut_at: float | None = None  # when workers can't reach the owner any more
    answer_lost: bool = False  # of the cancellation's transaction: a second try finds it applied
    refused_again: bool = False  # once more after the outage, and others are cancelled
    in_turn: bool = False  # each of the three is refused, for less than a member's lease
    max_timer_delay_s: float = 0.0  # of the owner's timers, from the refusal on
    keeps_work: bool = False  # whether what was not cancelled must have gone on untouched


SCENARIOS = {
    "the incident": Scenario(keeps_work=True),
    "leads too": Scenario(leads=True, keeps_work=True),
    "does not lead": Scenario(leads=False, keeps_work=True),
    "outage 0.2 s after": Scenario(outage=0.5, keeps_work=True),
    "outage at once": Scenario(outage=0.31, keeps_work=True),
    "no refusal, outage as it is confirmed": Scenario(refused_s=0.0, outage=0.301, keeps_work=True),
    "refused 1 s": Scenario(confirmed=0.6, outage=0.9, refused_s=1.0, keeps_work=True),
    "refused a lease": Scenario(confirmed=2.0, outage=LEASE_S),
    "refused just under the bound": Scenario(confirmed=3.0, outage=BOUND_S - 0.5),
    "refused just over the bound": Scenario(confirmed=3.0, outage=BOUND_S + 0.5),
    "refused cancel_s": Scenario(confirmed=10.0, outage=CANCEL_S),
    "the confirmer crashes": Scenario(crashes="confirmer", outage=0.35),
    "the confirmer crashes for long": Scenario(crashes="confirmer", back_s=20.0, outage=0.35),
    "the owner crashes": Scenario(crashes="owner", outage=0.35),
    "the third cut off": Scenario(cut_peers="third"),
    "the confirmer cut off": Scenario(cut_peers="confirmer"),
    "both peers cut off": Scenario(cut_peers="both"),
    "workers change controller": Scenario(workers_cut_at=2.0),
    "workers and confirmer gone": Scenario(workers_cut_at=2.0, cut_peers="confirmer"),
    "cancelled by a transaction that was not answered": Scenario(answer_lost=True, outage=3.0),
    "refused again after the outage": Scenario(refused_again=True),
    "three in turn": Scenario(in_turn=True, outage=2.5),
    "the owner's timers are late by up to a second": Scenario(max_timer_delay_s=1.0),
    "the owner's timers are late by up to five seconds": Scenario(max_timer_delay_s=5.0),
    "refused cancel_s, late by up to five seconds": Scenario(
        confirmed=10.0, outage=CANCEL_S, max_timer_delay_s=5.0
    ),
    "both peers cut off, late by up to five seconds": Scenario(
        cut_peers="both", max_timer_delay_s=5.0
    ),
    "an outage under the bound": Scenario(outage_s=BOUND_S - 2, keeps_work=True),
}


class RefusedOwner:
    """One run of a scenario: which controller plays which role, and what happens to them."""

    def __init__(self, service: Service, scenario: Scenario, owner: int) -> None:
        """`owner`: the controller that is refused; the other two are the confirmer and the third."""
        self.service = service
        self.scenario = scenario
        self.owner = owner
        self.confirmer = (owner + 1) % 3
        self.third = (owner + 2) % 3
        self.hosts = [f"10.0.0.{n}" for n in range(3)]
        self.began = service.now()

    async def sleep_until(self, second: float) -> None:
        """Wait for a time in seconds from the refusal."""
        await asyncio.sleep(max(self.began + second - self.service.now(), 0.0))

    async def refuse(self) -> None:
        """The store refuses the owner, or each of the three in turn."""
        scenario, state = self.scenario, self.service.state
        refused = (self.owner, self.confirmer, self.third) if scenario.in_turn else (self.owner,)
        for n in refused:
            state.refusing = {self.hosts[n]} if scenario.refused_s else set()
            await asyncio.sleep(0.8 if scenario.in_turn else scenario.refused_s)
        state.refusing = set()

    async def cut_workers(self) -> None:
        """The workers can't reach the owner any more."""
        if self.scenario.workers_cut_at is not None:
            await self.sleep_until(self.scenario.workers_cut_at)
            workers = self.service.world.workers.values()
            self.service.net.cut(self.hosts[self.owner], *(worker.host for worker in workers))

    def begin_faults(self) -> None:
        """What goes wrong from the refusal on."""
        service, scenario = self.service, self.scenario
        owner_host = self.hosts[self.owner]
        if scenario.max_timer_delay_s:
            service.net.late = {owner_host: scenario.max_timer_delay_s}
        spawn(service.net, "users", self.refuse())
        spawn(service.net, "users", self.cut_workers())
        for n, who in ((self.confirmer, "confirmer"), (self.third, "third")):
            if scenario.cut_peers in (who, "both"):
                service.net.cut(owner_host, self.hosts[n])

    async def cancel(self, *numbers: int) -> None:
        """Users cancel these jobs through the confirmer."""
        service = self.service
        service.doors = [self.confirmer]
        if self.scenario.answer_lost:
            service.state.lose_answers = 1.0
            asyncio.get_running_loop().call_later(
                0.5, lambda: setattr(service.state, "lose_answers", 0.0)
            )
        statuses = await asyncio.gather(
            *(service.withdraw(f"req-{number:06d}") for number in numbers)
        )
        assert set(statuses) == {"withdrawn"}

    def crash(self) -> None:
        """Whoever is to crash after the cancellations does."""
        if self.scenario.crashes:
            crashing = self.confirmer if self.scenario.crashes == "confirmer" else self.owner
            self.service.crash(crashing, self.scenario.back_s)

    async def store_outage(self) -> None:
        """The store is down for all."""
        state = self.service.state
        state.down = True
        await asyncio.sleep(self.scenario.outage_s)
        state.down, state.refusing = False, set()

    async def refuse_again(self) -> None:
        """Whoever is the owner by now is refused, others are cancelled, and the store is down once more."""
        await asyncio.sleep(8)
        self.service.state.refusing = {self.hosts[await owned(self.service)]}
        await self.cancel(3, 4)
        await self.store_outage()


async def elect(service: Service, owner: int, leads: bool) -> None:
    """Have the owner lead, or another controller."""
    for controller in service.controllers.values():
        controller.elector.allowed = [f"n{owner if leads else (owner + 1) % 3}"]
    await asyncio.sleep(3 * LEASE_S)
    assert (service.controllers[owner].leader is not None) is leads


def incarnations(service: Service) -> dict[str, int]:
    """Of each worker's agent."""
    return {name: worker.tenure for name, worker in service.world.workers.items()}


async def owner_refused_alone(service: Service, scenario: Scenario) -> None:
    """The owner is refused, jobs are cancelled through another controller, and the store is down for all."""
    for number in range(1, 7):
        await service.submit(
            job(number, shape="daemon" if number % 2 else "sweep", shares=1, expect_s=400.0)
        )
    await asyncio.sleep(CANCEL_S + 2 if scenario.crashes == "owner" else 6)
    owner = await owned(service)
    if scenario.leads is not None:
        await elect(service, owner, scenario.leads)
    before = incarnations(service)
    run = RefusedOwner(service, scenario, owner)
    run.begin_faults()
    await run.sleep_until(scenario.confirmed - 0.01)
    await run.cancel(1, 2)
    run.crash()
    await run.sleep_until(scenario.outage)
    await run.store_outage()
    service.net.heal()
    service.net.late = {}
    if scenario.refused_again:
        await run.refuse_again()
    if scenario.keeps_work:
        assert incarnations(service) == before
        assert all(service.rules.on.get((f"req-{number:06d}", 0)) for number in (3, 4, 5, 6))
    service.doors = [0, 1, 2]
    await asyncio.sleep(LEASE_S)
    for number in (5, 6):
        assert await service.poll(f"req-{number:06d}") in ("running", "queued")


@pytest.mark.parametrize("name", SCENARIOS)
def test_cancelled_tasks_are_gone_in_time(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    play(
        monkeypatch,
        61,
        lambda service: owner_refused_alone(service, SCENARIOS[name]),
        machines=2,
        capacity=2,
    )


# -- sent before it is answered, and over the same link ------------------------------------------------------------


async def running(service: Service, number: int) -> int:
    """A long job runs; its owner."""
    await service.submit(job(number, shape="daemon", shares=1))
    while not service.rules.on.get((f"req-{number:06d}", 0)):
        await asyncio.sleep(0.2)
    return await owned(service)


@pytest.mark.parametrize("lost", ["nothing", "full", "closed"])
def test_a_cancellation_that_could_not_be_sent_ends_the_link(
    lost: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Sent in full, or the link's end shows that something is missing: the next link extends nothing from before."""

    async def scenario(service: Service) -> None:
        owner = await running(service, 1)
        await asyncio.sleep(8)
        receiver, sender = service.controllers[owner], service.controllers[(owner + 1) % 3]
        link = receiver.cancellations.watermark.links[sender.label]
        intervals = len(link.intervals)
        writer = sender.mesh.peers[receiver.label].writer
        assert writer is not None and intervals == 1
        service.state.refusing = {f"10.0.0.{owner}"}
        known = receiver.jobs.synced_at
        if lost == "full":
            # For this moment only: a link that stays full is given up all the same, later.
            writer.transport.get_write_buffer_size = lambda: MAX_UNSENT_BYTES + 1  # type: ignore[method-assign]
        elif lost == "closed":
            writer.close()
        service.doors = [(owner + 1) % 3]
        assert await service.withdraw("req-000001") == "withdrawn"
        if lost == "full":
            writer.transport.get_write_buffer_size = lambda: 0  # type: ignore[method-assign]
        await asyncio.sleep(0.05)
        assert receiver.front.is_withdrawn("req-000001")  # the third sends it on
        await asyncio.sleep(3)
        until = link.known_until(known)
        if lost == "nothing":
            assert (
                len(link.intervals) == intervals
                and until > service.now() - 2
                and not service.rules.on.get(("req-000001", 0))
            )
        else:
            assert len(link.intervals) == intervals + 1 and until < service.now() - 2.5
        service.state.refusing = set()
        service.doors = [0, 1, 2]
        await asyncio.sleep(3)
        assert (
            receiver.cancellations.watermark.known_until(receiver.jobs.synced_at, service.now())
            > service.now() - 2
        )

    play(monkeypatch, 62, scenario)


def test_beside_an_earlier_version_nothing_is_sent_and_the_bound_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(service: Service) -> None:
        owner = await running(service, 1)
        await asyncio.sleep(CANCEL_S)
        service.state.refusing = {f"10.0.0.{owner}"}
        service.doors = [(owner + 1) % 3]
        assert await service.withdraw("req-000001") == "withdrawn"
        service.state.down = True
        await asyncio.sleep(2 * CANCEL_S)
        assert not service.controllers[owner].front.is_withdrawn("req-000001")
        assert all(
            not link.intervals
            for c in service.controllers.values()
            for link in c.cancellations.watermark.links.values()
        )
        service.state.down, service.state.refusing = False, set()
        await asyncio.sleep(LEASE_S)

    monkeypatch.setattr("ashdock.cluster_version.SUPPORTED_VERSION", 3)
    play(monkeypatch, 63, scenario)


# -- a start that is delayed for longer than its job may run -----------------------------------------------------------


@pytest.mark.parametrize("delay_s", [2.0, CANCEL_S + 5])
def test_a_delayed_start_is_not_carried_out_after_its_job_was_cancelled(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is on its way, its job is cancelled, and in the outage that follows the fencing token that would refuse it can't be raised."""

    async def scenario(service: Service) -> None:
        n = await running(service, 1)
        await asyncio.sleep(CANCEL_S)
        service.world.held_orders = (1.0, delay_s, delay_s)
        await service.submit(job(2, shape="daemon", shares=1))
        while not any(
            machine.outstanding_runs
            for owner in service.controllers[n].owners.values()
            if owner.shard
            for machine in owner.shard.machines.values()
        ):
            await asyncio.sleep(0.01)
        spawn(service.net, "users", service.withdraw("req-000002"))
        await asyncio.sleep(0.05)
        service.state.down = True
        await asyncio.sleep(2 * CANCEL_S)
        service.state.down = False
        assert await service.withdraw("req-000002") == "withdrawn"
        await asyncio.sleep(LEASE_S)

    play(monkeypatch, 64, scenario)


# -- cut off from the store and the peers, not from its users ----------------------------------------------------


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
    """Were it ready, it would keep its users' connections, and answer none of their questions while it is cut off."""

    async def scenario(service: Service) -> None:
        n = await running(service, 1)
        others = [f"10.0.0.{k}" for k in range(3) if k != n]
        service.net.cut(
            f"10.0.0.{n}", *([STATE] if store_cut else []), *(others if peers_cut else [])
        )
        service.state.down = store_down
        await asyncio.sleep(6)
        assert service.controllers[n].ready() is ready
        service.net.heal()
        service.state.down = False
        await asyncio.sleep(4)
        assert all(controller.ready() for controller in service.controllers.values())

    play(monkeypatch, 65, scenario)


def test_a_failover_that_meets_an_outage_leaves_the_workers_with_the_earlier_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner is refused for longer than its membership lasts; another claims the shard, and can't read it any more."""

    async def scenario(service: Service) -> None:
        n = await running(service, 1)
        await asyncio.sleep(CANCEL_S)
        before = incarnations(service)

        def claimed(writes: list[dict[str, object]]) -> None:
            if any(write.get("set") == "part/red" for write in writes):
                asyncio.get_running_loop().call_later(
                    0.004, lambda: setattr(service.state, "down", True)
                )

        service.state.hook = claimed
        service.state.refusing = {f"10.0.0.{n}"}
        while not service.state.down:
            await asyncio.sleep(0.05)
        service.state.hook = None
        assert service.state.keys["part/red"][0]["owner"] != f"n{n}"
        await asyncio.sleep(BOUND_S + 2 * LEASE_S)
        assert incarnations(service) == before
        service.state.down, service.state.refusing = False, set()
        await asyncio.sleep(2 * LEASE_S)
        assert service.rules.on.get(("req-000001", 0)) and {
            worker.tenure for worker in service.world.workers.values()
        } == {1}

    play(monkeypatch, 66, scenario)
