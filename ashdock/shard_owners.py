"""The shards owned by this controller, and the changes and messages that are passed to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ashdock.core.job import ended_at_of, spec_of_record
from ashdock.core.shard import Shard
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Team
from ashdock.shard_owner import OwnershipPhase, ShardOwner
from ashdock.wire.peer_messages import OwnershipClaims, PriorityInheritance


class KnownJobs(Protocol):
    """What this controller knows of the jobs of all shards."""

    def observe_job(self, job_id: str, value: dict[str, Any], revision: int) -> None:
        """Store the record of a job as of a revision."""
        ...

    def is_final(self, job_id: str) -> bool:
        """Whether the job is known to have ended."""
        ...


class ShardOwners:
    """The owners of the shards that this controller owns, or is claiming, by team."""

    def __init__(
        self,
        *,
        label: str,
        by_team: dict[str, ShardOwner],
        create: Callable[[Team, int], ShardOwner],
        shards: WatchCache,
        known_jobs: KnownJobs,
        now: Callable[[], float],
    ) -> None:
        """Start with the owners in `by_team`, which is kept up to date in place.

        Args:
            label: Label of this controller.
            by_team: Owners by name of the team.
            create: Starts an owner, given its team and the revision of the claim that it replaces.
            shards: Claims of all shards.
            known_jobs: Receives every change of a job record.
            now: Current time, in seconds since the epoch.
        """
        self.label = label
        self.by_team = by_team
        self.create = create
        self.shards = shards
        self.known_jobs = known_jobs
        self.now = now

    def claim(self, team: Team, revision: int) -> None:
        """Start to claim a team's shard.

        Args:
            team: The team.
            revision: Revision of the claim to replace; 0 if there is none.
        """
        self.by_team[team.name] = self.create(team, revision)

    def count(self) -> int:
        """Return the number of shards owned here, including those being claimed or loaded."""
        return len(self.by_team)

    def forget_owner(self, owner: ShardOwner) -> None:
        """Remove an owner, unless another one has replaced it."""
        if self.by_team.get(owner.team.name) is owner:
            del self.by_team[owner.team.name]

    def active_shards(self) -> list[Shard]:
        """Return the shards owned here that have been loaded."""
        return [
            owner.shard
            for owner in self.by_team.values()
            if owner.phase is OwnershipPhase.ACTIVE and owner.shard
        ]

    def machine_changed(self, path: str, value: Any, revision: int) -> None:
        """Handle a change of `machine/<name>`; `value` is None if the record was deleted."""
        name = path.split("/", 1)[1]
        for owner in list(self.by_team.values()):
            if value is None:
                owner.apply(lambda shard: shard.remove_machine(name, self.now()))
            elif value["p"] == owner.team.name:
                owner.apply(lambda shard: shard.add_machine(name, value, revision, self.now()))

    def job_changes_missed(self) -> None:
        """Release all shards, since jobs may have been accepted unnoticed.

        They are then claimed and loaded again.
        """
        for owner in list(self.by_team.values()):
            owner.release("changes of job records were missed")

    def job_changed(self, path: str, value: Any, revision: int) -> None:
        """Handle a change of `job/<id>`: accepted, cancelled, done, or with a new reason."""
        if value is None:
            return
        job_id = path.split("/", 1)[1]
        self.known_jobs.observe_job(job_id, value, revision)
        team = spec_of_record(value).team
        owner = self.by_team.get(team)
        status = value["status"]
        if status == "withdrawn":
            self.job_cancelled(job_id, team, revision, value.get("cancelled_at", self.now()))
        elif owner is not None and status == "queued":
            owner.apply(lambda shard: self._add_job(shard, job_id, value, revision))
        if status != "queued":
            self.job_settled(job_id, status, ended_at_of(value))

    def job_cancelled(self, job_id: str, team: str, revision: int, at: float) -> None:
        """Stop a job whose cancellation was recorded, if its shard is owned here.

        Args:
            job_id: Id of the job.
            team: Name of its team.
            revision: Revision of the job record.
            at: Time of the cancellation, in seconds since the epoch.
        """
        owner = self.by_team.get(team)
        if owner is not None:
            owner.apply(lambda shard: shard.cancel(job_id, at, revision, self.now()))

    def job_settled(self, job_id: str, status: str, ended_at: float | None) -> None:
        """Pass the final status of a job to the owners whose jobs may depend on it.

        Args:
            job_id: Id of the job.
            status: Its final status.
            ended_at: When it was done or cancelled, in seconds since the epoch; None: not known.
        """
        for owner in list(self.by_team.values()):
            if owner.may_depend_on(job_id):
                owner.apply(
                    lambda shard: shard.dependency_tracker.settled(
                        job_id, status, ended_at, self.now()
                    )
                )

    def _add_job(self, shard: Shard, job_id: str, value: Any, revision: int) -> None:
        if job_id not in shard.jobs and not self.known_jobs.is_final(job_id):
            shard.status_reporter.record_arrival(shard.add_job(value, revision), self.now())

    def inherit_priorities(self, inheritance: PriorityInheritance) -> None:
        """Apply the priorities that jobs here inherit from their dependents in another shard."""
        for team, owner in self.by_team.items():
            if team != inheritance.shard:
                owner.apply(
                    lambda shard: shard.dependency_tracker.receive_inheritance(*inheritance)
                )

    def claims_received(self, label: str, claims: OwnershipClaims) -> None:
        """Handle the claims that a peer reports, which this controller's watch may have missed.

        Without this, a controller whose requests alone the store refused kept answering the workers
        of a shard that another controller had claimed. The new owner got no heartbeats from them
        and gave up their machines.
        """
        for team, revision in claims.shards:
            path = f"part/{team}"
            known = self.shards.entries.get(path)
            if known is None or known.revision < revision:
                self.shards.apply_own_write(path, {"owner": label}, revision)
            owner = self.by_team.get(team)
            if owner is not None and owner.shard and owner.shard.revision < revision:
                owner.release(f"claimed by {label} according to its own report")
