"""A loopback proxy on the way to one party: passes, delays, silences one way or both, resets."""

import asyncio

CHUNK = 65536


class Link:
    """Listens on an address of its own and passes on to a target."""

    def __init__(self, host, port, target_host, target_port):
        self.host, self.port = host, port
        self.target = (target_host, target_port)
        self.delay = 0.0
        self.silent_in = False   # nothing reaches the target
        self.silent_out = False  # nothing comes back
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.port)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.delay, self.silent_in, self.silent_out = 0.0, False, False

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "silent_in"),
                             self.pump(far_reader, writer, "silent_out"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, silenced):
        try:
            while data := await reader.read(CHUNK):
                while getattr(self, silenced):
                    await asyncio.sleep(0.02)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
        finally:
            writer.close()
