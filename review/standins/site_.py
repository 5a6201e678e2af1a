"""The small deployment: a store, workers, six daemons, and clients, with a record of what they see."""

import asyncio
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

import http1
from daemons import ZONES, make_daemons
from store import Store

HOST = "ficu95.example"

MODELS = "arszoveg-modell"
ORDERS = "rendelo-alkalmazas"


def route(prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {"Name": f"r-{prefix.strip('/')}", "Hostname": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, **more}


# The kinds of request of the small deployment, with their time-outs, aims and attempts.
ROUTES = [
    route("/stock/", "safe", ORDERS, 800, 300, 2),
    route("/order/", "unsafe", ORDERS, 800, 300, 1),
    route("/summary/", "stream", MODELS, 14000, 900, 2, Sticky=True, Resumable=True, TargetGapMs=300),
    route("/digest/", "stream", MODELS, 14000, 900, 1, Sticky=True, Resumable=False, TargetGapMs=300),
]

ENGINE = {"Slots": 64, "KvCapacityTokens": 107085, "KvTokenBytes": 163840, "LinkMbps": 7200000.0,
          "Stride": 1, "HandleTtlS": 0.5, "SwitchS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0,
          "Models": [{"Name": "m"}]}

# Clients reuse connections that were idle for up to four fifths of `IdleTimeoutMs`.
KEPT_S = 12.0

LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


def config(version, routes=None):
    services = [{"Name": MODELS, "HealthCheck": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": False,
                 "Engine": ENGINE},
                {"Name": ORDERS, "HealthCheck": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": False}]
    return {"Version": version, "Routes": ROUTES if routes is None else routes, "Services": services, "Limits": LIMITS}


class Site:
    """Holds what a case starts; `record` writes a line with the time since the start."""

    def __init__(self, record_file):
        self.store = Store()
        self.workers = []
        self.daemons = []
        self.start = time.monotonic()
        self.out = open(record_file, "w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.tasks = set()
        self.idle = {}

    def now(self):
        return time.monotonic() - self.start

    def record(self, text):
        if self.out.closed:
            return
        self.out.write(f"{self.now():9.3f} {text}\n")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def open(self, workers, daemons=make_daemons, settle_s=10.0):
        """Starts the store, `workers` and the daemons, and waits until every daemon is ready.

        Then the daemons have `settle_s` to register, and engines to change their stage.
        """
        await self.store.start()
        self.workers = workers
        for worker in workers:
            await worker.start()
        self.store.put("config", "main", config(3))
        self.daemons = daemons(self.store.address, self.folder)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                self.record(f"{daemon.name} is not ready; the case cannot run")
                self.record(daemon.log.read_text()[-2000:])
                return False
        self.record(f"{len(self.daemons)} daemons are ready")
        await asyncio.sleep(settle_s)
        return True

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for worker in self.workers:
            if worker.up:
                worker.server.crash()
        self.out.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def ask(self, daemon, method, target, body=b"", deadline_ms=1500, request=None, more=()):
        """Sends one client attempt and records it; returns its id and the reply."""
        request = request or http1.request_id("c")
        headers = [("Host", HOST), ("Request-Id", request), ("Deadline-Ms", deadline_ms), *more]
        self.record(f"client sends {request} {method} {target} to {daemon.name}")
        reply = await http1.send(daemon.callers, method, target, headers, body, deadline_ms / 1000 + 1)
        self.record_reply(request, reply)
        return request, reply

    async def ask_kept(self, daemon, method, target, body=b"", deadline_ms=1500, more=()):
        """As `ask`, on a connection that is kept for many requests; also returns how many it had answered."""
        request = http1.request_id("c")
        headers = [("Host", HOST), ("Request-Id", request), ("Deadline-Ms", deadline_ms), *more]
        idle = self.idle.setdefault(daemon.name, [])
        while idle and self.now() - idle[-1].used > KEPT_S:
            idle.pop().close()
        connection = idle.pop() if idle else None
        answered = connection.answered if connection else 0
        self.record(f"client sends {request} {method} {target} to {daemon.name}, {answered} answered on the connection")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                connection = connection or await http1.Connection.open(daemon.callers)
                reply = await connection.exchange(method, target, headers, body)
        except (OSError, TimeoutError) as error:
            reply = http1.Reply(0, {}, b"", False, type(error).__name__)
            if connection:
                connection.close()
        if connection and connection.open:
            connection.used = self.now()
            idle.append(connection)
        self.record_reply(request, reply)
        return request, reply, answered

    def record_reply(self, request, reply):
        whole = "whole" if reply.whole else f"broken off ({reply.error})"
        self.record(f"client gets {reply.status} for {request}, {whole}, {len(reply.body)} bytes")


def run(main, record_file):
    """Runs `main(site)` and exits with its result: 0 the rule held, 1 it was broken, 2 it could not run."""
    async def guarded():
        site = Site(record_file)
        try:
            return await asyncio.wait_for(main(site), 115)
        except Exception as error:  # A case that fails on its own shows nothing about the daemons.
            site.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            site.close()

    result = asyncio.run(guarded())
    sys.stdout.flush()
    # Without the interpreter's own clean-up, which would complain about open connections.
    os._exit(result)


__all__ = ["MODELS", "ORDERS", "ROUTES", "ZONES", "Site", "config", "route", "run"]
