"""One HTTP/1.1 request and its response at a time, as bytes in and out."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

MAX_FRAMING_BYTES = 16 * 1024  # of a head, of a chunk's line, or of the last one's with the trailers
MAX_INFORMATIONAL = 16  # answers before the one that counts
# bytes of a head or of chunks that h11 gets together: those that it has not read are copied at each event
PARSE_CHUNK_BYTES = 4096
# guards against another end of a head or body than the sender's: h11 lets pass line ends without CR, folded
# lines, other versions, control characters and chunk extensions of any form (RFC 9112, 2.2, 4, 5 and 7.1)
TEXT = rb"[\t \x21-\x7e\x80-\xff]"
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELDS = rb"(?:" + TOKEN + rb":" + TEXT + rb"*\r\n)*\r\n"
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\' + TEXT + rb')*"'
EXTENSION = rb"[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + QUOTED + rb"))?"
HEAD = re.compile(rb"HTTP/1\.[0-9] [0-9]{3} " + TEXT + rb"*\r\n" + FIELDS)
# each with the end of the chunk before it
CHUNK = re.compile(rb"(?:\r\n)?[0-9A-Fa-f]+(?:" + EXTENSION + rb")*\r\n")
LAST_CHUNK = re.compile(rb"(?:\r\n)?0+(?:" + EXTENSION + rb")*\r\n" + FIELDS)
LENGTHS = re.compile(rb"\r\ncontent-length:([^\r]*)", re.IGNORECASE)  # h11 tells but one of equal ones


class HttpError(Exception):
    """A response that breaks the protocol, the bound on its size, or off."""


@dataclass(slots=True, frozen=True)
class Response:
    """A whole response; header names are in lower case, and one that came twice has both values."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """The client's side of one connection."""

    def __init__(self, address: str, max_body: int) -> None:
        self.address = address
        self.max_body = max_body
        self.connection = h11.Connection(h11.CLIENT, MAX_FRAMING_BYTES)
        self.head: h11.Response | None = None
        self.informational = 0  # of its answers so far
        self.body = bytearray()
        self.raw = b""  # bytes that came since h11's last event
        self.step = PARSE_CHUNK_BYTES

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """The bytes of a request."""
        if self.connection.our_state is not h11.IDLE:
            self.connection.start_next_cycle()
        self.head = None
        self.informational = 0
        self.body.clear()
        self.raw = b""
        self.step = PARSE_CHUNK_BYTES
        fields = [(b"Host", self.address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self.connection.send(e) or b"" for e in events)

    def receive(self, data: bytes) -> Response | None:
        """Take bytes, none at the connection's end, and answer with the response once it is whole."""
        response, at = None, 0
        while at == 0 or at < len(data):
            piece = data[at : at + self.step]
            at += self.step
            try:
                self.connection.receive_data(piece)
                self.raw += piece
                response = response or self._read()
            except h11.RemoteProtocolError as e:
                raise HttpError(str(e)) from e
        return response

    def _read(self) -> Response | None:
        while (event := self.connection.next_event()) is not h11.NEED_DATA:
            raw = self._taken()
            if isinstance(event, (h11.Response, h11.InformationalResponse)):
                self._check(HEAD, raw)
                self._check_length(event, raw)
                if isinstance(event, h11.Response):
                    self.head = event
                    chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
                    self.step = PARSE_CHUNK_BYTES if chunked else max(PARSE_CHUNK_BYTES, self.max_body)
                else:
                    self.informational += 1
                    if self.informational > MAX_INFORMATIONAL:
                        raise HttpError(f"over {MAX_INFORMATIONAL} informational responses")
            elif isinstance(event, h11.Data):
                if framing := raw[: -len(event.data)]:
                    self._check(CHUNK, framing)
                self.body += event.data
                if len(self.body) > self.max_body:
                    raise HttpError(f"body of over {self.max_body} bytes")
            elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                if raw:  # other bodies end with their last byte
                    self._check(LAST_CHUNK, raw)
                    self._check_trailers(event)
                headers: dict[bytes, bytes] = {}
                for name, value in self.head.headers:
                    headers[name] = headers[name] + b", " + value if name in headers else value
                return Response(self.head.status_code, headers, bytes(self.body))
            else:
                raise HttpError(f"no response but {event!r}")
        return None

    def _taken(self) -> bytes:
        """The bytes that h11 has read for its last event."""
        left, _ = self.connection.trailing_data
        taken, self.raw = self.raw[: len(self.raw) - len(left)], left
        return taken

    @staticmethod
    def _check(grammar: re.Pattern[bytes], framing: bytes) -> None:
        if len(framing) > MAX_FRAMING_BYTES or not grammar.fullmatch(framing):
            raise HttpError(f"malformed, or over {MAX_FRAMING_BYTES} bytes: {framing[:80]!r}")

    @staticmethod
    def _check_length(event: h11.Response | h11.InformationalResponse, head: bytes) -> None:
        """Guards against a body that is not the sender's: h11 takes chunks before a length (RFC 9112, 6)."""
        lengths = LENGTHS.findall(head)
        chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        if len(lengths) > 1 or b"," in b"".join(lengths):
            raise HttpError("a repeated length")
        if chunked and (lengths or event.http_version == b"1.0"):
            raise HttpError("chunks with a length, or of HTTP/1.0")

    @staticmethod
    def _check_trailers(event: h11.EndOfMessage) -> None:
        if any(name in (b"content-length", b"transfer-encoding") for name, _ in event.headers):
            raise HttpError("a length after the body")

    def reusable(self) -> bool:
        """Whether another request may follow."""
        ended = self.connection.our_state is self.connection.their_state is h11.DONE
        return ended and not any(self.connection.trailing_data)  # neither bytes nor the connection's end
