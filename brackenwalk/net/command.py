"""Client commands: parsing, validation, and the list of names and values that is passed on."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_VALUE_BYTES = 64 * 1024
MAX_KEY_BYTES = 1024
MAX_INFO_BYTES = 1024
MAX_DEADLINE_MS = 600_000
VISIBLE_ASCII = re.compile(rb"[!-~]+")
# Paths with a meaning of their own at the origin, and dot segments, which are removed when a path is
# resolved. As keys they would be other requests.
RESERVED_KEYS = (b".", b"..", b"stats", b"health/live")


class CommandError(ValueError):
    """A command that cannot be accepted; the message is sent to the client."""


@dataclass(slots=True, frozen=True)
class Command:
    """One read or write, as a client sent it."""

    verb: bytes
    key: bytes
    request_id: bytes
    info: dict[str, str]
    deadline_ms: int
    value: bytes | None = None

    @property
    def write(self) -> bool:
        """Whether the command writes a value."""
        return self.value is not None

    @property
    def size(self) -> int:
        """The bytes of the key and the value."""
        return len(self.key) + len(self.value or b"")

    def encode_info(self, time_left: float) -> bytes:
        """Return the names and values in their order, with `d` set to `time_left` (in seconds) as ms."""
        fields = self.info | {"d": str(max(1, int(time_left * 1000)))}
        return ",".join(f"{name}={value}" for name, value in fields.items()).encode()


def read_info(text: bytes) -> dict[str, str]:
    """Parse the list of names and values behind the request id. Raises `CommandError` if it is malformed."""
    # A line break passed on to the origin would start another header or another request.
    if len(text) > MAX_INFO_BYTES or not VISIBLE_ASCII.fullmatch(text):
        raise CommandError("names and values must be visible ASCII, 1024 bytes at most")
    info: dict[str, str] = {}
    for pair in text.decode().split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in info:
            raise CommandError(f"not a new name with its value: {pair[:40]}")
        info[name] = value
    return info


def read_command(parts: object) -> Command:
    """Return the command of a parsed RESP2 message. Raises `CommandError` if it is invalid."""
    if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts) or not parts:
        raise CommandError("a command is an array of bulk strings")
    verb = parts[0].upper()
    if verb not in (b"C.GET", b"C.SET"):
        raise CommandError(f"unknown command {parts[0][:20]!r}")
    if len(parts) != (4 if verb == b"C.GET" else 5):
        raise CommandError(f"wrong number of arguments for {verb.decode()}")
    key, request_id = parts[1], parts[2]
    if not 0 < len(key) <= MAX_KEY_BYTES or key in RESERVED_KEYS:
        raise CommandError("key is empty, too long or reserved")
    if len(request_id) > 64 or not VISIBLE_ASCII.fullmatch(request_id):
        raise CommandError("request id must be visible ASCII, 64 bytes at most")
    info = read_info(parts[3])
    deadline = info.get("d", "")
    # Bounds how long a request stays in the table, which would otherwise fill with answered requests.
    if not deadline.isdigit() or len(deadline) > 9 or int(deadline) > MAX_DEADLINE_MS:
        raise CommandError("d must be a whole number of milliseconds, 600000 at most")
    value = parts[4] if verb == b"C.SET" else None
    if value is not None and len(value) > MAX_VALUE_BYTES:
        raise CommandError("value is longer than 65536 bytes")
    return Command(parts[0], key, request_id, info, int(deadline), value)
