"""Every use of a name of `ashdock` in the corpus: a rename there changes this package only.

Each operation takes plain JSON values and returns plain JSON values. Structs appear under their wire
or stored names, frames as positional values in wire order, errors as a neutral type and their text.
Tables map those names to attributes of the present code.
"""

from __future__ import annotations

from collections.abc import Callable

from tests.forms.adapter.answers import front_answer
from tests.forms.adapter.bodies import (
    accept_submission,
    join_task_name,
    read_catalog,
    read_direct_orders,
    read_hosts,
    read_orders,
    read_rented,
    read_report,
    read_submission,
    split_task_name,
    write_catalog,
    write_direct_orders,
    write_hosts,
    write_orders,
    write_rented,
    write_report,
    write_status_answer,
    write_submission,
)
from tests.forms.adapter.changes import read_again, watch_changes
from tests.forms.adapter.exchanges import exchange
from tests.forms.adapter.frames import (
    FRAME_BODY_LIMIT,
    FRAME_HEAD_BYTES,
    FRAME_KINDS,
    read_frame,
    read_frame_cut_short,
    write_frame,
    write_large_frame,
    write_no_frame,
)
from tests.forms.adapter.records import (
    read_charter,
    read_chunk,
    read_job_record,
    read_layouts,
    read_life,
    read_machine,
    read_members,
    read_parks,
    read_part_owner,
    read_seat,
    rewrite_machine,
    trim_machine,
    write_chunk,
    write_fitting_job_record,
    write_job_record,
    write_leader_machine,
    write_parks,
)
from tests.forms.adapter.settings import read_operators, read_settings
from tests.forms.adapter.takeovers import take_over_leadership, take_over_part
from tests.forms.adapter.values import Plain, attempt
from tests.forms.adapter.writers import read_kept_catalog, read_upgrade, transactions

__all__ = [
    "FRAME_BODY_LIMIT",
    "FRAME_HEAD_BYTES",
    "FRAME_KINDS",
    "OPERATIONS",
    "Operation",
    "attempt",
    "read_operators",
    "read_settings",
    "replay",
]

Operation = Callable[[Plain], Plain]

OPERATIONS: dict[str, Operation] = {
    function.__name__: function
    for function in (
        read_frame,
        write_frame,
        read_frame_cut_short,
        write_large_frame,
        write_no_frame,
        read_submission,
        write_submission,
        accept_submission,
        read_report,
        write_report,
        read_orders,
        write_orders,
        read_direct_orders,
        write_direct_orders,
        write_status_answer,
        split_task_name,
        join_task_name,
        read_catalog,
        write_catalog,
        read_hosts,
        write_hosts,
        read_rented,
        write_rented,
        read_job_record,
        write_job_record,
        write_fitting_job_record,
        read_chunk,
        write_chunk,
        read_layouts,
        read_parks,
        write_parks,
        read_machine,
        rewrite_machine,
        trim_machine,
        write_leader_machine,
        read_charter,
        read_life,
        read_members,
        read_part_owner,
        read_seat,
        read_upgrade,
        read_kept_catalog,
        watch_changes,
        read_again,
        take_over_part,
        take_over_leadership,
        exchange,
        transactions,
        front_answer,
    )
}


def replay(operation: str, given: Plain) -> Plain:
    """What the present code makes of the input of a case: values, or `{"error": ...}`."""
    return attempt(lambda: OPERATIONS[operation](given))
