"""Settings in the form of the platform, with the figures of the two sites' files."""

from __future__ import annotations

from typing import Any


def request_class(
    name: str, aim: float, give_up: float, effect: str, *, value: float = 1.0, window: float = 5.0
) -> dict[str, Any]:
    """Return one entry of `classes`; times are in seconds."""
    return {
        "name": name,
        "aim": aim,
        "giveUp": give_up,
        "effect": effect,
        "group": "all",
        "repeatWindow": window,
        "value": value,
        "lateWorth": 0.25,
        "streaming": False,
    }


def bhorti() -> dict[str, Any]:
    """Return settings of the site bhorti-portal for one router."""
    return {
        "areas": ["salt-lake", "howrah", "barasat", "kalyani"],
        "classes": [
            request_class("seat-view", 1.5, 6.0, "free"),
            request_class("fee-record", 2.5, 6.0, "guarded", value=10.0, window=4.0),
            request_class("seat-lock", 1.0, 2.0, "single_shot", value=3.0),
        ],
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 3, "originFallMultiple": 0.0},
        "limits": {
            "connIdle": 30.0,
            "dialTimeout": 0.25,
            "maxRetryAfter": 2.0,
            "mayCancel": True,
            "mostTries": 6,
            "multiplex": 32,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "secondCopies": True,
        },
        "me": 0,
        "membershipMode": "subscribe",
        "penalties": {"connection": 0.0, "handshake": 0.02},
        "resolution": 0.005,
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": 0.13,
            "fallMultiple": 3.0,
            "mustAskIn": 10.0,
            "overloadFor": 1.5,
            "rampTime": 23.0,
            "stopSendingWithin": 2.5,
        },
        "siblings": 4,
        "skus": ["big-box", "mid-box", "small-box", "origin"],
        "tenants": [],
        "weights": "nominal",
        "zone": "salt-lake",
    }


def jawa() -> dict[str, Any]:
    """Return settings of the site jawa-praktikum for one router."""
    settings = bhorti()
    settings["areas"] = ["jkt", "bdg", "smg"]
    settings["zone"] = "jkt"
    settings["classes"] = [
        request_class("open-sim", 0.75, 2.0, "free", value=2.0),
        request_class("submit-run", 1.2, 4.0, "guarded", value=10.0, window=4.0),
        request_class("use-credit", 1.5, 3.0, "single_shot", value=8.0),
    ]
    settings["familyInfo"] = {"mode": "aside", "originKind": 2, "originFallMultiple": 0.0}
    settings["skus"] = ["fast", "standard", "origin"]
    settings["limits"] |= {
        "connIdle": 10.0,
        "mostTries": 5,
        "multiplex": 128,
        "retryAfter": True,
        "secondCopies": False,
    }
    settings["rules"] |= {"coldFrom": 0.32, "overloadFor": 3.0, "rampTime": 9.0, "stopSendingWithin": 0.5}
    settings["siblings"] = 2
    return settings
