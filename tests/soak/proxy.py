"""A loopback proxy whose links can be delayed, silenced, cut one way or reset."""
import asyncio


class Link:
    """Listens on a port of its own and forwards to one address.

    mode: "ok"; "delay" (each chunk takes `delay` seconds longer); "silent" (nothing
    passes; what was sent arrives when the link is well again); "deaf" (requests pass,
    answers are lost, and the connection is of no use afterwards); "reset" (connections
    are reset and none is taken).
    """

    def __init__(self, target):
        self.target, self.mode, self.delay = target, "ok", 0.0
        self.port, self.server, self.writers = 0, None, set()
        self.well = asyncio.Event()
        self.well.set()

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
            self.well.clear()
        else:
            self.well.set()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    def close(self):
        self.set("reset")
        self.server.close()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        await self.well.wait()
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.pump(reader, far_writer, False),
                                 self.pump(far_reader, writer, True))
        finally:
            self.writers -= pair
            for end in pair:
                end.close()

    async def pump(self, reader, writer, is_answer):
        lost = False
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                await self.well.wait()
                lost = lost or (is_answer and self.mode == "deaf")
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()
