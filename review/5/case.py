"""A request crashes each backend that begins to run it, and comes again at another machine."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

# The bounds of the site that differ from those of the library.
lib.BOUNDS |= {"drainMs": 2500, "ackMs": 5000, "catchUpS": 6, "configApplyMs": 2500, "retryBudgetSlack": 156}
HOST = "contratos.example"
SERVICE = "contratos"
BACKENDS, SLOTS = 26, 8
DOWN_S = 5  # The backend is back after some seconds, as a new incarnation with a new id.
INTERVAL_S = 0.8
SENDS = 16
CRASHING_PATH = "/modelo/7"
ALLOWED_LATE_RETRIES = 3


async def case(record, fleet, trouble):
    crashes, arrivals, lost = [], [], []
    tasks = set()

    async def run(backend, request):
        if request["path"] == CRASHING_PATH:
            arrivals.append((record.now(), request["headers"]["attempt-id"]))
            if trouble:
                crashes.append(record.now())
                await backend.crash()
                tasks.add(asyncio.create_task(restart(backend)))
                return None
        await asyncio.sleep(0.4)
        return 200, b"done"

    async def restart(backend):
        await asyncio.sleep(DOWN_S)
        await backend.start()

    async def sound_traffic():
        number = 0
        while True:
            number += 1
            tasks.add(asyncio.create_task(sound_request(number)))
            await asyncio.sleep(0.03)

    async def sound_request(number):
        node = fleet.nodes[number % BACKENDS]
        status, _, _ = await lib.send(record, node, "POST", f"/pagar/{number}", HOST, f"sound-{number}",
                                            body=b"one deposit")
        if status in (0, 502, 504):
            lost.append(number)

    config = [lib.route("r-pagar", HOST, "/pagar/", "unsafe", SERVICE),
              lib.route("r-modelo", HOST, "/modelo/", "safe", SERVICE)]
    await fleet.start([SERVICE] * BACKENDS, config + lib.services(SERVICE) + lib.limits(), on_run=run,
                      slots=SLOTS)
    traffic = asyncio.create_task(sound_traffic())
    await asyncio.sleep(2)
    for number in range(SENDS):
        node = fleet.nodes[(7 * number) % BACKENDS]
        tasks.add(asyncio.create_task(
            lib.send(record, node, "GET", CRASHING_PATH, HOST, f"crashing-{number}", deadline_ms=5000)))
        await asyncio.sleep(INTERVAL_S)
    traffic.cancel()
    await asyncio.sleep(1)
    if not trouble:
        record.add("result", arrivals=len(arrivals), lost_sound_requests=len(lost))
        return len(arrivals) == SENDS
    limit = crashes[2] + lib.BOUNDS["stabilityMs"] / 1000
    late = [attempt for when, attempt in arrivals if when > limit]
    sends = len(set(late))
    record.add("result", crashes=len(crashes), third_crash_s=f"{crashes[2]:.3f}", arrivals_counted_after_s=f"{limit:.3f}",
               late_arrivals=len(late), late_client_attempts=sends, late_repeats_of_one_attempt=len(late) - sends,
               unanswered_sound_requests=len(lost))
    return sends <= ALLOWED_LATE_RETRIES or len(late) - sends <= ALLOWED_LATE_RETRIES


lib.main(case, Path(__file__).resolve().parent)
