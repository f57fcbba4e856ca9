"""HTTP bodies, under their wire names."""

from __future__ import annotations

import msgspec

from ashdock.wire import messages
from tests.forms.adapter.values import (
    Plain,
    attributes_of,
    encoded,
    plain,
    struct_from,
    to_bytes,
)

# By the name on the wire or in the store: the attribute that carries the field.
SUBMISSION = {
    "id": "id",
    "workload": "job_class",
    "owner": "team",
    "shape": "kind",
    "urgency": "priority",
    "shares": "tasks",
    "cpus": "cpus",
    "accelerators": "gpus",
    "ram_gb": "memory_gb",
    "bundle": "image",
    "size_gb": "image_gb",
    "same_place": "one_zone",
    "spread": "spread",
    "loaners": "spot",
    "expect_s": "estimate_s",
    "snapshot_s": "checkpoint_s",
    "flush_s": "save_s",
    "hulls": "machine_types",
    "yard": "zone",
    "due_s": "deadline_s",
    "awaits": "dependencies",
}
SPEC = {
    "id": "id",
    "job_class": "job_class",
    "team": "team",
    "kind": "kind",
    "priority": "priority",
    "tasks": "tasks",
    "cpus": "cpus",
    "gpus": "gpus",
    "memory_gb": "memory_gb",
    "image": "image",
    "image_gb": "image_gb",
    "one_zone": "one_zone",
    "spread": "spread",
    "spot": "spot",
    "estimate_s": "estimate_s",
    "checkpoint_s": "checkpoint_s",
    "save_s": "save_s",
    "types": "machine_types",
    "zone": "zone",
    "deadline_s": "deadline_s",
    "needs": "dependencies",
}
TASK_REPORT = {
    "share": "task",
    "try": "attempt",
    "status": "status",
    "cause": "cause",
    "kept": "saved",
}
HEARTBEAT = {
    "berth": "machine",
    "address": "address",
    "hull": "machine_type",
    "yard": "zone",
    "tenure": "incarnation",
    "tally": "sequence",
    "warrant": "fencing_token",
    "loaners": "spot",
    "recall_s": "reclaim_in_s",
    "shares": "tasks",
}
COMMAND = {"verb": "verb", "share": "task", "try": "attempt", "leeway_s": "grace_s"}
MACHINE_TYPE = {
    "label": "label",
    "cpus": "cpus",
    "accelerators": "gpus",
    "ram_gb": "memory_gb",
    "cache_gb": "cache_gb",
    "fetch_gb_per_s": "fetch_gb_per_s",
    "price": "price",
    "low_price": "spot_price",
    "boot_s": "boot_s",
    "yards": "zones",
}
HOST = {
    "id": "id",
    "address": "address",
    "hull": "machine_type",
    "yard": "zone",
    "status": "status",
    "loaners": "spot",
    "age_s": "age_s",
}


def read_submission(body: Plain) -> Plain:
    """`POST /v2/runs`: the submission under its wire names."""
    return attributes_of(messages.decode_submission(to_bytes(body)), SUBMISSION)


def write_submission(values: Plain) -> Plain:
    """A submission's bytes."""
    return encoded(struct_from(messages.JobSubmission, SUBMISSION, values))


def accept_submission(body: Plain) -> Plain:
    """The job that a submission becomes, under its stored names."""
    return attributes_of(messages.job_spec_of(messages.decode_submission(to_bytes(body))), SPEC)


def report_to_values(report: messages.Heartbeat) -> Plain:
    """A worker's report under its wire names."""
    tasks = [attributes_of(item, TASK_REPORT) for item in report.tasks]
    return attributes_of(report, HEARTBEAT) | {"shares": tasks}


def read_report(body: Plain) -> Plain:
    """`POST /checkin`, and a worker's answer to direct orders."""
    return report_to_values(messages.decode_heartbeat(to_bytes(body)))


def write_report(values: Plain) -> Plain:
    """A report's bytes."""
    tasks = [struct_from(messages.TaskReport, TASK_REPORT, item) for item in values["shares"]]
    return encoded(struct_from(messages.Heartbeat, HEARTBEAT, values | {"shares": tasks}))


def orders_from(values: list[Plain]) -> list[messages.TaskCommand]:
    """Orders from values under their wire names."""
    return [struct_from(messages.TaskCommand, COMMAND, item) for item in values]


def write_orders(values: Plain) -> Plain:
    """The answer to a check-in."""
    return encoded(messages.HeartbeatResponse(values["warrant"], orders_from(values["orders"])))


def read_orders(body: Plain) -> Plain:
    """The same bytes read back, each default included."""
    found = msgspec.json.decode(to_bytes(body), type=messages.HeartbeatResponse)
    return {
        "warrant": found.fencing_token,
        "orders": [attributes_of(order, COMMAND) for order in found.commands],
    }


def write_direct_orders(values: Plain) -> Plain:
    """The body of `POST /orders` to a worker."""
    orders = orders_from(values["orders"])
    return encoded(messages.DirectCommands(values["warrant"], values["tenure"], orders))


def read_direct_orders(body: Plain) -> Plain:
    """The same bytes read back."""
    found = msgspec.json.decode(to_bytes(body), type=messages.DirectCommands)
    commands = [attributes_of(order, COMMAND) for order in found.commands]
    return {"warrant": found.fencing_token, "tenure": found.incarnation, "orders": commands}


def write_status_answer(values: Plain) -> Plain:
    """The answer about a job."""
    return messages.status_response_body(**values).decode()


def split_task_name(name: str) -> Plain:
    """Job and task number of a task's name on the wire."""
    return plain(messages.split_task(name))


def join_task_name(values: Plain) -> Plain:
    """The inverse of `split_task_name`."""
    return messages.task_name(values[0], values[1])


def read_catalog(body: Plain) -> Plain:
    """`GET /catalog` of the cloud."""
    found = msgspec.json.decode(to_bytes(body), type=messages.Catalog)
    return [attributes_of(item, MACHINE_TYPE) for item in found.machine_types]


def write_catalog(values: Plain) -> Plain:
    """A catalog's bytes."""
    return encoded(messages.Catalog([machine_type_from(item) for item in values]))


def machine_type_from(values: Plain) -> messages.MachineType:
    """A machine type from values under their wire names."""
    found: messages.MachineType = struct_from(messages.MachineType, MACHINE_TYPE, values)
    return found


def read_hosts(body: Plain) -> Plain:
    """`GET /hosts` of the cloud: one page of the list."""
    found = msgspec.json.decode(to_bytes(body), type=messages.HostPage)
    hosts = [attributes_of(item, HOST) for item in found.machines]
    return {"berths": hosts, "truncated": found.truncated}


def write_hosts(values: Plain) -> Plain:
    """A page's bytes."""
    hosts = [struct_from(messages.Host, HOST, item) for item in values["berths"]]
    return encoded(messages.HostPage(hosts, values["truncated"]))


def read_rented(body: Plain) -> Plain:
    """The answer to `POST /hosts`: names of machines."""
    return msgspec.json.decode(to_bytes(body), type=messages.RentalResponse).machines


def write_rented(values: Plain) -> Plain:
    """The same bytes."""
    return encoded(messages.RentalResponse(values))
