"""Checks the invariants of the protocol on what the fakes observe and what users are told.

A violation is recorded under the name of its invariant, and the run goes on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MAX_UNANSWERED_S = 75.0  # without an answered status request for a job, after the last fault
MAX_STARTABLE_WAIT_S = 90.0  # of a job beside free resources that fit, within its team's limit
MAX_START_DELAY_S = 240.0  # from acceptance to the start of all tasks, also of the largest jobs
UNFENCED_PREFIXES = ("catalog",)  # the value is the same whichever controller writes it
MIN_SERVED_SHARE = 0.5  # of the jobs of a class, of a team, or of the largest jobs of a class


@dataclass
class Placement:
    """A machine that an attempt of a task runs on."""

    machine: str
    type: str
    zone: str
    spot: bool
    attempt: int


class FreeMachine(NamedTuple):
    """A machine that could run more tasks, and its free resources."""

    place: Placement
    cpus: float
    accelerators: float
    ram_gb: float


def count_fitting_tasks(run: dict[str, Any], free_machine: FreeMachine) -> int:
    """Return how many tasks of a job fit into the free resources of a machine."""
    requests = (
        (run["cpus"], free_machine.cpus),
        (run["accelerators"], free_machine.accelerators),
        (run["ram_gb"], free_machine.ram_gb),
    )
    return min(int(free / request + 1e-6) for request, free in requests if request > 0)


@dataclass
class InvariantChecker:
    """Records what happens to jobs and which invariants were violated.

    Times are in seconds of virtual time. A task is a job with the number of the task.
    """

    cancel_s: float  # tasks of a job end so long after its cancellation is confirmed
    gpu_limits: dict[str, float]  # by team
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # as submitted
    placements: dict[tuple[str, int], list[Placement]] = field(default_factory=dict)  # by task
    used_gpus: dict[str, float] = field(default_factory=dict)  # by team
    done_tasks: set[tuple[str, int]] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    final_states: dict[str, str] = field(default_factory=dict)  # that users were told, by job
    final_state_at: dict[str, float] = field(default_factory=dict)  # when a user was first told
    # When a user was first told that the job is known.
    acknowledged_at: dict[str, float] = field(default_factory=dict)
    # Jobs with a task that started after a confirmed cancellation, and how long after it.
    starts_after_cancellation: list[tuple[str, float]] = field(default_factory=list)
    # When the last task of a job had started at least once.
    all_started_at: dict[str, float] = field(default_factory=dict)
    started_tasks: dict[str, set[int]] = field(default_factory=dict)  # by job
    # Since when a job has waited beside free resources that fit.
    startable_since: dict[str, float] = field(default_factory=dict)
    # Returns the machines that could run tasks now. Without it, waiting jobs are not checked.
    free_machines: Callable[[], Iterable[FreeMachine]] | None = None
    on_job_done: Callable[[str], None] | None = None  # called when all tasks of a job are done
    cancel_requested: set[str] = field(default_factory=set)
    cancel_confirmed_at: dict[str, float] = field(default_factory=dict)
    accepted_at: dict[str, float] = field(default_factory=dict)
    faults_over_at: float | None = None  # when the last fault ended
    # When a status request for a job was last answered.
    last_answer_at: dict[str, float] = field(default_factory=dict)
    start_count: int = 0
    invalid_jobs: set[str] = field(default_factory=set)  # submissions that must not be stored
    # An ashdock.fairness.slo_attainment.SloAttainment, where that is measured.
    slo_attainment: Any = None
    violations: list[tuple[str, str]] = field(default_factory=list)  # (invariant, details)

    def _record_violation(self, invariant: str, details: str) -> None:
        self.violations.append((invariant, details))

    def submitted(self, run: dict[str, Any]) -> None:
        """Record a submission before it is sent."""
        self.jobs[run["id"]] = run

    def task_started(self, job: str, task: int, place: Placement, now: float) -> None:
        """Record that a task has its image and holds resources of a machine from now on."""
        self.start_count += 1
        if self.slo_attainment is not None:
            self.slo_attainment.record_started(job, 1, now)
        run = self.jobs.get(job)
        if run is None:
            return
        if self.placements.get((job, task)):
            self._record_violation(
                "ran_twice",
                f"{job}/{task} on {place.machine} and {self.placements[job, task][0].machine}",
            )
        others = [
            p
            for number in self._tasks_with_related_places(run)
            for p in self.placements.get((job, number), ())
        ]
        if run.get("hulls") is not None and place.type not in run["hulls"]:
            self._record_violation("wrong_place", f"{job}/{task}: type {place.type}")
        if run.get("yard") is not None and place.zone != run["yard"]:
            self._record_violation("wrong_place", f"{job}/{task}: zone {place.zone}")
        if place.spot and not run["loaners"]:
            self._record_violation("wrong_place", f"{job}/{task}: spot")
        if run["same_place"] and any(other.zone != place.zone for other in others):
            self._record_violation("wrong_place", f"{job}/{task}: not with the others")
        tasks_in_zone = sum(1 for other in others if other.zone == place.zone) + 1
        if run["spread"] and tasks_in_zone > (run["shares"] + 1) // 2:
            self._record_violation("wrong_place", f"{job}/{task}: too many in {place.zone}")
        self.placements.setdefault((job, task), []).append(place)
        used = self.used_gpus[run["owner"]] = (
            self.used_gpus.get(run["owner"], 0.0) + run["accelerators"]
        )
        if used > self.gpu_limits[run["owner"]] + 1e-6:
            self._record_violation("quota", f"{run['owner']} uses {used}")
        if job in self.cancel_confirmed_at:
            self.starts_after_cancellation.append((job, now - self.cancel_confirmed_at[job]))
            if now > self.cancel_confirmed_at[job] + self.cancel_s:
                self._record_violation("ran_cancelled", f"{job}/{task} starts")
        started = self.started_tasks.setdefault(job, set())
        started.add(task)
        if len(started) == run["shares"]:
            self.all_started_at.setdefault(job, now)
        for dependency in run.get("awaits") or ():
            if any(
                (dependency, other) not in self.done_tasks
                for other in range(self.jobs[dependency]["shares"])
            ):
                self._record_violation(
                    "too_early", f"{job}/{task} starts before {dependency} is done"
                )

    @staticmethod
    def _tasks_with_related_places(run: dict[str, Any]) -> range:
        """Return the tasks whose zones restrict the zone of another task of the job."""
        return range(run["shares"] if run["same_place"] or run["spread"] else 0)

    def task_left(self, job: str, task: int, machine: str, done: bool = False) -> None:
        """Record that a task no longer holds resources of a machine."""
        places = self.placements.pop((job, task), [])
        remaining = [place for place in places if place.machine != machine]
        if remaining:
            self.placements[job, task] = remaining
        if job in self.jobs:
            run = self.jobs[job]
            self.used_gpus[run["owner"]] = self.used_gpus.get(run["owner"], 0.0) - run[
                "accelerators"
            ] * (len(places) - len(remaining))
        if done and (job, task) not in self.done_tasks:
            self.done_tasks.add((job, task))
            if self.on_job_done is not None and job in self.jobs and self._is_done(job):
                self.on_job_done(job)

    def _is_done(self, job: str) -> bool:
        return all((job, task) in self.done_tasks for task in range(self.jobs[job]["shares"]))

    def tick(self, now: float) -> None:
        """Check the invariants that time alone can violate."""
        for job, confirmed_at in self.cancel_confirmed_at.items():
            if now > confirmed_at + self.cancel_s and any(
                places for (j, _), places in self.placements.items() if j == job
            ):
                self._record_violation("ran_cancelled", f"{job} still runs")
        if self.free_machines is not None and self.faults_over_at is not None:
            self._check_startable_jobs(now)

    # -- preconditions of transactions -------------------------------------------------------------

    def transaction_applied(self, compared: set[str], writes: list[dict[str, Any]]) -> None:
        """Check that an applied transaction compares the revisions that its writes depend on.

        These are the written keys, or a late transaction would undo newer writes, and the keys of
        whoever may write them, or a controller that was replaced would go on writing.

        Args:
            compared: Paths whose revisions the transaction compares.
            writes: Its writes, as they are sent.
        """
        for write in writes:
            path = write.get("set") or write["delete"]
            root, *rest = path.split("/")
            required = [] if root in UNFENCED_PREFIXES else [path]
            if root == "work" and rest[-1] == "job" and path not in compared:
                # The two are always written together, so their revisions agree.
                required = [f"job/{rest[1]}"]
            if root == "park" or (root == "work" and rest[-1] != "job"):
                required.append(f"part/{rest[0]}")
            if root == "work" and rest[-1] != "job" and "set" in write:
                required.append(f"job/{rest[1]}")
            if root == "charter":
                required.append("leader")
            if root == "machine" and not any(
                key == "leader" or key.startswith("part/") for key in compared
            ):
                required.append("leader or a part")
            for key in required:
                if key not in compared:
                    self._record_violation("unfenced", f"{path} is written without comparing {key}")

    # -- jobs that wait beside free resources ------------------------------------------------------

    def _check_startable_jobs(self, now: float) -> None:
        machines = list(self.free_machines()) if self.free_machines else []
        for job in self.accepted:
            if (
                job in self.final_states
                or job in self.cancel_requested
                or not self._could_start(self.jobs[job], machines)
            ):
                self.startable_since.pop(job, None)
            elif now - self.startable_since.setdefault(job, now) > MAX_STARTABLE_WAIT_S:
                self._record_violation(
                    "idle",
                    f"{job} has waited {MAX_STARTABLE_WAIT_S:g} s although free resources fit",
                )
                self.startable_since[job] = now

    def _could_start(self, run: dict[str, Any], machines: list[FreeMachine]) -> bool:
        """Return whether a task of a job, or a gang as a whole, waits and would fit."""
        job = run["id"]
        if any(
            (dependency, task) not in self.done_tasks
            for dependency in run.get("awaits") or ()
            for task in range(self.jobs[dependency]["shares"])
        ):
            return False
        waiting = [
            task
            for task in range(run["shares"])
            if (job, task) not in self.done_tasks and not self.placements.get((job, task))
        ]
        if not waiting:
            return False
        gang = run["shape"] == "ensemble"
        if gang and len(waiting) < run["shares"]:
            return False  # some of its tasks are still being stopped
        wanted = len(waiting) if gang else 1
        if (
            self.used_gpus.get(run["owner"], 0.0) + wanted * run["accelerators"]
            > self.gpu_limits[run["owner"]] + 1e-6
        ):
            return False
        fitting_by_zone: dict[str, int] = {}
        for machine in machines:
            place = machine.place
            if (
                (run["hulls"] is None or place.type in run["hulls"])
                and run["yard"] in (None, place.zone)
                and (run["loaners"] or not place.spot)
            ):
                fitting_by_zone[place.zone] = fitting_by_zone.get(
                    place.zone, 0
                ) + count_fitting_tasks(run, machine)
        if run["spread"]:
            max_in_zone = (run["shares"] + 1) // 2
            placed_by_zone = {
                zone: sum(
                    p.zone == zone
                    for task in range(run["shares"])
                    for p in self.placements.get((job, task), ())
                )
                for zone in fitting_by_zone
            }
            fitting_by_zone = {
                zone: max(0, min(number, max_in_zone - placed_by_zone[zone]))
                for zone, number in fitting_by_zone.items()
            }
        if run["same_place"] and not gang:
            used_zones = {
                p.zone
                for task in range(run["shares"])
                for p in self.placements.get((job, task), ())
            }
            fitting_by_zone = {
                zone: number
                for zone, number in fitting_by_zone.items()
                if not used_zones or zone in used_zones
            }
        return (
            max(fitting_by_zone.values(), default=0) >= wanted
            if run["same_place"]
            else sum(fitting_by_zone.values()) >= wanted
        )

    # -- jobs that started in time -----------------------------------------------------------------

    def served_shares(self, now: float) -> dict[tuple[str, str], float]:
        """Return the share of jobs that started in time, by class, team and largest jobs.

        Jobs that were not accepted or that were cancelled do not count, nor do jobs that may still
        start in time. The keys are ("class", class), ("team", team) and ("largest", class).
        """
        largest: dict[str, int] = {}  # number of tasks, by class
        counted = [
            run
            for job, run in self.jobs.items()
            if job in self.accepted and job not in self.cancel_requested
        ]
        for run in counted:
            largest[run["workload"]] = max(largest.get(run["workload"], 0), run["shares"])
        started_in_time: dict[tuple[str, str], list[int]] = {}
        for run in counted:
            started_at, accepted_at = (
                self.all_started_at.get(run["id"]),
                self.accepted_at[run["id"]],
            )
            if started_at is None and now <= accepted_at + MAX_START_DELAY_S:
                continue
            in_time = started_at is not None and started_at <= accepted_at + MAX_START_DELAY_S
            groups = [("class", run["workload"]), ("team", run["owner"])]
            if run["shares"] == largest[run["workload"]]:
                groups.append(("largest", run["workload"]))
            for group in groups:
                started_in_time.setdefault(group, []).append(in_time)
        return {group: sum(flags) / len(flags) for group, flags in started_in_time.items()}

    def queried(self, job: str, answered: bool, now: float) -> None:
        """Record a status request for a job, and whether it was answered.

        An accepted job must not stay without an answer for `MAX_UNANSWERED_S` after the last fault,
        even if requests for others are answered.
        """
        if answered:
            self.last_answer_at[job] = now
        elif (
            self.faults_over_at is not None
            and job in self.accepted
            and now - max(self.faults_over_at, self.last_answer_at.get(job, 0.0)) > MAX_UNANSWERED_S
        ):
            self._record_violation(
                "forgotten", f"{job}: no status request was answered for {MAX_UNANSWERED_S} s"
            )

    def check_stored_jobs(self, keys: dict[str, Any]) -> None:
        """Check that the store has all accepted jobs, with tasks if queued, and no invalid one."""
        for job in sorted(self.invalid_jobs):
            if f"job/{job}" in keys:
                self._record_violation("took_bad", f"{job} is stored")
        for job in sorted(self.accepted):
            record = keys.get(f"job/{job}")
            if record is None:
                self._record_violation("forgotten", f"{job}: no record")
            elif (
                record["status"] == "queued"
                and f"work/{self.jobs[job]['owner']}/{job}/job" not in keys
            ):
                self._record_violation("forgotten", f"{job}: nobody would run it")

    def invalid_submission_answered(self, job: str, status: int, expected: int) -> None:
        """Check the final answer to a submission that cannot run or that lacks a field."""
        self.invalid_jobs.add(job)
        if status != expected:
            self._record_violation("took_bad", f"{job}: {status}, not {expected}")

    def answered(
        self,
        job: str,
        status: int,
        state: str | None,
        submission: bool = False,
        now: float = 0.0,
        asked: float | None = None,
    ) -> None:
        """Check an answer about a job that a user received.

        A request that was sent before a user received newer information may have been answered
        before it too, so its answer may be older.

        Args:
            job: The job.
            status: HTTP status of the answer.
            state: State of the job according to the answer, if it has one.
            submission: Whether this answers a submission, not a status request or a cancellation.
            now: When the answer was received.
            asked: When the request was sent; None for `now`.
        """
        asked = now if asked is None else asked
        if status in (200, 201):
            if job not in self.jobs:
                self._record_violation("invented", job)
                return
            if submission:
                self.accepted.add(job)
                self.accepted_at.setdefault(job, now)
            self.acknowledged_at.setdefault(job, now)
            before = self.final_states.get(job)
            if (
                before is not None
                and state != before
                and (state in ("done", "withdrawn") or asked >= self.final_state_at[job])
            ):
                self._record_violation("went_back", f"{job}: {before} then {state}")
            if state == "withdrawn" and not self._may_be_withdrawn(job):
                self._record_violation("went_back", f"{job}: nobody cancelled it")
            dependency_cancelled_at = self._dependency_cancelled_at(job)
            if (
                state in ("queued", "running")
                and dependency_cancelled_at is not None
                and now > dependency_cancelled_at + self.cancel_s
            ):
                self._record_violation("orphaned", f"{job} is {state}")
            if state == "done":
                if any(
                    (job, task) not in self.done_tasks for task in range(self.jobs[job]["shares"])
                ):
                    self._record_violation("not_done", job)
                self.final_states[job] = state
            if state == "withdrawn":
                self.final_states[job] = state
                self.cancel_confirmed_at.setdefault(job, now)
            if job in self.final_states:
                self.final_state_at.setdefault(job, now)
        elif (
            job in self.acknowledged_at
            and asked >= self.acknowledged_at[job]
            and (status == 404 or (submission and status in (400, 422)))
        ):
            self._record_violation("forgotten", f"{job}: {status}")

    def _with_dependencies(self, job: str) -> set[str]:
        """Return the job and its dependencies, direct and indirect."""
        found, unvisited = {job}, [job]
        while unvisited:
            for dependency in self.jobs[unvisited.pop()].get("awaits") or ():
                if dependency not in found:
                    found.add(dependency)
                    unvisited.append(dependency)
        return found

    def _may_be_withdrawn(self, job: str) -> bool:
        return bool(self._with_dependencies(job) & self.cancel_requested)

    def _dependency_cancelled_at(self, job: str) -> float | None:
        """Return when the first dependency's cancellation was confirmed.

        If the job was accepted later than that, return when it was accepted.
        """
        confirmed_at = [
            self.cancel_confirmed_at[dependency]
            for dependency in self._with_dependencies(job) - {job}
            if dependency in self.cancel_confirmed_at and dependency in self.cancel_requested
        ]
        return max(min(confirmed_at), self.accepted_at.get(job, 0.0)) if confirmed_at else None

    def end(self, now: float | None = None) -> None:
        """Check the whole run; with the time, also which jobs did not start in time."""
        if not self.start_count:
            self._record_violation("nothing_ran", "")
        for (kind, name), served_share in (
            self.served_shares(now).items() if now is not None else ()
        ):
            if served_share < MIN_SERVED_SHARE:
                self._record_violation("unserved", f"{kind} {name}: {served_share:.2f}")
