"""Stand-ins for the platform's workers: sound servers that register themselves in the store."""

import asyncio
import json
import time

from daemons import free_ports
from http1 import Server, head, response

BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S


class Worker:
    """A worker of a plain service.

    `record` is called with what happens: `reaches`, `runs`, `ends`, `crashes`, each with the request.
    """

    def __init__(self, store, record, name, service, zone, slots, queue, work_s):
        self.store = store
        self.record = record
        self.base = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.life = 0
        self.up = False
        self.port = 0

    async def start(self):
        """Starts the worker, or starts it again at the address that it had, under a new id."""
        self.life += 1
        self.id = f"{self.base}-{self.life}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = Server(self.handle)
        self.port = self.port or free_ports(1)[0]
        await self.server.start(port=self.port)
        self.up = True
        self.state = "ready"
        self.register()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self):
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Sequence": 0,
            "born": self.born,
        }

    def register(self):
        self.store.put("servers", self.id, self.entry())

    def crash(self):
        """Ends without a word; the entry lapses after three heartbeats."""
        self.up = False
        self.server.crash()
        asyncio.get_running_loop().call_later(LAPSE_S, self.store.remove, "servers", self.id)

    async def crash_and_return(self, down_s):
        self.crash()
        await asyncio.sleep(down_s)
        await self.start()

    def common(self, request):
        load = f"{self.running},{self.waiting},{self.slots}"
        return [("Request-Id", request.header("request-id")), ("Server-Load", load)]

    def stamp(self, request):
        return ("Server-Stamp", f"{self.id}.{request.header('request-id')}")

    async def handle(self, request, writer):
        expected = request.header("expect-instance")
        if expected and expected != self.id:
            writer.write(response(421, [("Instance-Id", self.id), ("Not-Run", 1)]))
            return True
        if request.target == "/health":
            writer.write(response(200, [("Instance-Id", self.id)]))
            return True
        return await self.call(request, writer)

    async def call(self, request, writer):
        self.record("reaches", self, request)
        if self.waiting >= self.queue:
            writer.write(response(503, [*self.common(request), ("Not-Run", 1)]))
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record("runs", self, request)
            return await self.run(request, writer)
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, request, writer):
        """Runs a request; overridden where a case needs another worker."""
        await asyncio.sleep(self.work_s)
        body = json.dumps({"id": request.header("request-id"), "text": "x" * 760}).encode()
        writer.write(response(200, [*self.common(request), self.stamp(request)], body))
        self.record("ends", self, request)
        return True


class Engine(Worker):
    """A model worker: prefills prompts, or decodes them to a stream of events."""

    HANDLES = {}

    def __init__(self, store, record, name, service, zone, stage, events, pause_s):
        super().__init__(store, record, name, service, zone, 64, 2, 0.0)
        self.stage = stage
        self.events = events
        self.pause_s = pause_s
        self.orders = 0
        self.busy = False

    def entry(self):
        return {**super().entry(), "Stage": self.stage, "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}

    async def handle(self, request, writer):
        expected = request.header("expect-instance")
        if expected and expected != self.id:
            writer.write(response(421, [("Instance-Id", self.id), ("Not-Run", 1)]))
            return True
        path = request.target
        if path == "/v1/report":
            body = {"Stage": self.stage, "Models": [], "Busy": self.busy, "Sequence": self.orders, "Waiting": 0,
                    "Running": self.running, "KvUsed": 0, "KvTotal": 107085, "KvHandles": 0}
            writer.write(response(200, [], json.dumps(body).encode()))
            return True
        if path == "/v1/order":
            writer.write(response(*self.order(json.loads(request.body))))
            return True
        if path == "/v1/hold-take":
            writer.write(response(503, [("Not-Run", 1)]))
            return True
        if request.method == "DELETE":
            Engine.HANDLES.pop(path.rsplit("/", 1)[1], None)
            writer.write(response(200))
            return True
        if request.header("stage") == "prefill":
            return await self.prefill(request, writer)
        if self.stage != "decode" or self.busy:
            writer.write(response(421 if self.stage != "decode" else 503, [*self.common(request), ("Not-Run", 1)]))
            return True
        source = request.header("kv-from")
        if source and Engine.HANDLES.pop(source.rsplit("/", 1)[1], None) is None:
            writer.write(response(503, [*self.common(request), ("Not-Run", 1)]))
            return True
        return await self.call(request, writer)

    def order(self, sent):
        if self.busy or sent.get("Expect", self.orders) != self.orders:
            return 409, []
        if sent["Stage"] == self.stage:
            return 200, []
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(6.0, self.switch, sent["Stage"], self.life)
        return 202, []

    def switch(self, stage, life):
        if self.up and self.life == life:
            self.stage = stage
            self.busy = False
            self.register()

    async def prefill(self, request, writer):
        if self.stage != "prefill" or self.busy:
            writer.write(response(421 if self.stage != "prefill" else 503, [*self.common(request), ("Not-Run", 1)]))
            return True
        await asyncio.sleep(0.09)
        handle = f"{self.id}-{len(Engine.HANDLES)}-{time.monotonic_ns():x}"
        Engine.HANDLES[handle] = True
        body = {"KvHandle": handle, "Tokens": 5200, "Version": 1}
        writer.write(response(200, self.common(request), json.dumps(body).encode()))
        return True

    async def run(self, request, writer):
        chunked = [("Transfer-Encoding", "chunked"), ("Content-Type", "text/event-stream"), ("Weight-Versions", 1)]
        writer.write(head(200, [*self.common(request), self.stamp(request), *chunked]))
        first = int(request.header("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request.header('request-id')} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        self.record("ends", self, request)
        return True
