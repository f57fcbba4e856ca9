"""The platform's settings file (TOML) and the operators' own (HCL), checked before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from ashdock.admission.shares import min_connections

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
OPERATORS_FILE = Path(__file__).resolve().parent.parent / "deploy" / "ashdock.hcl"


class SettingsError(Exception):
    """One line that names the file, the field and what was expected there."""


class Other(Struct):
    label: Name
    endpoint: str
    area: str = ""


class Outside(Struct):
    cloud: str
    state: str


class Team(Struct):
    name: Name
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(Struct):
    kind: str
    share: float = 0.0
    job_class: str | None = field(default=None, name="class")
    within_s: float | None = None
    times: float | None = None


class Workers(Struct):
    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(Struct):
    """What the state service will take from some moment on; what is not named stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateLimits(Struct):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    next: NextLimits | None = None

    def smaller(self) -> StateLimits:
        """What is within both the limits in force and those to come."""
        later = self.next or NextLimits()
        return StateLimits(
            min(self.rps, later.rps or self.rps),
            min(self.write_rps, later.write_rps or self.write_rps),
            min(self.value_kb, later.value_kb or self.value_kb),
            min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudLimits(Struct):
    rps: Positive
    list_lag_s: NotNegative


# What a start needs, measured by `python -m tests.scale cost`: docs/cost.md.
START_MB = 32.0  # the interpreter, what is imported, and the records of a small fleet
START_CORE_S = 0.5  # of a whole core until /ready; it has to be over within a lease


class Limits(Struct):
    core_share: Positive = 1.0
    ram_mb: Positive = 256.0
    max_connections: Annotated[int, Meta(ge=16)] = 1024


class Shared(Struct):
    """What every controller of the deployment is told alike."""

    size: Annotated[int, Meta(ge=1)]
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    skew_ms: NotNegative = 0.0
    objectives: list[Objective] = []
    machine_limits: Limits = field(default_factory=Limits)


class Retry(Struct, forbid_unknown_fields=True):
    """How parked tasks come back. The document's own values are the defaults."""

    first_delay_s: Positive = 2.0
    factor: Annotated[float, Meta(ge=1)] = 2.0
    cap_s: Positive = 60.0
    park_at_once_s: Positive = 10.0
    horizon_s: Positive = 900.0
    most_parks: Annotated[int, Meta(ge=1)] = 30


class Renting(Struct, forbid_unknown_fields=True):
    """How freely machines are rented and kept."""

    idle_boots: NotNegative = 1.0  # an empty machine is kept this many boot times
    spot: bool = True
    most_machines: Annotated[int, Meta(ge=0)] = 0  # 0: no bound of ours


class Fairness(Struct, forbid_unknown_fields=True):
    """How what runs short is divided among teams."""

    weights: dict[str, Positive] = {}  # by team, against 1 for each that is not named


class Duties(Struct, forbid_unknown_fields=True):
    """Which controllers may hold the duties that only one may do; none named: all."""

    machines: list[Name] = []  # renting, returning, lending, recalling, and the cloud's list


class Operators(Struct, forbid_unknown_fields=True):
    duties: Duties = field(default_factory=Duties)
    fairness: Fairness = field(default_factory=Fairness)
    retry: Retry = field(default_factory=Retry)
    renting: Renting = field(default_factory=Renting)


class Settings(Struct):
    label: Name
    area: str
    bind: str
    mesh_addr: str
    outside: Outside
    settings: Shared
    others: list[Other] = []
    operators: Operators = field(default_factory=Operators)


def address(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise SettingsError(f"{where}: expected HOST:PORT, found {text!r}")
    return host, int(port)


def _convert(raw: Any, kind: Any, source: str) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as why:
        raise SettingsError(f"{source}: {why}") from None


def _finite(raw: Any, source: str, path: str = "$") -> None:
    if isinstance(raw, float) and (raw != raw or abs(raw) == float("inf")):
        raise SettingsError(f"{source}: Expected a finite number - at `{path}`")
    if isinstance(raw, dict):
        for key, value in raw.items():
            _finite(value, source, f"{path}.{key}")
    elif isinstance(raw, list):
        for index, value in enumerate(raw):
            _finite(value, source, f"{path}[{index}]")


def _check_limits(raw: Any, path: str) -> None:
    """What a controller may use of its machine has to hold what a start needs. Where the platform leaves it out, the defaults of `Limits` are taken."""
    shared = raw.get("settings") if isinstance(raw, dict) else None
    told = shared.get("machine_limits", {}) if isinstance(shared, dict) else {}
    workers = shared.get("workers") if isinstance(shared, dict) else None
    lease_s = workers.get("lease_s") if isinstance(workers, dict) else None
    others = raw.get("others")
    leasts = {
        "ram_mb": START_MB,
        "max_connections": float(min_connections(len(others) if isinstance(others, list) else 0)),
    }
    if isinstance(lease_s, int | float) and lease_s > 0:
        leasts["core_share"] = min(START_CORE_S / lease_s, 1.0)
    for name, least in leasts.items():
        value = told.get(name) if isinstance(told, dict) else None
        if value is None:
            continue
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or not value >= least:
            raise SettingsError(
                f"{path}: settings.machine_limits.{name}: expected at least {least:g}, found {value!r}"
            )


def load(path: str, operators_file: Path = OPERATORS_FILE) -> Settings:
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as why:
        raise SettingsError(f"{path}: cannot be read: {why.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as why:
        raise SettingsError(f"{path}: expected TOML: {why}") from None
    raw.pop("operators", None)
    _check_limits(raw, path)
    _finite(raw, path)
    settings: Settings = _convert(raw, Settings, path)
    for where, text in (
        ("bind", settings.bind),
        ("mesh_addr", settings.mesh_addr),
        ("outside.cloud", settings.outside.cloud),
        ("outside.state", settings.outside.state),
        *((f"others[{n}].endpoint", other.endpoint) for n, other in enumerate(settings.others)),
    ):
        address(text, f"{path}: {where}")
    names = [team.name for team in settings.settings.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: settings.teams: expected distinct names")
    if any(" " in name or "/" in name for name in names):
        raise SettingsError(f"{path}: settings.teams: expected names without spaces or slashes")
    workers = settings.settings.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(
            f"{path}: settings.workers.cancel_s: expected more than lease_s ({workers.lease_s:g})"
        )
    if operators_file.exists():
        settings.operators = load_operators(operators_file)
        unknown = sorted(set(settings.operators.fairness.weights) - set(names))
        if unknown:
            raise SettingsError(
                f"{operators_file}: fairness.weights: expected names of teams, found {unknown[0]!r}"
            )
        strangers = sorted(
            set(settings.operators.duties.machines)
            - {settings.label, *(other.label for other in settings.others)}
        )
        if strangers:
            raise SettingsError(
                f"{operators_file}: duties.machines: expected labels of controllers, found {strangers[0]!r}"
            )
    return settings


def _unquoted(raw: Any) -> Any:
    """The parser leaves the quotes on strings."""
    if isinstance(raw, str) and len(raw) >= 2 and raw[0] == raw[-1] == '"':
        return raw[1:-1]
    if isinstance(raw, dict):
        return {_unquoted(key): _unquoted(value) for key, value in raw.items()}
    return [_unquoted(value) for value in raw] if isinstance(raw, list) else raw


def load_operators(path: Path) -> Operators:
    import hcl2  # only where the file exists: the import costs start-up time

    try:
        with path.open(encoding="utf-8") as file:
            raw = hcl2.load(file)
    except Exception as why:  # the parser raises its own kinds, none of them documented
        raise SettingsError(f"{path}: expected HCL: {str(why).splitlines()[0]}") from None
    flat: dict[str, Any] = {}
    for key, value in raw.items():
        if key.startswith("__"):
            continue
        blocks = value if isinstance(value, list) else [value]
        if len(blocks) != 1:
            raise SettingsError(f"{path}: {key}: expected one block")
        block = blocks[0]
        flat[key] = (
            {k: v for k, v in block.items() if not k.startswith("__")}
            if isinstance(block, dict)
            else block
        )
    _finite(flat, str(path))
    operators: Operators = _convert(_unquoted(flat), Operators, str(path))
    return operators
