"""The HTTP/1.1 server of the simulated platform."""
import asyncio
import json
import urllib.parse


class Http:
    """Minimal HTTP/1.1 server. It awaits handler(method, path, query, headers, body), which
    returns (status, JSON value), or None to close the connection without a reply. It resets
    connections beyond the limit; None: there is no limit."""

    def __init__(self, handler, limit=None):
        self.handler, self.limit = handler, limit
        self.port, self.refused = 0, 0
        self.open, self.silent = set(), set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def silence_open_connections(self):
        """From now on the open connections stay open and are not read or answered."""
        self.silent |= self.open

    async def wait_if_silent(self, writer):
        if writer in self.silent:
            await asyncio.Event().wait()

    async def serve(self, reader, writer):
        if self.limit is not None and len(self.open) >= self.limit:
            self.refused += 1
            return writer.transport.abort()
        self.open.add(writer)
        try:
            await self.answer_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def answer_requests(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await self.wait_if_silent(writer)
            lines = head.split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = {k.lower(): v.strip() for k, v in
                       (line.split(":", 1) for line in lines[1:] if ":" in line)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            path, _, query = target.partition("?")
            query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            reply = await self.handler(method, path, query, headers, body)
            await self.wait_if_silent(writer)
            if reply is None:  # Simulates a lost reply.
                break
            status, value = reply
            data = json.dumps(value).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
