"""A stand-in of a minion: runs tasks under leases and reports itself, as PROTOCOL.md describes it.

Usage: minion.py SETTINGS, a JSON object:
  id, host, port       the id and the address for orders
  control              [host, port] of the control address on its machine
  service, zone, labels, capacity, heartbeat_ms
  hold_max_ms          the longest lease
  stop_ms              how long a stop takes
  tell_born            whether it tells the time of its start, as newer minions do

The text of a task says how long it runs: "ms=900". Each run's start and end are written to standard
output, with the time of the machine's steady clock.
"""

import asyncio
import json
import sys
import time

import web

SETTINGS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
STARTED = time.monotonic()
CPU = SETTINGS["capacity"]["cpu"]


def clock():
    return int((time.monotonic() - STARTED) * 1000)


def tell(event, **fields):
    line = {"at": round(time.monotonic(), 4), "minion": SETTINGS["id"], "event": event, **fields}
    print(json.dumps(line), flush=True)


def with_clock(value):
    value["clockMs"] = clock()
    if SETTINGS.get("tell_born"):
        value["born"] = BORN
    return value


class Run:
    def __init__(self, attempt, ends_at):
        self.attempt = attempt
        self.ends_at = ends_at
        self.stops_at = None


class Minion:
    def __init__(self):
        self.running = {}
        self.passed = {}
        self.ends = []
        self.count = 0
        self.fence = 0
        self.lease = 0
        self.ended = asyncio.Condition()

    def accepts(self, fence):
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def renew(self, until):
        if until is not None:
            self.lease = max(self.lease, min(until, clock() + SETTINGS["hold_max_ms"]))

    def start(self, order):
        task, attempt = order["task"], order["attempt"]
        if not self.accepts(order.get("fencingToken", 0)):
            return "fence"
        if order["deadlineMs"] <= clock():
            return "late"
        run = self.running.get(task)
        if run and run.attempt == attempt:
            return None
        self.renew(order["deadlineMs"])
        if attempt <= self.passed.get(task, 0):
            return "old"
        if run or (len(self.running) + 1) * SETTINGS["task_cpu"] > CPU:
            return "room"
        millis = int(order["spec"].split("ms=")[1].split()[0])
        self.running[task] = Run(attempt, time.monotonic() + millis / 1000)
        tell("begin", task=task, run=attempt, spec=order["spec"])
        return None

    def stop(self, task, attempt):
        self.passed[task] = max(self.passed.get(task, 0), attempt)
        run = self.running.get(task)
        if run and run.attempt <= attempt and run.stops_at is None:
            run.stops_at = time.monotonic() + SETTINGS["stop_ms"] / 1000

    def end(self, task, how):
        run = self.running.pop(task)
        self.passed[task] = max(self.passed.get(task, 0), run.attempt)
        self.count += 1
        self.ends.append([self.count, task, run.attempt, how, ""])
        tell("end", task=task, run=run.attempt, how=how)

    async def tick(self):
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            before = self.count
            for task, run in list(self.running.items()):
                if clock() >= self.lease:
                    self.end(task, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self.end(task, "stopped")
                elif now >= run.ends_at:
                    self.end(task, "done")
            if self.count > before:
                async with self.ended:
                    self.ended.notify_all()


MINION = Minion()


async def run_start(order):
    reason = MINION.start(order)
    if reason:
        return web.json_answer(409, with_clock({"reason": reason}))
    return web.json_answer(200, with_clock({}))


async def run_stop(order):
    if not MINION.accepts(order.get("fencingToken", 0)):
        return web.json_answer(409, with_clock({"reason": "fence"}))
    MINION.stop(order["task"], order["attempt"])
    return web.json_answer(200, with_clock({}))


async def hold(order):
    if not MINION.accepts(order.get("fencingToken", 0)):
        return web.json_answer(409, with_clock({"reason": "fence"}))
    MINION.renew(order.get("deadlineMs"))
    seen = order["lastSeen"]
    wait = min(order.get("waitMs", 0), 2000) / 1000

    async def until_end():
        async with MINION.ended:
            await MINION.ended.wait_for(lambda: MINION.count > seen)

    if wait > 0 and MINION.count <= seen:
        try:
            await asyncio.wait_for(until_end(), wait)
        except asyncio.TimeoutError:
            pass
    MINION.ends = [end for end in MINION.ends if end[0] > seen]
    running = [[task, run.attempt, "", 0, 1000] for task, run in MINION.running.items()]
    answer = {"running": running, "finished": MINION.ends[:500]}
    return web.json_answer(200, with_clock(answer))


CALLS = {"/v1/run-start": run_start, "/v1/run-stop": run_stop, "/v1/hold": hold}


async def handle(request):
    if request.path == "/health":
        return web.json_answer(200, {})
    if request.headers.get("expected-instance", SETTINGS["id"]) != SETTINGS["id"]:
        return web.json_answer(421, {})
    call = CALLS.get(request.path)
    return await call(request.json()) if call else web.json_answer(404, {})


async def report():
    """Reports every heartbeat, for the first time `first_report_ms` after its start."""
    await asyncio.sleep(SETTINGS.get("first_report_ms", 0) / 1000)
    sequence = 0
    while True:
        sequence += 1
        state = {
            "service": SETTINGS["service"],
            "address": f"{SETTINGS['host']}:{SETTINGS['port']}",
            "zone": SETTINGS["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": SETTINGS["capacity"],
            "labels": SETTINGS["labels"],
            "sequence": sequence,
        }
        body = json.dumps(with_clock(state)).encode()
        path = f"/v1/instances/{SETTINGS['id']}"
        pause = SETTINGS["heartbeat_ms"] / 1000
        try:
            status, _, _ = await web.call(tuple(SETTINGS["control"]), "PUT", path, {}, body, 1.0)
            if sequence == 1:
                tell("registered", status=status)
        except (ConnectionError, asyncio.TimeoutError, TimeoutError):
            # Nobody has acknowledged it: it is sent again soon.
            pause = 0.2
        await asyncio.sleep(pause)


async def main():
    server = await web.serve(SETTINGS["host"], SETTINGS["port"], handle)
    tell("up", born=BORN)
    await asyncio.gather(server.serve_forever(), MINION.tick(), report())


asyncio.run(main())
