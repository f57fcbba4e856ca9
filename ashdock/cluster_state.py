"""The state of the cluster as recorded in the store: watch caches and look-ups in them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ashdock.net.store import StoreClient
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Team, Workers

UNKNOWN_TOKEN = 1 << 64  # higher than any fencing token that a worker can report
# Job watch requests that fit into the part of `cancel_s` that remains after a worker lease.
JOB_WATCHES_PER_CANCELLATION = 8


class ClusterState:
    """Watch caches of machines, shards, members, leadership and jobs.

    They lag behind the store by a few milliseconds, or by the length of an outage.

    Attributes:
        teams: The teams of the deployment; each has one shard.
        machines: Records of the machines, each with the team whose shard it is assigned to.
        shards: Claims of the shards, each with the label of its owner.
        members: Records of the controllers that are members.
        leaders: The leadership key.
        jobs: Changes of job records; the records themselves are not kept.
    """

    def __init__(self, store: StoreClient, workers: Workers, teams: Iterable[Team]) -> None:
        """Create the caches; each is filled once its `run` is started.

        Args:
            store: Client of the store that is watched.
            workers: Settings that bound how long a cancellation may take.
            teams: The teams of the deployment.
        """
        self.teams = list(teams)
        self.machines = WatchCache(store, "machine/")
        self.shards = WatchCache(store, "part/")
        self.members = WatchCache(store, "member/")
        self.leaders = WatchCache(store, "leader")
        # Each answered watch request confirms that all changes up to its start are known. Watch
        # requests for jobs are short, so that this was confirmed shortly before an outage begins.
        self.jobs = WatchCache(
            store,
            "job/",
            keep_entries=False,
            wait_ms=int(1000 * (workers.cancel_s - workers.lease_s) / JOB_WATCHES_PER_CANCELLATION),
        )

    @property
    def caches(self) -> tuple[WatchCache, ...]:
        """All caches, in the order in which they are started."""
        return (self.machines, self.shards, self.members, self.leaders, self.jobs)

    def owner_label(self, team: str) -> str | None:
        """Label of the controller that owns a team's shard; None if no claim is known."""
        entry = self.shards.entries.get(f"part/{team}")
        return entry.value["owner"] if entry else None

    def leader_label(self) -> str | None:
        """Label of the leader; None if there is none."""
        entry = self.leaders.entries.get("leader")
        return entry.value["label"] if entry else None

    def token_of(self, machine: str) -> int:
        """Lowest fencing token of a machine's owner, as far as known.

        `UNKNOWN_TOKEN` without the machine's record or the claim of its shard.
        """
        entry = self.machines.entries.get(f"machine/{machine}")
        shard = self.shards.entries.get(f"part/{entry.value['p']}") if entry else None
        return max(entry.revision, shard.revision) if entry and shard else UNKNOWN_TOKEN

    def load(self) -> dict[str, int]:
        """Load of each controller, by its label: one per shard and one per machine of its shards.

        Shards without a known owner are counted under the empty label.
        """
        machine_counts = Counter(entry.value["p"] for entry in self.machines.entries.values())
        load: Counter[str] = Counter()
        for team in self.teams:
            load[self.owner_label(team.name) or ""] += machine_counts[team.name] + 1
        return load
