"""A loopback proxy before one server: forwards, delays, blocks one or both directions, resets."""

import asyncio

CHUNK = 65536


class Link:
    """Listens on its own address and forwards connections to a target."""

    def __init__(self, host, port, target_host, target_port):
        self.host, self.port = host, port
        self.target = (target_host, target_port)
        self.delay = 0.0
        self.blocked_in = False   # no data reaches the target
        self.blocked_out = False  # no data returns from the target
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.port)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.delay, self.blocked_in, self.blocked_out = 0.0, False, False

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, "blocked_in"),
                             self.pump(target_reader, writer, "blocked_out"))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, blocked):
        try:
            while data := await reader.read(CHUNK):
                while getattr(self, blocked):
                    await asyncio.sleep(0.02)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
        finally:
            writer.close()
