"""One backend goes down and up by turns while a route that was just added is asked for the same page again and again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

HOST = "vitrine.example"
SERVICE = "vitrine"
BACKENDS = 10
WORK_S = {"catalogo": 0.43, "pedido": 1.3}
FIRST_PATH, ADDED_PATH = "/catalogo/{}", "/novidades/lista"
FLAP_GAP_S, FLAP_FOR_S = 1.4, 6.5
CALM_S = 5  # Longer than `stabilityMs`, after the backend is up for good.
MEASURED_S = 15


async def case(record, fleet, trouble):
    async def run(backend, request):
        added = request["path"] == ADDED_PATH
        await asyncio.sleep(WORK_S["pedido" if added else "catalogo"])
        return 200, b"page"

    first = [lib.route("r-catalogo", HOST, "/catalogo/", "safe", SERVICE)]
    added = [lib.route("r-novidades", HOST, "/novidades/", "safe", SERVICE, timeout_ms=8000)]
    common = lib.services(SERVICE) + lib.limits()
    await fleet.start([SERVICE] * BACKENDS, first + common, on_run=run)

    answers, tasks = [], set()

    async def traffic(kind, path, interval_s):
        number = 0
        while True:
            tasks.add(asyncio.create_task(client(kind, path.format(number), number)))
            number += 1
            await asyncio.sleep(interval_s)

    async def client(kind, path, number):
        sent = record.now()
        node = fleet.nodes[number % BACKENDS]
        status, _, _ = await lib.send(record, node, "GET", path, HOST, f"{kind}-{number}", deadline_ms=15000)
        answers.append((kind, sent, status))

    loads = [asyncio.create_task(traffic("first", FIRST_PATH, 0.5))]
    await asyncio.sleep(2)
    await fleet.store.put_config(2, first + added + common)
    await asyncio.sleep(lib.BOUNDS["configApplyMs"] / 1000)
    loads.append(asyncio.create_task(traffic("added", ADDED_PATH, 1 / 29)))
    await asyncio.sleep(2)

    end = record.now() + FLAP_FOR_S
    backend, up = fleet.nodes[0].backend, True
    while trouble and record.now() < end - 0.1:
        if up:
            await backend.crash()
        else:
            await backend.start()
        up = not up
        await asyncio.sleep(min(FLAP_GAP_S, end - record.now()))
    if not up:
        await backend.start()
        record.add("backend_up_for_good", id=backend.id)

    await asyncio.sleep(CALM_S)
    measured_from = record.now()
    record.add("steady_state")
    await asyncio.sleep(MEASURED_S)
    for load in loads:
        load.cancel()
    await asyncio.gather(*tasks)

    served = {}
    for kind in ("first", "added"):
        statuses = [status for which, sent, status in answers if which == kind and sent > measured_from]
        served[kind] = (len(statuses), sum(status == 200 for status in statuses))
    shares = {kind: good / count for kind, (count, good) in served.items()}
    record.add("result", first_route=served["first"], added_route=served["added"])
    return served["added"][0] < 20 or shares["added"] >= shares["first"] / 4


lib.main(case, Path(__file__).resolve().parent)
