"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote_from_bytes

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE_BYTES, Command
from brackenwalk.net.http import HttpClient, HttpError
from brackenwalk.net.pool import AttemptResult, Connection, MalformedResponse, Pool


class OriginConnection(Connection):
    """A connection to the origin: one request and its response at a time."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.client = HttpClient(address, MAX_VALUE_BYTES)

    def encode(self, command: Command, time_left: float) -> bytes:
        """Return the HTTP request for a command, with the time left as its deadline."""
        # Escapes all but unreserved characters: a key that contains a path or a query would otherwise read or
        # overwrite another object.
        target = "/" + quote_from_bytes(command.key, safe="")
        headers = [(b"Request-Id", command.request_id), (b"Request-Info", command.encode_info(time_left))]
        return self.client.request("PUT" if command.write else "GET", target, headers, command.value)

    def decode(self, data: bytes) -> AttemptResult | None:
        """Map a complete response to its outcome: OK with the body, BUSY if not started, or an error."""
        try:
            response = self.client.receive(data)
        except HttpError as e:
            raise MalformedResponse(str(e)) from e
        if response is None:
            return None
        if response.status == 200:
            return Status.OK, response.body
        not_started = response.status in (503, 504) and response.headers.get(b"not-started") == b"1"
        return (Status.BUSY if not_started else Status.ERROR), b""

    def eof_received(self) -> None:
        """Complete a body that ends with its connection; `connection_lost` will report a truncated one."""
        try:
            result = self.decode(b"")
        except MalformedResponse:
            return
        exchange, self.exchange = self.exchange, None
        if result is not None and exchange is not None:
            exchange.finish(*result)

    def reusable(self) -> bool:
        """Return whether another request may follow."""
        return self.client.reusable()
