"""The shards that this controller owns, and what their owners are told of changes in the store and by peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ashdock.core.job import spec_of_record
from ashdock.core.shard import Shard
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Team
from ashdock.shard_owner import OwnershipPhase, ShardOwner
from ashdock.wire.peer_messages import OwnershipClaims, PriorityInheritance


class JobMemory(Protocol):
    """What a controller remembers of jobs, whoever owns them."""

    def observe_job(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Take in a job's record."""
        ...

    def is_final(self, job_id: str) -> bool:
        """Whether the job is known to be over."""
        ...


class ShardOwners:
    """The owners of the shards that are owned here, by team."""

    def __init__(
        self,
        *,
        label: str,
        table: dict[str, ShardOwner],
        create: Callable[[Team, int], ShardOwner],
        shards: WatchCache,
        job_memory: JobMemory,
        now: Callable[[], float],
    ) -> None:
        """Start with the owners in `table`, which is kept up to date in place.

        Args:
            label: of this controller.
            table: owners by team.
            create: starts an owner, given its team and the revision of the claim to be replaced.
            shards: the records of all shards' claims.
            job_memory: told of every change of a job.
            now: the controller's clock, in seconds since the epoch.
        """
        self.label = label
        self.table = table
        self.create = create
        self.shards = shards
        self.job_memory = job_memory
        self.now = now

    def claim(self, team: Team, revision: int) -> None:
        """Start to own a team's shard. `revision`: that of the claim to be replaced, 0 if there is none."""
        self.table[team.name] = self.create(team, revision)

    def count(self) -> int:
        """How many shards are owned here, those being claimed or read among them."""
        return len(self.table)

    def let_go(self, owner: ShardOwner) -> None:
        """Forget an owner, unless another has taken its place."""
        if self.table.get(owner.team.name) is owner:
            del self.table[owner.team.name]

    def active_shards(self) -> list[Shard]:
        """The shards owned here that have been read."""
        return [
            owner.shard
            for owner in self.table.values()
            if owner.phase is OwnershipPhase.ACTIVE and owner.shard
        ]

    def machine_changed(self, path: str, value: Any, revision: int) -> None:
        """Take in a change of `machine/<name>`; `value` is None if the record was deleted."""
        name = path.split("/", 1)[1]
        for owner in list(self.table.values()):
            if value is None:
                owner.apply(lambda shard: shard.remove_machine(name, self.now()))
            elif value["p"] == owner.team.name:
                owner.apply(lambda shard: shard.add_machine(name, value, revision, self.now()))

    def job_changes_missed(self) -> None:
        """Give up all shards, to be claimed and read again: jobs may have been accepted unnoticed."""
        for owner in list(self.table.values()):
            owner.release("changes to jobs were missed")

    def job_changed(self, path: str, value: Any, revision: int) -> None:
        """Take in a change of `job/<id>`: new, cancelled, done, or with a reason."""
        if value is None:
            return
        job_id = path.split("/", 1)[1]
        self.job_memory.observe_job(job_id, value, revision)
        team = spec_of_record(value).team
        owner = self.table.get(team)
        status = value["status"]
        if status == "withdrawn":
            self.job_cancelled(job_id, team, revision, value.get("cancelled_at", self.now()))
        elif owner is not None and status == "queued":
            owner.apply(lambda shard: self._add_job(shard, job_id, value, revision))
        if status != "queued":
            self.job_settled(job_id, status, value.get("done_at"))

    def job_cancelled(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Let the shard's owner, if it is here, stop a job that was cancelled at `at`."""
        owner = self.table.get(team)
        if owner is not None:
            owner.apply(lambda shard: shard.cancel(job_id, at, revision, self.now()))

    def job_settled(self, job_id: str, status: str, done_at: float | None) -> None:
        """Tell the owners whose jobs depend on a job that it is over."""
        for owner in list(self.table.values()):
            if owner.waits_for(job_id):
                owner.apply(
                    lambda shard: shard.dependency_tracker.settled(
                        job_id, status, done_at, self.now()
                    )
                )

    def _add_job(self, shard: Shard, job_id: str, value: Any, revision: int) -> None:
        if job_id not in shard.jobs and not self.job_memory.is_final(job_id):
            shard.status_reporter.record_arrival(shard.add_job(value, revision), self.now())

    def inherit_priorities(self, inheritance: PriorityInheritance) -> None:
        """Take in what another shard's jobs pass on to the jobs of shards here that they depend on."""
        for team, owner in self.table.items():
            if team != inheritance.shard:
                owner.apply(
                    lambda shard: shard.dependency_tracker.receive_inheritance(*inheritance)
                )

    def claims_received(self, label: str, claims: OwnershipClaims) -> None:
        """Take in claims of a peer that the store did not tell us of.

        One controller that the store refused alone went on answering the workers of a shard that had gone to
        another; that one heard none of them and gave up their machines.
        """
        for team, revision in claims.shards:
            path = f"part/{team}"
            known = self.shards.entries.get(path)
            if known is None or known.revision < revision:
                self.shards.apply_own_write(path, {"owner": label}, revision)
            ours = self.table.get(team)
            if ours is not None and ours.shard and ours.shard.revision < revision:
                ours.release(f"claimed by {label}, as it says itself")
