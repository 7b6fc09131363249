"""A stand-in of the platform's metadata store: a log of topics, as PROTOCOL.md describes it.

Usage: store.py HOST PORT. Everything is kept in memory, and nothing that it has acknowledged is lost.
"""

import asyncio
import base64
import json
import sys

import web


class Partition:
    def __init__(self):
        self.records = []
        self.changed = asyncio.Condition()


PARTITIONS = {}


def partition(query):
    return PARTITIONS.setdefault((query["topic"], query.get("part", "0")), Partition())


def split(body):
    records = []
    while body:
        length = int.from_bytes(body[:4], "big")
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


async def append(request):
    part = partition(request.query)
    end = len(part.records)
    if "at" in request.query and int(request.query["at"]) != end:
        return web.json_answer(412, {"endOffset": end})
    await asyncio.sleep(0.002)
    offset = len(part.records)
    async with part.changed:
        part.records.extend(split(request.body))
        part.changed.notify_all()
    return web.json_answer(200, {"offset": offset, "endOffset": len(part.records)})


async def read(request):
    part = partition(request.query)
    source = int(request.query.get("source", 0))
    limit = int(request.query.get("maxKb", 1024)) * 1024
    wait = min(int(request.query.get("waitMs", 0)), 30_000) / 1000
    if wait > 0 and len(part.records) <= source:

        async def until_more():
            async with part.changed:
                await part.changed.wait_for(lambda: len(part.records) > source)

        try:
            await asyncio.wait_for(until_more(), wait)
        except asyncio.TimeoutError:
            pass
    body = len(part.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
    for record in part.records[source:]:
        if len(body) > 16 and len(body) + len(record) > limit:
            break
        body += len(record).to_bytes(4, "big") + record
    return 200, body, "application/octet-stream"


async def newest(request):
    part = partition(request.query)
    kept = {}
    for offset, record in enumerate(part.records):
        key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
        kept.pop(key, None)
        if value:
            kept[key] = (value, offset)
    items = [
        {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (value, offset) in sorted(kept.items())
        if key.decode() > request.query.get("dependsOn", "")
    ]
    page = {"items": items[:500], "hasMore": len(items) > 500, "endOffset": len(part.records)}
    return web.json_answer(200, page)


CALLS = {
    ("POST", "/v1/log-append"): append,
    ("GET", "/v1/log-read"): read,
    ("GET", "/v1/log-newest"): newest,
}


async def handle(request):
    call = CALLS.get((request.method, request.path))
    return await call(request) if call else web.json_answer(404, {})


async def main():
    server = await web.serve(sys.argv[1], int(sys.argv[2]), handle)
    print(json.dumps({"event": "listening"}), flush=True)
    await server.serve_forever()


asyncio.run(main())
