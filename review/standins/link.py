"""A link to the store that can be cut: a TCP proxy between one daemon and the store."""

import asyncio
import socket

# Connections that fill the queue of the listener during a cut, so that the kernel drops the opening
# packets of further ones, as on a link that is partitioned.
FILLERS = 8


class Link:
    def __init__(self):
        self.target = ""
        self.open = asyncio.Event()
        self.open.set()
        self.fillers = []
        self.accepting = None
        self.tasks = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def start(self, target):
        """Starts to forward connections to `target`."""
        self.target = target
        self.accepting = self.spawn(self.accept())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def cut(self):
        """Holds back the bytes of open connections, and leaves new ones without an answer."""
        self.open.clear()
        self.accepting.cancel()
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.listener.getsockname()[1]))
            self.fillers.append(filler)
        await asyncio.sleep(0)

    def heal(self):
        """Lets bytes and connections through again."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.open.set()
        self.start(self.target)

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self.listener)
            self.spawn(self.forward(client))

    async def forward(self, client):
        try:
            near = await asyncio.open_connection(sock=client)
            host, port = self.target.rsplit(":", 1)
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            client.close()
            return
        pumps = [self.spawn(self.pump(near[0], far[1])), self.spawn(self.pump(far[0], near[1]))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        near[1].close()
        far[1].close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
