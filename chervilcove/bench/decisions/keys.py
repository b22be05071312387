"""Keys of scenario files with their allowed values and defaults."""

from typing import Any

from chervilcove.bench.decisions import schema

LEVELS = ("accelerator", "pair", "quad", "worker", "rack", "data_centre")
URGENCIES = ("urgent", "normal", "batch")
_MONTH_S = 31 * 86400.0

_positive = schema.read_number(0.001, _MONTH_S)
_seconds = schema.read_number(0, _MONTH_S)
_share = schema.read_number(0, 1)
_names = schema.read_list(schema.read_text)

_GUARANTEE = schema.read_object(
    {
        "name": schema.Field(schema.read_text),
        "accelerators": schema.Field(schema.read_number(1, 512, whole=True)),
        "adjacent": schema.Field(schema.read_choice(*LEVELS)),
        "count": schema.Field(schema.read_number(1, 10000, whole=True)),
        "data_centres": schema.Field(_names, []),
    }
)
_CUSTOMER = schema.read_object(
    {
        "name": schema.Field(schema.read_text),
        "weight": schema.Field(schema.read_number(0.001, 1000), 1.0),
        "guarantees": schema.Field(schema.read_list(_GUARANTEE), []),
        "teams": schema.Field(
            schema.read_list(
                schema.read_object(
                    {
                        "name": schema.Field(schema.read_text),
                        "quota": schema.Field(
                            schema.read_number(0, 100000, whole=True)
                        ),
                    }
                ),
                min_items=1,
            )
        ),
    }
)
_POOL = schema.read_object(
    {
        "data_centres": schema.Field(
            schema.read_list(
                schema.read_object(
                    {
                        "name": schema.Field(schema.read_text),
                        "region": schema.Field(schema.read_text, "region"),
                        "racks": schema.Field(
                            schema.read_list(
                                schema.read_number(1, 64, whole=True),
                                min_items=1,
                            )
                        ),
                    }
                ),
                min_items=1,
            )
        ),
        "processors": schema.Field(schema.read_number(1, 4096, whole=True)),
        "memory_gb": schema.Field(schema.read_number(1, 65536, whole=True)),
    }
)
PLATFORM = schema.read_object(
    {
        "round_s": schema.Field(schema.read_number(0.01, 60), 0.25),
        "tick_s": schema.Field(schema.read_number(1, 3600), 60.0),
        "agreement_s": schema.Field(schema.read_number(0, 60), 0.25),
        "start_s": schema.Field(schema.read_number(0, 600), 1.0),
        "stop_s": schema.Field(schema.read_number(0, 600), 2.0),
        "lease_s": schema.Field(schema.read_number(0, 600), 3.0),
        "checkpoint_every_s": schema.Field(_positive, 600.0),
        "checkpoint_on_stop": schema.Field(schema.read_flag, True),
        "fail_after_s": schema.Field(_seconds, 3.0),
        "back_off_s": schema.Field(_seconds, 5.0),
        "back_off_most_s": schema.Field(_seconds, 300.0),
        "failure_limit": schema.Field(
            schema.read_number(1, 1000, whole=True), 8
        ),
    }
)
_SHAPE_FIELDS = {
    "tasks": schema.Field(schema.read_number(1, 64, whole=True), 1),
    "accelerators": schema.Field(schema.read_choice(0, 1, 2, 4, 8)),
    "adjacent": schema.Field(schema.read_choice(*LEVELS), "data_centre"),
    "processors": schema.Field(schema.read_number(0, 4096), 1.0),
    "memory_gb": schema.Field(schema.read_number(0, 65536), 1.0),
}
_JOB_FIELDS = {
    "customer": schema.Field(schema.read_text),
    "kind": schema.Field(schema.read_text),
    "urgency": schema.Field(schema.read_choice(*URGENCIES)),
    "data_centres": schema.Field(_names, []),
    "idempotent": schema.Field(schema.read_flag, True),
    "checkpointable": schema.Field(schema.read_flag, True),
}
_STREAM = schema.read_object(
    {
        **_JOB_FIELDS,
        "teams": schema.Field(_names, []),
        "from_s": schema.Field(_seconds, 0.0),
        "until_s": schema.Field(_seconds, None),
        "per_hour": schema.Field(schema.read_number(0, 100000), 0.0),
        "count": schema.Field(schema.read_number(0, 100000, whole=True), 0),
        "shapes": schema.Field(
            schema.read_list(
                schema.read_object(
                    {
                        **_SHAPE_FIELDS,
                        "weight": schema.Field(
                            schema.read_number(0.0001, 10000), 1.0
                        ),
                    }
                ),
                min_items=1,
            )
        ),
        "run_s": schema.Field(
            schema.read_object(
                {
                    "median": schema.Field(_positive),
                    "sigma": schema.Field(schema.read_number(0, 3), 0.5),
                    "least": schema.Field(_positive, 1.0),
                    "most": schema.Field(_positive, 86400.0),
                }
            )
        ),
        "declared_off": schema.Field(schema.read_number(1, 100), 1.5),
        "size_off": schema.Field(schema.read_number(1, 100), 1.0),
        "faulty_share": schema.Field(_share, 0.0),
    }
)
_JOB = schema.read_object(
    {
        **_JOB_FIELDS,
        **_SHAPE_FIELDS,
        "id": schema.Field(schema.read_text),
        "team": schema.Field(schema.read_text),
        "run_s": schema.Field(_positive),
        "declared_run_s": schema.Field(_positive),
        "faulty": schema.Field(schema.read_flag, False),
    }
)
_EVENT_KEYS: dict[str, dict[str, schema.Field]] = {
    "submit": {"job": schema.Field(_JOB)},
    "cancel": {"job": schema.Field(schema.read_text)},
    "cancel_wave": {
        "share": schema.Field(_share),
        "customer": schema.Field(schema.read_text, ""),
        "submitted_within_s": schema.Field(_positive, _MONTH_S),
    },
    "note": {
        "added": schema.Field(schema.read_list(schema.read_any_object), []),
        "changed": schema.Field(schema.read_list(schema.read_any_object), []),
        "withdrawn": schema.Field(schema.read_list(schema.read_any_object), []),
    },
    "data_centre_out": {
        "data_centre": schema.Field(schema.read_text),
        "notice_s": schema.Field(_seconds, 60.0),
    },
    "data_centre_back": {"data_centre": schema.Field(schema.read_text)},
    "rack_lost": {"rack": schema.Field(schema.read_text)},
    "rack_back": {"rack": schema.Field(schema.read_text)},
    "workers_fail": {"workers": schema.Field(_names)},
    "workers_mend": {"workers": schema.Field(_names)},
}


