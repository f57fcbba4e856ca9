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

SUBMISSION = {
    name: name
    for name in (
        "id",
        "workload",
        "owner",
        "shape",
        "urgency",
        "shares",
        "cpus",
        "accelerators",
        "ram_gb",
        "bundle",
        "size_gb",
        "same_place",
        "spread",
        "loaners",
        "expect_s",
        "snapshot_s",
        "flush_s",
        "hulls",
        "yard",
        "due_s",
        "awaits",
    )
}
SPEC = {
    name: name
    for name in (
        "id",
        "job_class",
        "team",
        "kind",
        "priority",
        "tasks",
        "cpus",
        "gpus",
        "memory_gb",
        "image",
        "image_gb",
        "one_zone",
        "spread",
        "spot",
        "estimate_s",
        "checkpoint_s",
        "save_s",
        "types",
        "zone",
        "deadline_s",
        "needs",
    )
}
TASK_REPORT = {
    "share": "share",
    "try": "attempt",
    "status": "status",
    "cause": "cause",
    "kept": "kept",
}
REPORT = {
    name: name
    for name in (
        "berth",
        "address",
        "hull",
        "yard",
        "tenure",
        "tally",
        "warrant",
        "loaners",
        "recall_s",
        "shares",
    )
}
ORDER = {"verb": "verb", "share": "share", "try": "attempt", "leeway_s": "leeway_s"}
MACHINE_TYPE = {
    name: name
    for name in (
        "label",
        "cpus",
        "accelerators",
        "ram_gb",
        "cache_gb",
        "fetch_gb_per_s",
        "price",
        "low_price",
        "boot_s",
        "yards",
    )
}
HOST = {name: name for name in ("id", "address", "hull", "yard", "status", "loaners", "age_s")}


def read_submission(body: Plain) -> Plain:
    """`POST /v2/runs`: the submission under its wire names."""
    return attributes_of(messages.decode_run(to_bytes(body)), SUBMISSION)


def write_submission(values: Plain) -> Plain:
    """A submission's bytes."""
    return encoded(struct_from(messages.Run, SUBMISSION, values))


def accept_submission(body: Plain) -> Plain:
    """The job that a submission becomes, under its stored names."""
    return attributes_of(messages.spec_of(messages.decode_run(to_bytes(body))), SPEC)


def report_to_values(report: messages.Report) -> Plain:
    """A worker's report under its wire names."""
    tasks = [attributes_of(item, TASK_REPORT) for item in report.shares]
    return attributes_of(report, REPORT) | {"shares": tasks}


def read_report(body: Plain) -> Plain:
    """`POST /checkin`, and a worker's answer to direct orders."""
    return report_to_values(messages.decode_report(to_bytes(body)))


def write_report(values: Plain) -> Plain:
    """A report's bytes."""
    tasks = [struct_from(messages.Held, TASK_REPORT, item) for item in values["shares"]]
    return encoded(struct_from(messages.Report, REPORT, values | {"shares": tasks}))


def orders_from(values: list[Plain]) -> list[messages.Order]:
    """Orders from values under their wire names."""
    return [struct_from(messages.Order, ORDER, item) for item in values]


def write_orders(values: Plain) -> Plain:
    """The answer to a check-in."""
    return encoded(messages.Orders(values["warrant"], orders_from(values["orders"])))


def read_orders(body: Plain) -> Plain:
    """The same bytes read back, each default included."""
    found = msgspec.json.decode(to_bytes(body), type=messages.Orders)
    return {
        "warrant": found.warrant,
        "orders": [attributes_of(order, ORDER) for order in found.orders],
    }


def write_direct_orders(values: Plain) -> Plain:
    """The body of `POST /orders` to a worker."""
    orders = orders_from(values["orders"])
    return encoded(messages.DirectOrders(values["warrant"], values["tenure"], orders))


def read_direct_orders(body: Plain) -> Plain:
    """The same bytes read back."""
    found = msgspec.json.decode(to_bytes(body), type=messages.DirectOrders)
    orders = [attributes_of(order, ORDER) for order in found.orders]
    return {"warrant": found.warrant, "tenure": found.tenure, "orders": orders}


def write_status_answer(values: Plain) -> Plain:
    """The answer about a job."""
    return messages.status_answer(**values).decode()


def split_task_name(name: str) -> Plain:
    """Job and task number of a task's name on the wire."""
    return plain(messages.split_task(name))


def join_task_name(values: Plain) -> Plain:
    """The inverse of `split_task_name`."""
    return messages.task_name(values[0], values[1])


def read_catalog(body: Plain) -> Plain:
    """`GET /catalog` of the cloud."""
    found = msgspec.json.decode(to_bytes(body), type=messages.Catalog)
    return [attributes_of(item, MACHINE_TYPE) for item in found.hulls]


def write_catalog(values: Plain) -> Plain:
    """A catalog's bytes."""
    return encoded(messages.Catalog([machine_type_from(item) for item in values]))


def machine_type_from(values: Plain) -> messages.MachineType:
    """A machine type from values under their wire names."""
    found: messages.MachineType = struct_from(messages.MachineType, MACHINE_TYPE, values)
    return found


def read_hosts(body: Plain) -> Plain:
    """`GET /hosts` of the cloud: one page of the list."""
    found = msgspec.json.decode(to_bytes(body), type=messages.Hosts)
    hosts = [attributes_of(item, HOST) for item in found.berths]
    return {"berths": hosts, "truncated": found.truncated}


def write_hosts(values: Plain) -> Plain:
    """A page's bytes."""
    hosts = [struct_from(messages.Host, HOST, item) for item in values["berths"]]
    return encoded(messages.Hosts(hosts, values["truncated"]))


def read_rented(body: Plain) -> Plain:
    """The answer to `POST /hosts`: names of machines."""
    return msgspec.json.decode(to_bytes(body), type=messages.Rented).berths


def write_rented(values: Plain) -> Plain:
    """The same bytes."""
    return encoded(messages.Rented(values))
