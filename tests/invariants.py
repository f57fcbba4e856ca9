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
class On:
    machine: str
    type: str
    zone: str
    spot: bool
    attempt: int


class Room(NamedTuple):
    """A machine that could take work, and what is free on it."""

    place: On
    cpus: float
    accelerators: float
    ram_gb: float


def fits(run: dict[str, Any], room: Room) -> int:
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
    on: dict[tuple[str, int], list[On]] = field(default_factory=dict)
    used: dict[str, float] = field(default_factory=dict)  # GPUs, by team
    done: set[tuple[str, int]] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    told: dict[str, str] = field(default_factory=dict)  # final states that users were told
    told_at: dict[str, float] = field(default_factory=dict)  # when first
    known_at: dict[str, float] = field(
        default_factory=dict
    )  # when a user was first told that it is known
    late_starts: list[tuple[str, float]] = field(
        default_factory=list
    )  # after a confirmed cancellation, and how long after
    began_at: dict[str, float] = field(
        default_factory=dict
    )  # when all of its tasks had started at least once
    begun: dict[str, set[int]] = field(default_factory=dict)
    idle_since: dict[str, float] = field(
        default_factory=dict
    )  # since when it has waited beside room that fits
    room: Callable[[], Iterable[Room]] | None = None  # machines that could take work at this moment
    on_done: Callable[[str], None] | None = None  # called when a job's last task has ended well
    asked_to_cancel: set[str] = field(default_factory=set)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    accepted_at: dict[str, float] = field(default_factory=dict)
    calm_since: float | None = None  # when the last trouble was over
    answered_at: dict[str, float] = field(
        default_factory=dict
    )  # when a question about it was last answered
    starts: int = 0
    bad: set[str] = field(default_factory=set)  # submissions that are never to be stored
    served: Any = None  # an ashdock.fairness.slo_attainment.Served, where that is counted
    broken: list[tuple[str, str]] = field(default_factory=list)

    def _break(self, rule: str, what: str) -> None:
        self.broken.append((rule, what))

    def submitted(self, run: dict[str, Any]) -> None:
        self.jobs[run["id"]] = run

    def started(self, job: str, task: int, place: On, now: float) -> None:
        """A task holds its image and is on a machine from here."""
        self.starts += 1
        if self.served is not None:
            self.served.record_started(job, 1, now)
        run = self.jobs.get(job)
        if run is None:
            return
        if self.on.get((job, task)):
            self._break(
                "ran_twice", f"{job}/{task} on {place.machine} and {self.on[job, task][0].machine}"
            )
        others = [p for number in self._asks(run) for p in self.on.get((job, number), ())]
        if run.get("hulls") is not None and place.type not in run["hulls"]:
            self._break("wrong_place", f"{job}/{task}: type {place.type}")
        if run.get("yard") is not None and place.zone != run["yard"]:
            self._break("wrong_place", f"{job}/{task}: zone {place.zone}")
        if place.spot and not run["loaners"]:
            self._break("wrong_place", f"{job}/{task}: spot")
        if run["same_place"] and any(other.zone != place.zone for other in others):
            self._break("wrong_place", f"{job}/{task}: not with the others")
        here = sum(1 for other in others if other.zone == place.zone) + 1
        if run["spread"] and here > (run["shares"] + 1) // 2:
            self._break("wrong_place", f"{job}/{task}: too many in {place.zone}")
        self.on.setdefault((job, task), []).append(place)
        used = self.used[run["owner"]] = self.used.get(run["owner"], 0.0) + run["accelerators"]
        if used > self.limits[run["owner"]] + 1e-6:
            self._break("quota", f"{run['owner']} uses {used}")
        if job in self.cancelled_at:
            self.late_starts.append((job, now - self.cancelled_at[job]))
            if now > self.cancelled_at[job] + self.cancel_s:
                self._break("ran_cancelled", f"{job}/{task} starts")
        begun = self.begun.setdefault(job, set())
        begun.add(task)
        if len(begun) == run["shares"]:
            self.began_at.setdefault(job, now)
        for need in run.get("awaits") or ():
            if any((need, other) not in self.done for other in range(self.jobs[need]["shares"])):
                self._break("too_early", f"{job}/{task} starts before {need} is done")

    @staticmethod
    def _asks(run: dict[str, Any]) -> range:
        """The tasks whose places matter to where another may start."""
        return range(run["shares"] if run["same_place"] or run["spread"] else 0)

    def left(self, job: str, task: int, machine: str, done: bool = False) -> None:
        places = self.on.pop((job, task), [])
        left = [place for place in places if place.machine != machine]
        if left:
            self.on[job, task] = left
        if job in self.jobs:
            run = self.jobs[job]
            self.used[run["owner"]] = self.used.get(run["owner"], 0.0) - run["accelerators"] * (
                len(places) - len(left)
            )
        if done and (job, task) not in self.done:
            self.done.add((job, task))
            if self.on_done is not None and job in self.jobs and self._is_done(job):
                self.on_done(job)

    def _is_done(self, job: str) -> bool:
        return all((job, task) in self.done for task in range(self.jobs[job]["shares"]))

    def tick(self, now: float) -> None:
        for job, at in self.cancelled_at.items():
            if now > at + self.cancel_s and any(
                places for (j, _), places in self.on.items() if j == job
            ):
                self._break("ran_cancelled", f"{job} still runs")
        if self.room is not None and self.calm_since is not None:
            self._look_for_idle(now)

    # -- what a transaction names ---------------------------------------------------------------------------

    def applied(self, when: set[str], writes: list[dict[str, Any]]) -> None:
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
                    self._break("unfenced", f"{path} is written whatever became of {name}")

    # -- what waits beside room ----------------------------------------------------------------------------

    def _look_for_idle(self, now: float) -> None:
        rooms = list(self.room()) if self.room else []
        for job in self.accepted:
            if (
                job in self.told
                or job in self.asked_to_cancel
                or not self._could_start(self.jobs[job], rooms)
            ):
                self.idle_since.pop(job, None)
            elif now - self.idle_since.setdefault(job, now) > IDLE_S:
                self._break("idle", f"{job} has waited {IDLE_S:g} s beside room that fits")
                self.idle_since[job] = now

    def _could_start(self, run: dict[str, Any], rooms: list[Room]) -> bool:
        """Whether a task of it (of an ensemble: all) waits and would find room."""
        job = run["id"]
        if any(
            (need, task) not in self.done
            for need in run.get("awaits") or ()
            for task in range(self.jobs[need]["shares"])
        ):
            return False
        waiting = [
            task
            for task in range(run["shares"])
            if (job, task) not in self.done and not self.on.get((job, task))
        ]
        if not waiting:
            return False
        together = run["shape"] == "ensemble"
        if together and len(waiting) < run["shares"]:
            return False  # some of it are still being stopped
        wanted = len(waiting) if together else 1
        if (
            self.used.get(run["owner"], 0.0) + wanted * run["accelerators"]
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
                    for p in self.on.get((job, task), ())
                )
                for zone in by_zone
            }
            by_zone = {
                zone: max(0, min(number, most - here[zone])) for zone, number in by_zone.items()
            }
        if run["same_place"] and not together:
            taken = {p.zone for task in range(run["shares"]) for p in self.on.get((job, task), ())}
            by_zone = {
                zone: number for zone, number in by_zone.items() if not taken or zone in taken
            }
        return (
            max(by_zone.values(), default=0) >= wanted
            if run["same_place"]
            else sum(by_zone.values()) >= wanted
        )

    # -- who was served ------------------------------------------------------------------------------------

    def shares(self, now: float) -> dict[tuple[str, str], float]:
        """By class, team and the largest jobs of each class: the share of what was accepted, and not called off, that began in time.
        What may still begin in time counts for nothing yet."""
        widest: dict[str, int] = {}
        due = [
            run
            for job, run in self.jobs.items()
            if job in self.accepted and job not in self.asked_to_cancel
        ]
        for run in due:
            widest[run["workload"]] = max(widest.get(run["workload"], 0), run["shares"])
        counts: dict[tuple[str, str], list[int]] = {}
        for run in due:
            began, since = self.began_at.get(run["id"]), self.accepted_at[run["id"]]
            if began is None and now <= since + BEGIN_S:
                continue
            in_time = began is not None and began <= since + BEGIN_S
            names = [("class", run["workload"]), ("team", run["owner"])]
            if run["shares"] == widest[run["workload"]]:
                names.append(("largest", run["workload"]))
            for name in names:
                counts.setdefault(name, []).append(in_time)
        return {name: sum(had) / len(had) for name, had in counts.items()}

    def asked(self, job: str, answered: bool, now: float) -> None:
        """A question about a job, and whether it was answered: one of which no question is for `FORGOTTEN_S` once all is calm is forgotten,
        however others fare."""
        if answered:
            self.answered_at[job] = now
        elif (
            self.calm_since is not None
            and job in self.accepted
            and now - max(self.calm_since, self.answered_at.get(job, 0.0)) > FORGOTTEN_S
        ):
            self._break("forgotten", f"{job}: no question was answered for {FORGOTTEN_S} s")

    def accounted(self, keys: dict[str, Any]) -> None:
        """At the end of a day: each job that users were told is accepted is in the store, over or with its work beside it; and no other."""
        for job in sorted(self.bad):
            if f"job/{job}" in keys:
                self._break("took_bad", f"{job} is stored")
        for job in sorted(self.accepted):
            record = keys.get(f"job/{job}")
            if record is None:
                self._break("forgotten", f"{job}: no record")
            elif (
                record["status"] == "queued"
                and f"work/{self.jobs[job]['owner']}/{job}/job" not in keys
            ):
                self._break("forgotten", f"{job}: nobody would run it")

    def refused(self, job: str, status: int, expected: int) -> None:
        """The answer for good to a submission that can't run, or lacks a field."""
        self.bad.add(job)
        if status != expected:
            self._break("took_bad", f"{job}: {status}, not {expected}")

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
                self._break("invented", job)
                return
            if submission:
                self.accepted.add(job)
                self.accepted_at.setdefault(job, now)
            self.known_at.setdefault(job, now)
            before = self.told.get(job)
            if (
                before is not None
                and state != before
                and (state in ("done", "withdrawn") or asked >= self.told_at[job])
            ):
                self._break("went_back", f"{job}: {before} then {state}")
            if state == "withdrawn" and not self._may_be_withdrawn(job):
                self._break("went_back", f"{job}: nobody cancelled it")
            since = self._orphan_since(job)
            if state in ("queued", "running") and since is not None and now > since + self.cancel_s:
                self._break("orphaned", f"{job} is {state}")
            if state == "done":
                if any((job, task) not in self.done for task in range(self.jobs[job]["shares"])):
                    self._break("not_done", job)
                self.told[job] = state
            if state == "withdrawn":
                self.told[job] = state
                self.cancelled_at.setdefault(job, now)
            if job in self.told:
                self.told_at.setdefault(job, now)
        elif (
            job in self.known_at
            and asked >= self.known_at[job]
            and (status == 404 or (submission and status in (400, 422)))
        ):
            self._break("forgotten", f"{job}: {status}")

    def _before(self, job: str) -> set[str]:
        """The job and all that it needs, directly or through others."""
        out, left = {job}, [job]
        while left:
            for need in self.jobs[left.pop()].get("awaits") or ():
                if need not in out:
                    out.add(need)
                    left.append(need)
        return out

    def _may_be_withdrawn(self, job: str) -> bool:
        return bool(self._before(job) & self.asked_to_cancel)

    def _orphan_since(self, job: str) -> float | None:
        """When its user was told that one before it is cancelled, or of the job itself if that came later."""
        told = [
            self.cancelled_at[need]
            for need in self._before(job) - {job}
            if need in self.cancelled_at and need in self.asked_to_cancel
        ]
        return max(min(told), self.accepted_at.get(job, 0.0)) if told else None

    def end(self, now: float | None = None) -> None:
        """The day is over. With the time it is also told who was not served."""
        if not self.starts:
            self._break("nothing_ran", "")
        for (kind, name), share in self.shares(now).items() if now is not None else ():
            if share < HALF:
                self._break("unserved", f"{kind} {name}: {share:.2f}")
