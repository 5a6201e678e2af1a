"""A stand-in for the platform's metadata store: objects, conditional writes, lists and watches."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http1 import Server, response

PAGE = 500
JSON = ("Content-Type", "application/json")


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        """Writes an object; one that changes nothing keeps its revision."""
        known = self.objects.get((kind, name))
        if known and known["Spec"] == spec:
            return known
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Finalizers": [], "MarkedForDeletion": False}
        meta["Created"] = known["Metadata"]["Created"] if known else self.revision
        item = {"Metadata": meta, "Spec": spec, "Status": None}
        self.objects[(kind, name)] = item
        self.events.append((kind, self.revision, {"Removed": False, "Object": item}))
        self.notify()
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        self.events.append((kind, self.revision, {"Removed": True, "Object": item}))
        self.notify()

    async def handle(self, request, writer):
        status, value = await self.answer(request)
        writer.write(response(status, [JSON], json.dumps(value).encode()))

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        if request.method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if request.method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", "30000")))
        if request.method == "GET":
            return self.list(kind, query.get("after", ""))
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        sent = json.loads(request.body)
        return self.write(request.method, kind, name or sent["Metadata"]["Name"], sent)

    def write(self, method, kind, name, sent):
        known = self.objects.get((kind, name))
        expected = sent["Metadata"].get("Revision")
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        if known and expected is not None and known["Metadata"]["Revision"] != expected:
            return 409, known
        return 200, self.put(kind, name, sent["Spec"])

    def list(self, kind, after):
        found = sorted(name for k, name in self.objects if k == kind and name > after)
        items = [self.objects[(kind, name)] for name in found[:PAGE]]
        return 200, {"items": items, "HasMore": len(found) > PAGE, "StoreRevision": self.revision}

    async def watch(self, kind, since, wait_ms):
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            changed = self.changed
            found = [event for k, revision, event in self.events if k == kind and revision > since]
            left = end - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
