"""The cluster as the store describes it: watch caches of the shared keys, and look-ups in them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ashdock.net.store import StoreClient
from ashdock.net.watch_cache import WatchCache
from ashdock.settings import Team, Workers

NO_TOKEN = 1 << 64  # larger than any fencing token, so that no worker's token reaches it
JOB_WATCHES_PER_CANCELLATION = 8  # watch requests that fit into the time a cancellation may take


class ClusterState:
    """Watch caches of machines, shards, members, leadership and jobs.

    Behind the store by a few milliseconds, or by an outage.
    """

    def __init__(self, store: StoreClient, workers: Workers, teams: Iterable[Team]) -> None:
        """Build the caches; each is filled once its `run` is started."""
        self.teams = list(teams)
        self.machines = WatchCache(store, "machine/")
        self.shards = WatchCache(store, "part/")
        self.members = WatchCache(store, "member/")
        self.leaders = WatchCache(store, "leader")
        # Watches of jobs are short, so that at the beginning of an outage the jobs' state of a moment before is known.
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
        """Label of the controller that owns a team's shard; None if no record names one."""
        entry = self.shards.entries.get(f"part/{team}")
        return entry.value["owner"] if entry else None

    def leader_label(self) -> str | None:
        """Label of the controller that leads; None if there is no leader."""
        entry = self.leaders.entries.get("leader")
        return entry.value["label"] if entry else None

    def token_of(self, machine: str) -> int:
        """The fencing token of a machine's owner, as far as this controller knows; `NO_TOKEN` if unknown."""
        entry = self.machines.entries.get(f"machine/{machine}")
        shard = self.shards.entries.get(f"part/{entry.value['p']}") if entry else None
        return max(entry.revision, shard.revision) if entry and shard else NO_TOKEN

    def load(self) -> dict[str, int]:
        """Machines held by the shards of each controller, by its label; each shard counts as one more."""
        machines = Counter(entry.value["p"] for entry in self.machines.entries.values())
        load: Counter[str] = Counter()
        for team in self.teams:
            load[self.owner_label(team.name) or ""] += machines[team.name] + 1
        return load
