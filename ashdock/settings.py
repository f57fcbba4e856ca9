"""Reads and checks the platform's settings file (TOML) and the operators' file (HCL)."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from ashdock.admission.shares import min_connections

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
OPERATORS_FILE = Path(__file__).resolve().parent.parent / "deploy" / "ashdock.hcl"


class SettingsError(Exception):
    """A setting is wrong; the message is one line that names the file, the field and the fault."""


class OtherController(Struct):
    """Another controller of the deployment.

    Attributes:
        label: its name.
        endpoint: HOST:PORT on which it takes links of other controllers.
        area: the zone that it runs in.
    """

    label: Name
    endpoint: str
    area: str = ""


class ExternalServices(Struct):
    """Addresses, as HOST:PORT, of the services that the scheduler uses."""

    cloud: str
    state: str


class Team(Struct):
    """A team's guarantee (`cpus`, `gpus`) and limit (`cpus_max`, `gpus_max`); 0: none."""

    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct):
    """A service-level objective.

    Attributes:
        kind: what it is about. The scheduler uses those of kind "wait", for a class's start target.
        share: fraction of the jobs that are to meet it.
        job_class: the class that it applies to; None: not one class.
        within_s: seconds within which it has to be met, if it has such a bound.
        times: its bound as a multiple, if it has such a bound.
    """

    kind: str
    share: float = 0.0
    job_class: str | None = field(default=None, name="class")
    within_s: float | None = None
    times: float | None = None


class Workers(Struct):
    """Times that workers keep to, in seconds.

    Attributes:
        report_s: period of a worker's heartbeats.
        lease_s: how long a worker runs its tasks after its last answered heartbeat.
        gang_wait_s: not used by the scheduler.
        gang_peer_s: how long the tasks of a gang may wait for one another.
        cancel_s: after this no task of a cancelled job may run.
    """

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(Struct):
    """Limits that the store will have from some moment on; None: the current one stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateLimits(Struct):
    """Limits of the store, for all controllers together.

    Attributes:
        rps: requests per second.
        write_rps: puts and deletes per second.
        value_kb: size of one value, in KiB.
        txn_ops: puts and deletes in one transaction.
        next: limits that are announced, if any.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    next: NextLimits | None = None

    def smaller(self) -> StateLimits:
        """Return the smaller of each current limit and the one announced."""
        announced = self.next or NextLimits()
        return StateLimits(
            min(self.rps, announced.rps or self.rps),
            min(self.write_rps, announced.write_rps or self.write_rps),
            min(self.value_kb, announced.value_kb or self.value_kb),
            min(self.txn_ops, announced.txn_ops or self.txn_ops),
        )


class CloudLimits(Struct):
    """Limits of the cloud's API: requests per second, and seconds that its list lags behind."""

    rps: Positive
    list_lag_s: NonNegative


# What a controller needs to start: docs/cost.md.
STARTUP_MB = 32.0  # the interpreter, the imported modules, and the records of a small fleet
STARTUP_CORE_S = 0.5  # seconds of a whole core until ready, which has to be within a worker lease


class MachineLimits(Struct):
    """What one controller may use of the machine that it runs on.

    Attributes:
        core_share: of one core.
        ram_mb: memory, in MB.
        max_connections: open sockets.
    """

    core_share: Positive = 1.0
    ram_mb: Positive = 256.0
    max_connections: Annotated[int, Meta(ge=16)] = 1024


class Shared(Struct):
    """Settings that are the same for every controller of the deployment."""

    size: Annotated[int, Meta(ge=1)]
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    skew_ms: NonNegative = 0.0
    objectives: list[Objective] = []
    machine_limits: MachineLimits = field(default_factory=MachineLimits)


class Retry(Struct, forbid_unknown_fields=True):
    """How failed tasks are retried.

    Attributes:
        first_delay_s: delay of the first retry from a park, before jitter.
        factor: by which each further delay is longer.
        cap_s: the longest delay, before jitter.
        park_at_once_s: from this first delay on even the first failure parks the task.
        horizon_s: how long after its first failure a task is retried with these delays.
        most_parks: how often a task is parked with these delays.
    """

    first_delay_s: Positive = 2.0
    factor: Annotated[float, Meta(ge=1)] = 2.0
    cap_s: Positive = 60.0
    park_at_once_s: Positive = 10.0
    horizon_s: Positive = 900.0
    most_parks: Annotated[int, Meta(ge=1)] = 30


class Renting(Struct, forbid_unknown_fields=True):
    """How freely machines are rented and kept.

    Attributes:
        idle_boots: how long an empty machine is kept, in boot times of its type; longer for a
            spot instance.
        spot: whether spot instances may be rented.
        most_machines: the most machines that are rented; 0: no bound but the cloud's.
    """

    idle_boots: NonNegative = 1.0
    spot: bool = True
    most_machines: Annotated[int, Meta(ge=0)] = 0


class Fairness(Struct, forbid_unknown_fields=True):
    """How resources that are short are divided among teams."""

    weights: dict[str, Positive] = {}  # by team; 1 for each that is not named


class Duties(Struct, forbid_unknown_fields=True):
    """Labels of the controllers that may lead each duty; empty: all may."""

    # Renting, returning, assigning and reclaiming machines, and reconciling the list of the cloud.
    machines: list[Name] = []


class Operators(Struct, forbid_unknown_fields=True):
    """The operators' file."""

    duties: Duties = field(default_factory=Duties)
    fairness: Fairness = field(default_factory=Fairness)
    retry: Retry = field(default_factory=Retry)
    renting: Renting = field(default_factory=Renting)


