"""A status report of another writer reaches an agent while its minion runs tasks."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
import deployment
import web

CALM_S = 3.0
AFTER_S = 5.0
PAUSE_S = 0.05


async def foreign_report(site, number):
    """Reports a minion of a service that no configuration names."""
    report = {
        "service": "otra-app", "address": f"{site.side_ip(number)}:9000", "zone": "ec-costa-a",
        "version": "v3", "slots": 8, "state": "ready", "coldRemainingMs": 0,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a", "r9-9"],
        "clockMs": 482113, "sequence": 4,
    }
    body = json.dumps(report).encode()
    status, _, _ = await web.call(site.control(number), "PUT", "/v1/instances/i-0fe1d3c2", {}, body, 1.0)
    site.record.write(f"another writer: PUT /v1/instances/i-0fe1d3c2 to agent-{number}, service otra-app: {status}")


async def case(site, is_troubled):
    async def callers():
        jobs = []
        while True:
            jobs.append(asyncio.create_task(site.submit(deployment.new_id(), site.job(4, 900))))
            await asyncio.sleep(PAUSE_S)

    load = asyncio.create_task(callers())
    await asyncio.sleep(CALM_S)
    if is_troubled:
        await foreign_report(site, site.busiest())
    await asyncio.sleep(AFTER_S)
    load.cancel()
    await asyncio.sleep(2.5)
    return 1 if site.report_overlaps() else 0


deployment.run(case, sheet=deployment.AUP_FORO, entries=3, minions=11)
