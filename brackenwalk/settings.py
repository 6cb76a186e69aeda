"""Reads settings from JSON, as both the simulator and the router's configuration give them."""

from __future__ import annotations

import math
from typing import Any

from brackenwalk import interface as api

RETRY_SAFETY = {
    "free": api.RetrySafety.SAFE,
    "guarded": api.RetrySafety.KEYED,
    "single_shot": api.RetrySafety.UNSAFE,
}


def read_number(
    table: dict[str, Any], field: str, default: float, prefix: str, minimum: float = 0.0
) -> float:
    """Return a number, or the default if the field is absent.

    Raises SettingsError, which names the field by `prefix` and its key, if it is no number or too small.
    """
    value = table.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
        raise api.SettingsError(
            f"settings: {prefix}{field} must be a number of at least {minimum:g}, not {value!r}"
        )
    return value


def read_choice(table: dict[str, Any], field: str, default: str, choices: dict[str, Any], prefix: str) -> Any:
    """Return what a word stands for in `choices`, or the default word if the field is absent.

    Raises SettingsError for any other value.
    """
    value = table.get(field)
    value = default if value is None else value
    if not isinstance(value, str) or value not in choices:
        raise api.SettingsError(
            f"settings: {prefix}{field} must be one of {', '.join(choices)}, not {value!r}"
        )
    return choices[value]


def read_section(conf: dict[str, Any], field: str) -> dict[str, Any]:
    """Return a nested object, empty if the field is absent. Raises SettingsError for other values."""
    value = conf.get(field)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"settings: {field} must be an object, not {value!r}")
    return value


def read_rows(conf: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if the field is absent. Raises SettingsError if one has no name."""
    value = conf.get(field)
    value = [] if value is None else value
    if not isinstance(value, list) or not all(isinstance(r, dict) for r in value):
        raise api.SettingsError(f"settings: {field} must be a list of objects")
    for i, row in enumerate(value):
        if not isinstance(row.get("name"), str):
            raise api.SettingsError(f"settings: {field}[{i}].name is missing")
    return value


def read_class(row: dict[str, Any]) -> api.RequestClass:
    """Read a request class; without a stated effect it is taken not to be safe to retry."""
    prefix = f"classes[{row['name']}]."
    groups = {g.value: g for g in api.RepeatGroup}
    return api.RequestClass(
        name=row["name"],
        aim=read_number(row, "aim", read_number(row, "giveUp", 1.0, prefix), prefix),
        retry_safety=read_choice(row, "effect", "single_shot", RETRY_SAFETY, prefix),
        repeat_group=read_choice(row, "group", "cell", groups, prefix),
        repeat_window=read_number(row, "repeatWindow", 0.0, prefix),
        value=read_number(row, "value", 1.0, prefix),
        client_timeout=read_number(row, "giveUp", math.inf, prefix),
    )


def read_settings(conf: Any) -> api.Settings:
    """Read all settings; unknown keys are ignored, and absent ones take their defaults.

    Raises SettingsError, which names the field, for a value that can't be used.
    """
    if not isinstance(conf, dict):
        raise api.SettingsError("settings: conf must be an object")
    classes = {row["name"]: read_class(row) for row in read_rows(conf, "classes")}
    if not classes:
        raise api.SettingsError("settings: classes is empty")
    limits, rules, info = (
        read_section(conf, "limits"),
        read_section(conf, "rules"),
        read_section(conf, "familyInfo"),
    )
    costs = read_section(conf, "penalties")
    kinds = conf.get("skus") or []
    origin = int(read_number(info, "originKind", -1, "familyInfo.", -1))
    return api.Settings(
        classes=classes,
        resolution=read_number(conf, "resolution", 0.005, ""),
        aside=read_choice(info, "mode", "through", {"aside": True, "through": False}, "familyInfo."),
        origin_kind=str(kinds[origin]) if 0 <= origin < len(kinds) else None,
        subscribe=read_choice(
            conf, "membershipMode", "automatic", {"subscribe": True, "automatic": False}, ""
        ),
        live_weights=conf.get("weights") == "live",
        second_copies=bool(limits.get("secondCopies", False)),
        may_cancel=bool(limits.get("mayCancel", False)),
        may_gossip=bool(limits.get("peers", False)),
        max_attempts=max(1, int(read_number(limits, "mostTries", 1, "limits."))),
        siblings=max(1, int(read_number(conf, "siblings", 1, ""))),
        sibling_index=int(read_number(conf, "me", 0, "")),
        idle_timeout=read_number(limits, "connIdle", 60.0, "limits."),
        dial_timeout=read_number(limits, "dialTimeout", 0.25, "limits."),
        max_retry_after=read_number(limits, "maxRetryAfter", 0.0, "limits."),
        connection_cost=read_number(costs, "connection", 0.0, "penalties."),
        handshake_cost=read_number(costs, "handshake", 0.0, "penalties."),
        cold_share=read_number(rules, "coldFrom", 0.3, "rules."),
        ramp=read_number(rules, "rampTime", 10.0, "rules."),
        overload_factor=read_number(rules, "fallMultiple", 2.0, "rules."),
        overload_window=read_number(rules, "overloadFor", 1.0, "rules."),
        drain_grace=read_number(rules, "stopSendingWithin", 1.0, "rules."),
        max_list_age=read_number(rules, "mustAskIn", 10.0, "rules."),
    )
