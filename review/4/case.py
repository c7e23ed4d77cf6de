"""A backend deregisters, its node is killed and started again, and a heartbeat from before arrives late."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

HOST = "contratos.example"
SERVICE = "contratos"
HEARTBEAT_DELAY_S = 2  # "A heartbeat may arrive seconds late."
RESTART_DELAY_S = 0.5
SERVES_ON_S = 12  # After the acknowledgement: `drainMs` and at times many seconds longer.
WORK_S = 0.8


async def case(record, fleet, trouble):
    config = [lib.route("r-aceite", HOST, "/aceite/", "unsafe", SERVICE)]
    runs, answers = [], {}

    async def run(backend, request):
        runs.append((record.now(), backend, request["headers"]["attempt-id"]))
        await asyncio.sleep(WORK_S)
        return 200, b"accepted"

    await fleet.start([SERVICE] * 6, config + lib.services(SERVICE) + lib.limits(), on_run=run)
    node, others = fleet.nodes[0], fleet.nodes[1:]
    backend = node.backend

    async def traffic():
        number, tasks = 0, []
        try:
            while True:
                tasks.append(asyncio.create_task(client(number)))
                number += 1
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            await asyncio.gather(*tasks)

    async def client(number):
        attempt = f"deposit-{number}"
        status, _, _ = await lib.send(record, others[number % len(others)], "POST", "/aceite/1", HOST, attempt,
                                      body=b"deposit")
        answers[attempt] = status

    load = asyncio.create_task(traffic())
    await asyncio.sleep(2)

    # The last heartbeat leaves the backend now, but it is held up on its way.
    backend.heart.cancel()
    backend.sequence += 1
    late = json.dumps({
        "address": f"{backend.ip}:{backend.port}", "born": backend.born,
        "info": {"service": SERVICE, "version": "v1", "zone": backend.zone, "slots": backend.slots},
        "status": {"state": "ready", "sequence": backend.sequence, "coldRemainingMs": 0}}).encode()
    record.add("heartbeat_sent", backend=backend.id, state="ready", sequence=backend.sequence)
    sent_at = record.now()
    await asyncio.sleep(0.05)
    if not await backend.tell("Deregister", json.dumps({"born": backend.born}).encode()):
        raise lib.CannotRun("the backend got no acknowledgement")
    acknowledged = record.now()
    record.add("deregister_acknowledged", backend=backend.id, node=node.name)

    in_touch_from = acknowledged
    if trouble:
        await asyncio.sleep(0.1)
        node.signal(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await node.start()
        in_touch_from = record.now() + lib.BOUNDS["stabilityMs"] / 1000

    await asyncio.sleep(max(0.0, sent_at + HEARTBEAT_DELAY_S - record.now()))
    accepted = await backend.tell("Heartbeat", late)
    record.add("late_heartbeat_arrived", backend=backend.id, answered_200=accepted)

    await asyncio.sleep(max(0.0, acknowledged + SERVES_ON_S - record.now()))
    running = backend.running
    await backend.crash()  # It exits as planned; what still runs there ends with it.
    await asyncio.sleep(1)
    load.cancel()
    await load

    limit = max(acknowledged + lib.BOUNDS["drainMs"] / 1000, in_touch_from)
    late_runs = [attempt for when, where, attempt in runs if where is backend and when > limit]
    unserved = [attempt for attempt in late_runs if answers.get(attempt) != 200]
    record.add("result", acknowledged_s=f"{acknowledged:.3f}", counted_after_s=f"{limit:.3f}",
               runs_at_the_backend_that_left=len(late_runs), running_at_its_end=running,
               of_these_not_served=len(unserved))
    return not late_runs


lib.main(case, Path(__file__).resolve().parent)