def _read_event(path: str, value: Any, faults: list[str]) -> Any:
    kind = value.get("kind") if isinstance(value, dict) else None
    if kind not in _EVENT_KEYS:
        faults.append(
            f"{path}.kind: found {kind!r}, "
            f"allowed is one of {', '.join(_EVENT_KEYS)}"
        )
        return {}
    fields = {
        "at_s": schema.Field(_seconds),
        "kind": schema.Field(schema.read_text),
        **_EVENT_KEYS[kind],
    }
    return schema.read_object(fields)(path, value, faults)


SCENARIO = schema.read_object(
    {
        "name": schema.Field(schema.read_text),
        "about": schema.Field(schema.read_text),
        "horizon_s": schema.Field(_positive),
        "drain_s": schema.Field(_seconds, 14400.0),
        "measure_from_s": schema.Field(_seconds, 0.0),
        "large_accelerators": schema.Field(
            schema.read_number(1, 512, whole=True), 16
        ),
        "weighs": schema.Field(
            schema.read_choice("completion", "work_done"), "completion"
        ),
        "pool": schema.Field(_POOL),
        "platform": schema.Field(PLATFORM, None),
        "customers": schema.Field(schema.read_list(_CUSTOMER, min_items=1)),
        "arrivals": schema.Field(schema.read_list(_STREAM), []),
        "events": schema.Field(schema.read_list(_read_event), []),
    }
)
