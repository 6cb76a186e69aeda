"""The client side of HTTP/1.1, without I/O: one request and its response at a time."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

MAX_FRAMING_BYTES = 16 * 1024  # limit for a head, a chunk header, or the last chunk header with the trailers
MAX_INFORMATIONAL = 16  # limit on the informational responses before the final one
# Bytes of a head or of chunks passed to h11 at once, as h11 copies all bytes not yet read at each event.
FEED_BYTES = 4096
# The grammar of heads and chunk headers. h11 also accepts line ends without CR, folded lines, other
# versions, control characters and chunk extensions of any form (RFC 9112, sections 2.2, 4, 5 and 7.1). With
# these, a head or body read here could end elsewhere than the sender's.
TEXT = rb"[\t \x21-\x7e\x80-\xff]"
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELDS = rb"(?:" + TOKEN + rb":" + TEXT + rb"*\r\n)*\r\n"
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\' + TEXT + rb')*"'
EXTENSION = rb"[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + QUOTED + rb"))?"
HEAD = re.compile(rb"HTTP/1\.[0-9] [0-9]{3} " + TEXT + rb"*\r\n" + FIELDS)
# Chunk headers, each with the line end of the chunk before it.
CHUNK = re.compile(rb"(?:\r\n)?[0-9A-Fa-f]+(?:" + EXTENSION + rb")*\r\n")
LAST_CHUNK = re.compile(rb"(?:\r\n)?0+(?:" + EXTENSION + rb")*\r\n" + FIELDS)
LENGTHS = re.compile(rb"\r\ncontent-length:([^\r]*)", re.IGNORECASE)  # h11 merges equal ones


class HttpError(Exception):
    """A response that violates the protocol, exceeds the limit on its size, or ends early."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response. Header names are in lower case; repeated headers are joined by commas."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """The client side of one connection; `max_body` limits the bytes of a response's body."""

    def __init__(self, address: str, max_body: int) -> None:
        self.address = address
        self.max_body = max_body
        self.connection = h11.Connection(h11.CLIENT, MAX_FRAMING_BYTES)
        self.head: h11.Response | None = None
        self.informational_count = 0  # responses of this exchange so far
        self.body = bytearray()
        self.raw = b""  # bytes received since h11's last event
        self.feed_bytes = FEED_BYTES

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """Return the bytes of a request, and prepare to receive its response."""
        if self.connection.our_state is not h11.IDLE:
            self.connection.start_next_cycle()
        self.head = None
        self.informational_count = 0
        self.body.clear()
        self.raw = b""
        self.feed_bytes = FEED_BYTES
        fields = [(b"Host", self.address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self.connection.send(e) or b"" for e in events)

    def receive(self, data: bytes) -> Response | None:
        """Parse received bytes, or the end of the connection if empty.

        Return the response once it is complete, else None. Raises `HttpError` if it is malformed, too long or
        truncated.
        """
        response, offset = None, 0
        while offset == 0 or offset < len(data):
            part = data[offset : offset + self.feed_bytes]
            offset += self.feed_bytes
            try:
                self.connection.receive_data(part)
                self.raw += part
                response = response or self._read()
            except h11.RemoteProtocolError as e:
                raise HttpError(str(e)) from e
        return response

    def _read(self) -> Response | None:
        while (event := self.connection.next_event()) is not h11.NEED_DATA:
            raw = self._consumed()
            if isinstance(event, (h11.Response, h11.InformationalResponse)):
                self._check(HEAD, raw)
                self._check_length(event, raw)
                if isinstance(event, h11.Response):
                    self.head = event
                    chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
                    self.feed_bytes = FEED_BYTES if chunked else max(FEED_BYTES, self.max_body)
                else:
                    self.informational_count += 1
                    if self.informational_count > MAX_INFORMATIONAL:
                        raise HttpError(f"more than {MAX_INFORMATIONAL} informational responses")
            elif isinstance(event, h11.Data):
                if framing := raw[: -len(event.data)]:
                    self._check(CHUNK, framing)
                self.body += event.data
                if len(self.body) > self.max_body:
                    raise HttpError(f"body longer than {self.max_body} bytes")
            elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                if raw:  # only chunked bodies have framing at their end
                    self._check(LAST_CHUNK, raw)
                    self._check_trailers(event)
                headers: dict[bytes, bytes] = {}
                for name, value in self.head.headers:
                    headers[name] = headers[name] + b", " + value if name in headers else value
                body, self.body = bytes(self.body), bytearray()  # an idle connection holds none
                return Response(self.head.status_code, headers, body)
            else:
                raise HttpError(f"{event!r} instead of a response")
        return None

    def _consumed(self) -> bytes:
        """Return the bytes that h11 has consumed for its last event."""
        unread, _ = self.connection.trailing_data
        consumed, self.raw = self.raw[: len(self.raw) - len(unread)], unread
        return consumed

    @staticmethod
    def _check(grammar: re.Pattern[bytes], framing: bytes) -> None:
        if len(framing) > MAX_FRAMING_BYTES or not grammar.fullmatch(framing):
            raise HttpError(f"framing is malformed or over {MAX_FRAMING_BYTES} bytes: {framing[:80]!r}")

    @staticmethod
    def _check_length(event: h11.Response | h11.InformationalResponse, head: bytes) -> None:
        """Reject ambiguous lengths (RFC 9112, section 6).

        h11 prefers chunks to a length, so that a body could end elsewhere than the sender's.
        """
        lengths = LENGTHS.findall(head)
        chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        if len(lengths) > 1 or b"," in b"".join(lengths):
            raise HttpError("Content-Length is repeated")
        if chunked and (lengths or event.http_version == b"1.0"):
            raise HttpError("chunked body with a Content-Length or in HTTP/1.0")

    @staticmethod
    def _check_trailers(event: h11.EndOfMessage) -> None:
        if any(name in (b"content-length", b"transfer-encoding") for name, _ in event.headers):
            raise HttpError("trailers contain Content-Length or Transfer-Encoding")

    def reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        done = self.connection.our_state is self.connection.their_state is h11.DONE
        return done and not any(self.connection.trailing_data)  # neither extra bytes nor a close
