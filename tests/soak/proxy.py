"""A loopback proxy whose links can be delayed, stalled, cut in one direction or reset."""
import asyncio


class Link:
    """Listens on a port of its own and forwards to one address.

    Modes: "ok"; "delay" (each chunk is delayed by `delay` seconds); "silent" (no data is
    forwarded until the mode changes, then all of it); "drop-answers" (requests are
    forwarded, answers are dropped, also later on the same connection); "reset"
    (connections are reset and new ones are rejected).
    """

    def __init__(self, target, rate=None):
        """`rate`: bytes a second of all answers together; None: no limit."""
        self.target, self.mode, self.delay = target, "ok", 0.0
        self.rate, self.free_at = rate, 0.0
        self.port, self.server, self.writers, self.silenced = 0, None, set(), set()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def set(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        if mode == "silent":
            self.unblocked.clear()
        else:
            self.unblocked.set()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    def silence_open_connections(self):
        """The open connections fall silent for good, without a reset; new ones work."""
        self.silenced |= self.writers

    def close(self):
        self.set("reset")
        self.server.close()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        await self.unblocked.wait()
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.pump(reader, target_writer, False),
                                 self.pump(target_reader, writer, True))
        finally:
            self.writers -= pair
            self.silenced -= pair
            for end in pair:
                end.close()

    async def pump(self, reader, writer, is_answer):
        lost = False
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if is_answer and self.rate:
                    now = asyncio.get_running_loop().time()
                    self.free_at = max(self.free_at, now) + len(data) / self.rate
                    await asyncio.sleep(self.free_at - now)
                await self.unblocked.wait()
                lost = (lost or writer in self.silenced
                        or (is_answer and self.mode == "drop-answers"))
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()
