"""Orders are placed with POST /pedidos, read under /pedidos/, and some answers of backends are lost."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

HOST = "loja.example"
SERVICE = "contratos"
BACKENDS = 6
# answer_lost of the site: share 0.6, x 0.4, for_s 4.0, how reset.
AFFECTED, LOST_SHARE, FOR_S = 3, 0.4, 4.0
INTERVAL_S = 0.05


async def case(record, fleet, trouble):
    chance = random.Random(1)
    runs, affected, until = {}, set(), 0.0

    async def run(backend, request):
        attempt = request["headers"]["attempt-id"]
        runs.setdefault(attempt, []).append(backend.id)
        await asyncio.sleep(0.05)
        if trouble and backend in affected and record.now() < until and chance.random() < LOST_SHARE:
            record.add("answer_lost", backend=backend.id, attempt=attempt)
            request["writer"].transport.abort()
            return None
        return 200, b"order placed"

    # The prefix /pedidos/ does not begin the path /pedidos, so the route of POST /pedidos is r-all, which is unsafe.
    config = [lib.route("r-all", HOST, "/", "unsafe", SERVICE), lib.route("r-read", HOST, "/pedidos/", "safe", SERVICE)]
    await fleet.start([SERVICE] * BACKENDS, config + lib.services(SERVICE) + lib.limits(), on_run=run)
    affected = {node.backend for node in fleet.nodes[:AFFECTED]}
    until = record.now() + FOR_S
    tasks = []
    for number in range(int(FOR_S / INTERVAL_S)):
        node = fleet.nodes[number % BACKENDS]
        tasks.append(asyncio.create_task(
            lib.send(record, node, "POST", "/pedidos", HOST, f"order-{number}", body=b"one order")))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    twice = {attempt: backends for attempt, backends in runs.items() if len(backends) > 1}
    record.add("result", requests=len(tasks), run_more_than_once=len(twice), which=twice)
    return not twice


lib.main(case, Path(__file__).resolve().parent)