class Settings(Struct):
    """The platform's settings file, with the operators' file in `operators`.

    Attributes:
        label: name of this controller.
        area: the zone that it runs in.
        bind: HOST:PORT on which it serves HTTP.
        mesh_addr: HOST:PORT on which it takes links of other controllers.
        outside: the services that it uses.
        settings: what all controllers have in common.
        others: the other controllers.
        operators: the operators' file; its defaults if there is none.
    """

    label: Name
    area: str
    bind: str
    mesh_addr: str
    outside: ExternalServices
    settings: Shared
    others: list[OtherController] = []
    operators: Operators = field(default_factory=Operators)


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Return the host and port of an address.

    Args:
        text: HOST:PORT.
        where: what the message names if it is wrong.

    Raises:
        SettingsError: it is not HOST:PORT.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise SettingsError(f"{where}: expected HOST:PORT, found {text!r}")
    return host, int(port)


def _convert(raw: Any, kind: Any, source: str) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {error}") from None


def _check_finite(raw: Any, source: str, path: str = "$") -> None:
    if isinstance(raw, float) and (raw != raw or abs(raw) == float("inf")):
        raise SettingsError(f"{source}: Expected a finite number - at `{path}`")
    if isinstance(raw, dict):
        for key, value in raw.items():
            _check_finite(value, source, f"{path}.{key}")
    elif isinstance(raw, list):
        for index, value in enumerate(raw):
            _check_finite(value, source, f"{path}[{index}]")


def _check_limits(raw: Any, path: str) -> None:
    """Check that the machine limits given suffice for a controller to start.

    Limits that are not given have the defaults of `MachineLimits`.
    """
    shared = raw.get("settings") if isinstance(raw, dict) else None
    given = shared.get("machine_limits", {}) if isinstance(shared, dict) else {}
    workers = shared.get("workers") if isinstance(shared, dict) else None
    lease_s = workers.get("lease_s") if isinstance(workers, dict) else None
    others = raw.get("others")
    minimums = {
        "ram_mb": STARTUP_MB,
        "max_connections": float(min_connections(len(others) if isinstance(others, list) else 0)),
    }
    if isinstance(lease_s, int | float) and lease_s > 0:
        minimums["core_share"] = min(STARTUP_CORE_S / lease_s, 1.0)
    for name, minimum in minimums.items():
        value = given.get(name) if isinstance(given, dict) else None
        if value is None:
            continue
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not value >= minimum:
            raise SettingsError(
                f"{path}: settings.machine_limits.{name}: "
                f"expected at least {minimum:g}, found {value!r}"
            )


def load(path: str, operators_file: Path = OPERATORS_FILE) -> Settings:
    """Read and check the settings file and, if it exists, the operators' file.

    Raises:
        SettingsError: a file cannot be read, or a setting is wrong.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: expected TOML: {error}") from None
    raw.pop("operators", None)
    _check_limits(raw, path)
    _check_finite(raw, path)
    settings: Settings = _convert(raw, Settings, path)
    for where, text in (
        ("bind", settings.bind),
        ("mesh_addr", settings.mesh_addr),
        ("outside.cloud", settings.outside.cloud),
        ("outside.state", settings.outside.state),
        *((f"others[{n}].endpoint", other.endpoint) for n, other in enumerate(settings.others)),
    ):
        parse_address(text, f"{path}: {where}")
    teams = [team.name for team in settings.settings.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(f"{path}: settings.teams: expected distinct names, found {teams!r}")
    if any(" " in name or "/" in name for name in teams):
        raise SettingsError(
            f"{path}: settings.teams: expected names without spaces or slashes, found {teams!r}"
        )
    workers = settings.settings.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(
            f"{path}: settings.workers.cancel_s: expected more than lease_s ({workers.lease_s:g})"
        )
    if operators_file.exists():
        settings.operators = load_operators(operators_file)
        unknown_teams = sorted(set(settings.operators.fairness.weights) - set(teams))
        if unknown_teams:
            raise SettingsError(
                f"{operators_file}: fairness.weights: "
                f"expected names of teams, found {unknown_teams[0]!r}"
            )
        unknown_labels = sorted(
            set(settings.operators.duties.machines)
            - {settings.label, *(other.label for other in settings.others)}
        )
        if unknown_labels:
            raise SettingsError(
                f"{operators_file}: duties.machines: "
                f"expected labels of controllers, found {unknown_labels[0]!r}"
            )
    return settings


def _unquoted(raw: Any) -> Any:
    """Remove the quotes that the HCL parser leaves on strings."""
    if isinstance(raw, str) and len(raw) >= 2 and raw[0] == raw[-1] == '"':
        return raw[1:-1]
    if isinstance(raw, dict):
        return {_unquoted(key): _unquoted(value) for key, value in raw.items()}
    return [_unquoted(value) for value in raw] if isinstance(raw, list) else raw


def load_operators(path: Path) -> Operators:
    """Read and check the operators' file.

    Raises:
        SettingsError: it is not HCL, or a setting is wrong.
    """
    import hcl2  # only where the file exists: the import lengthens the start

    try:
        with path.open(encoding="utf-8") as file:
            raw = hcl2.load(file)
    except Exception as error:  # the parser raises exceptions of undocumented types
        raise SettingsError(f"{path}: expected HCL: {str(error).splitlines()[0]}") from None
    sections: dict[str, Any] = {}
    for key, value in raw.items():
        if key.startswith("__"):
            continue
        blocks = value if isinstance(value, list) else [value]
        if len(blocks) != 1:
            raise SettingsError(f"{path}: {key}: expected one block, found {len(blocks)}")
        block = blocks[0]
        sections[key] = (
            {name: setting for name, setting in block.items() if not name.startswith("__")}
            if isinstance(block, dict)
            else block
        )
    _check_finite(sections, str(path))
    operators: Operators = _convert(_unquoted(sections), Operators, str(path))
    return operators
