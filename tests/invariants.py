"""The protocol's rules, checked on what the stand-ins see happen; and what the users count beside them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

FORGOTTEN_S = 75.0
IDLE_S = (
    90.0  # no job waits so long while a machine that fits has room and its team is under its limit
)
BEGIN_S = 240.0  # the largest jobs too begin within it
UNCONDITIONAL = ("catalog",)  # the same from whoever writes it
HALF = 0.5  # of a class, a team or a class's largest jobs: less than that served is a failed day


@dataclass
class Placement:
    machine: str
    type: str
    zone: str
    spot: bool
    attempt: int


class FreeMachine(NamedTuple):
    """A machine that could take work, and what is free on it."""

    place: Placement
    cpus: float
    accelerators: float
    ram_gb: float


def fits(run: dict[str, Any], room: FreeMachine) -> int:
    """How many tasks of a job a machine's free room takes."""
    asked = (
        (run["cpus"], room.cpus),
        (run["accelerators"], room.accelerators),
        (run["ram_gb"], room.ram_gb),
    )
    return min(int(free / request + 1e-6) for request, free in asked if request > 0)


@dataclass
class InvariantChecker:
    cancel_s: float
    limits: dict[str, float]  # team: GPUs at most
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # as submitted
    placements: dict[tuple[str, int], list[Placement]] = field(default_factory=dict)
    used_gpus: dict[str, float] = field(default_factory=dict)  # GPUs, by team
    done_tasks: set[tuple[str, int]] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    final_states: dict[str, str] = field(default_factory=dict)  # final states that users were told
    final_state_at: dict[str, float] = field(default_factory=dict)  # when first
    acknowledged_at: dict[str, float] = field(
        default_factory=dict
    )  # when a user was first told that it is known
    starts_after_cancellation: list[tuple[str, float]] = field(
        default_factory=list
    )  # after a confirmed cancellation, and how long after
    all_started_at: dict[str, float] = field(
        default_factory=dict
    )  # when all of its tasks had started at least once
    started_tasks: dict[str, set[int]] = field(default_factory=dict)
    startable_since: dict[str, float] = field(
        default_factory=dict
    )  # since when it has waited beside room that fits
    free_machines: Callable[[], Iterable[FreeMachine]] | None = (
        None  # machines that could take work at this moment
    )
    on_job_done: Callable[[str], None] | None = None  # called when a job's last task has ended well
    cancel_requested: set[str] = field(default_factory=set)
    cancel_confirmed_at: dict[str, float] = field(default_factory=dict)
    accepted_at: dict[str, float] = field(default_factory=dict)
    faults_over_at: float | None = None  # when the last trouble was over
    last_answer_at: dict[str, float] = field(
        default_factory=dict
    )  # when a question about it was last answered
    start_count: int = 0
    invalid_jobs: set[str] = field(default_factory=set)  # submissions that are never to be stored
    slo_attainment: Any = None  # an ashdock.fairness.slo_attainment.Served, where that is counted
    violations: list[tuple[str, str]] = field(default_factory=list)

    def _record_violation(self, rule: str, what: str) -> None:
        self.violations.append((rule, what))

    def submitted(self, run: dict[str, Any]) -> None:
        self.jobs[run["id"]] = run

    def task_started(self, job: str, task: int, place: Placement, now: float) -> None:
        """A task holds its image and is on a machine from here."""
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
        here = sum(1 for other in others if other.zone == place.zone) + 1
        if run["spread"] and here > (run["shares"] + 1) // 2:
            self._record_violation("wrong_place", f"{job}/{task}: too many in {place.zone}")
        self.placements.setdefault((job, task), []).append(place)
        used = self.used_gpus[run["owner"]] = (
            self.used_gpus.get(run["owner"], 0.0) + run["accelerators"]
        )
        if used > self.limits[run["owner"]] + 1e-6:
            self._record_violation("quota", f"{run['owner']} uses {used}")
        if job in self.cancel_confirmed_at:
            self.starts_after_cancellation.append((job, now - self.cancel_confirmed_at[job]))
            if now > self.cancel_confirmed_at[job] + self.cancel_s:
                self._record_violation("ran_cancelled", f"{job}/{task} starts")
        begun = self.started_tasks.setdefault(job, set())
        begun.add(task)
        if len(begun) == run["shares"]:
            self.all_started_at.setdefault(job, now)
        for need in run.get("awaits") or ():
            if any(
                (need, other) not in self.done_tasks for other in range(self.jobs[need]["shares"])
            ):
                self._record_violation("too_early", f"{job}/{task} starts before {need} is done")

    @staticmethod
    def _tasks_with_related_places(run: dict[str, Any]) -> range:
        """The tasks whose places matter to where another may start."""
        return range(run["shares"] if run["same_place"] or run["spread"] else 0)

    def task_left(self, job: str, task: int, machine: str, done: bool = False) -> None:
        places = self.placements.pop((job, task), [])
        left = [place for place in places if place.machine != machine]
        if left:
            self.placements[job, task] = left
        if job in self.jobs:
            run = self.jobs[job]
            self.used_gpus[run["owner"]] = self.used_gpus.get(run["owner"], 0.0) - run[
                "accelerators"
            ] * (len(places) - len(left))
        if done and (job, task) not in self.done_tasks:
            self.done_tasks.add((job, task))
            if self.on_job_done is not None and job in self.jobs and self._is_done(job):
                self.on_job_done(job)

    def _is_done(self, job: str) -> bool:
        return all((job, task) in self.done_tasks for task in range(self.jobs[job]["shares"]))

    def tick(self, now: float) -> None:
        for job, at in self.cancel_confirmed_at.items():
            if now > at + self.cancel_s and any(
                places for (j, _), places in self.placements.items() if j == job
            ):
                self._record_violation("ran_cancelled", f"{job} still runs")
        if self.free_machines is not None and self.faults_over_at is not None:
            self._check_startable_jobs(now)

    # -- what a transaction names ---------------------------------------------------------------------------

    def transaction_applied(self, when: set[str], writes: list[dict[str, Any]]) -> None:
        """A transaction was carried out, and rests on the revisions of these keys: its own, or one that is late undoes what is newer; and those
        of whoever may write it, or one that was replaced goes on writing."""
        for write in writes:
            path = write.get("set") or write["delete"]
            root, *rest = path.split("/")
            names = [] if root in UNCONDITIONAL else [path]
            if root == "work" and rest[-1] == "job" and path not in when:
                names = [
                    f"job/{rest[1]}"
                ]  # the two are always written together, so their revisions agree
            if root == "park" or (root == "work" and rest[-1] != "job"):
                names.append(f"part/{rest[0]}")
            if root == "work" and rest[-1] != "job" and "set" in write:
                names.append(f"job/{rest[1]}")
            if root == "charter":
                names.append("leader")
            if root == "machine" and not any(
                name == "leader" or name.startswith("part/") for name in when
            ):
                names.append("leader or a part")
            for name in names:
                if name not in when:
                    self._record_violation(
                        "unfenced", f"{path} is written whatever became of {name}"
                    )

    # -- what waits beside room ----------------------------------------------------------------------------

    def _check_startable_jobs(self, now: float) -> None:
        rooms = list(self.free_machines()) if self.free_machines else []
        for job in self.accepted:
            if (
                job in self.final_states
                or job in self.cancel_requested
                or not self._could_start(self.jobs[job], rooms)
            ):
                self.startable_since.pop(job, None)
            elif now - self.startable_since.setdefault(job, now) > IDLE_S:
                self._record_violation(
                    "idle", f"{job} has waited {IDLE_S:g} s beside room that fits"
                )
                self.startable_since[job] = now

    def _could_start(self, run: dict[str, Any], rooms: list[FreeMachine]) -> bool:
        """Whether a task of it (of an ensemble: all) waits and would find room."""
        job = run["id"]
        if any(
            (need, task) not in self.done_tasks
            for need in run.get("awaits") or ()
            for task in range(self.jobs[need]["shares"])
        ):
            return False
        waiting = [
            task
            for task in range(run["shares"])
            if (job, task) not in self.done_tasks and not self.placements.get((job, task))
        ]
        if not waiting:
            return False
        together = run["shape"] == "ensemble"
        if together and len(waiting) < run["shares"]:
            return False  # some of it are still being stopped
        wanted = len(waiting) if together else 1
        if (
            self.used_gpus.get(run["owner"], 0.0) + wanted * run["accelerators"]
            > self.limits[run["owner"]] + 1e-6
        ):
            return False
        by_zone: dict[str, int] = {}
        for room in rooms:
            place = room.place
            if (
                (run["hulls"] is None or place.type in run["hulls"])
                and run["yard"] in (None, place.zone)
                and (run["loaners"] or not place.spot)
            ):
                by_zone[place.zone] = by_zone.get(place.zone, 0) + fits(run, room)
        if run["spread"]:
            most = (run["shares"] + 1) // 2
            here = {
                zone: sum(
                    p.zone == zone
                    for task in range(run["shares"])
                    for p in self.placements.get((job, task), ())
                )
                for zone in by_zone
            }
            by_zone = {
                zone: max(0, min(number, most - here[zone])) for zone, number in by_zone.items()
            }
        if run["same_place"] and not together:
            taken = {
                p.zone
                for task in range(run["shares"])
                for p in self.placements.get((job, task), ())
            }
            by_zone = {
                zone: number for zone, number in by_zone.items() if not taken or zone in taken
            }
        return (
            max(by_zone.values(), default=0) >= wanted
            if run["same_place"]
            else sum(by_zone.values()) >= wanted
        )

    # -- who was served ------------------------------------------------------------------------------------

    def served_shares(self, now: float) -> dict[tuple[str, str], float]:
        """By class, team and the largest jobs of each class: the share of what was accepted, and not called off, that began in time.
        What may still begin in time counts for nothing yet."""
        widest: dict[str, int] = {}
        due = [
            run
            for job, run in self.jobs.items()
            if job in self.accepted and job not in self.cancel_requested
        ]
        for run in due:
            widest[run["workload"]] = max(widest.get(run["workload"], 0), run["shares"])
        counts: dict[tuple[str, str], list[int]] = {}
        for run in due:
            began, since = self.all_started_at.get(run["id"]), self.accepted_at[run["id"]]
            if began is None and now <= since + BEGIN_S:
                continue
            in_time = began is not None and began <= since + BEGIN_S
            names = [("class", run["workload"]), ("team", run["owner"])]
            if run["shares"] == widest[run["workload"]]:
                names.append(("largest", run["workload"]))
            for name in names:
                counts.setdefault(name, []).append(in_time)
        return {name: sum(had) / len(had) for name, had in counts.items()}

    def queried(self, job: str, answered: bool, now: float) -> None:
        """A question about a job, and whether it was answered: one of which no question is for `FORGOTTEN_S` once all is calm is forgotten,
        however others fare."""
        if answered:
            self.last_answer_at[job] = now
        elif (
            self.faults_over_at is not None
            and job in self.accepted
            and now - max(self.faults_over_at, self.last_answer_at.get(job, 0.0)) > FORGOTTEN_S
        ):
            self._record_violation(
                "forgotten", f"{job}: no question was answered for {FORGOTTEN_S} s"
            )

    def check_stored_jobs(self, keys: dict[str, Any]) -> None:
        """At the end of a day: each job that users were told is accepted is in the store, over or with its work beside it; and no other."""
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
        """The answer for good to a submission that can't run, or lacks a field."""
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
        """An answer that came at `now`. What was asked before a user was told something newer may have been answered before it too."""
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
            since = self._dependency_cancelled_at(job)
            if state in ("queued", "running") and since is not None and now > since + self.cancel_s:
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
        """The job and all that it needs, directly or through others."""
        out, left = {job}, [job]
        while left:
            for need in self.jobs[left.pop()].get("awaits") or ():
                if need not in out:
                    out.add(need)
                    left.append(need)
        return out

    def _may_be_withdrawn(self, job: str) -> bool:
        return bool(self._with_dependencies(job) & self.cancel_requested)

    def _dependency_cancelled_at(self, job: str) -> float | None:
        """When its user was told that one before it is cancelled, or of the job itself if that came later."""
        told = [
            self.cancel_confirmed_at[need]
            for need in self._with_dependencies(job) - {job}
            if need in self.cancel_confirmed_at and need in self.cancel_requested
        ]
        return max(min(told), self.accepted_at.get(job, 0.0)) if told else None

    def end(self, now: float | None = None) -> None:
        """The day is over. With the time it is also told who was not served."""
        if not self.start_count:
            self._record_violation("nothing_ran", "")
        for (kind, name), share in self.served_shares(now).items() if now is not None else ():
            if share < HALF:
                self._record_violation("unserved", f"{kind} {name}: {share:.2f}")
