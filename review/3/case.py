"""A safe request that crashes every worker that begins to run it, sent again and again."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from site_ import ORDERS, ZONES, run  # noqa: E402
from workers import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Path of the request that crashes workers.
POISON = "/stock/4711"

# Time after which a crashed worker is back.
DOWN_S = 2.0

# Time between two of the clients' requests that crash workers, and their number.
PAUSE_S = 4.0
COMES = 16

# Bounds of the deployment: `StableWindowMs`, and the retries that the rule allows.
STABLE_S = 3.0
ALLOWED = 3


class CrashingWorker(Worker):
    """A worker that crashes when it begins to run the request at `POISON`."""

    async def run(self, request, writer):
        if TROUBLE and request.target == POISON:
            await asyncio.sleep(0.01)
            self.record("crashes", self, request)
            self.site.spawn(self.crash_and_return(DOWN_S))
            await asyncio.sleep(10.0)
        return await super().run(request, writer)


async def sound_traffic(site, stop):
    """Clients with stock enquiries and order entries, each on a connection of its own."""
    number = 0
    while not stop.is_set():
        daemon = site.daemons[number % len(site.daemons)]
        number += 1
        if number % 3:
            site.spawn(site.ask(daemon, "POST", f"/order/{number}", b"o" * 600))
        else:
            site.spawn(site.ask(daemon, "GET", f"/stock/{number + 100_000}"))
        await asyncio.sleep(0.04)


async def main(site):
    arrivals = []
    crashes = []

    def record(event, worker, request):
        site.record(f"worker {worker.id} {event} {request.header('request-id')} {request.target}")
        if request.target == POISON:
            if event == "reaches":
                arrivals.append((site.now(), request.header("request-id")))
            elif event == "crashes":
                crashes.append(site.now())

    workers = []
    for number, zone in enumerate(ZONES):
        worker = CrashingWorker(site.store, record, f"w{number}", ORDERS, zone, 6, 24, 0.06)
        worker.site = site
        workers.append(worker)
    if not await site.open(workers):
        return 2
    stop = asyncio.Event()
    site.spawn(sound_traffic(site, stop))
    await asyncio.sleep(4.0)
    for number in range(COMES):
        daemon = site.daemons[number % len(site.daemons)]
        await site.ask(daemon, "GET", POISON)
        await asyncio.sleep(PAUSE_S)
    stop.set()
    await asyncio.sleep(1.0)

    bound = crashes[2] + STABLE_S if len(crashes) > 2 else float("inf")
    seen = set()
    retries = []
    for at, request in arrivals:
        if request in seen and at > bound:
            retries.append((at, request))
        seen.add(request)
    site.record(f"{len(crashes)} crashes; retries later than {STABLE_S} s after the third: {len(retries)}, allowed {ALLOWED}")
    print(f"crashes {len(crashes)}, retries {len(retries)}, allowed {ALLOWED}")
    return 1 if len(retries) > ALLOWED else 0


run(main, HERE / "record.txt")
