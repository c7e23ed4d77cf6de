"""A node gets SIGTERM while its clients' requests run at backends that need a few seconds more, within `graceS`."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

# The bounds of the site that differ from those of the library.
lib.BOUNDS |= {"graceS": 10, "stabilityMs": 4000, "drainMs": 3000, "ackMs": 5000, "catchUpS": 6, "configApplyMs": 3000,
               "maxStretchMs": 6000, "retryBudgetSlack": 630}
HOST = "oficina.example"
SERVICE = "oficina"
MACHINES, SLOTS = 3, 6
# Work times of the site: pedido 2.1 s on average and at most 16 s, moldes at most 4.8 s.
WORK_S = {"pedido": 2.1, "pedido-long": 7.0, "moldes": 4.7}
COUNT = {"pedido": 14, "pedido-long": 4, "moldes": 4}


async def case(record, fleet, trouble):
    ends = {}

    async def run(backend, request):
        attempt = request["headers"]["attempt-id"]
        try:
            work_s = WORK_S[request["path"].split("/")[2]]
            await asyncio.sleep(min(work_s, int(request["headers"]["deadline-ms"]) / 1000))
            ends[attempt] = record.now()
            record.add("run_ended", backend=backend.id, attempt=attempt)
            return 200, b"done"
        except asyncio.CancelledError:
            record.add("run_broken_off", backend=backend.id, attempt=attempt)
            raise

    config = [lib.route("r-pedido", HOST, "/pedido/", "safe", SERVICE, timeout_ms=12000),
              lib.route("r-moldes", HOST, "/moldes/", "upload", SERVICE, timeout_ms=15000)]
    await fleet.start([SERVICE] * MACHINES, config + lib.services(SERVICE) + lib.limits(), on_run=run, slots=SLOTS)
    node = fleet.nodes[0]
    sent_at, term, answers = {}, None, {}

    async def client(kind, number):
        attempt = f"{kind}-{number}"
        sent_at[attempt] = record.now()
        upload = kind == "moldes"
        status, headers, _ = await lib.send(
            record, node, "POST" if upload else "GET", f"/{kind.partition('-')[0]}/{kind}/{number}", HOST, attempt,
            deadline_ms=15000 if upload else 25000, body=b"pattern" * 8000 if upload else None)
        answers[attempt] = (status, headers["response-seal"], record.now())

    def send_all(kind):
        return [asyncio.create_task(client(kind, number)) for number in range(COUNT[kind])]

    # The first ones take all slots, and the uploads wait for one.
    tasks = send_all("pedido-long") + send_all("pedido")
    await asyncio.sleep(0.7)
    tasks += send_all("moldes")
    await asyncio.sleep(0.3)
    term = record.now()
    if trouble:
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), lib.BOUNDS["graceS"])
        except asyncio.TimeoutError:
            node.signal(signal.SIGKILL)
        record.add("node_ended", node=node.name, seconds_after_sigterm=f"{record.now() - term:.2f}")
    await asyncio.gather(*tasks)

    # Not counted: a backend still at work in the last sixth of `graceS`.
    last_sixth = term + lib.BOUNDS["graceS"] * 5 / 6
    broken = {}
    for attempt, (status, seal, when) in answers.items():
        at_work = attempt not in ends or ends[attempt] > when
        if status != 200 and not seal and at_work and when < last_sixth:
            broken[attempt] = (status, f"{when - term:.2f}")
    record.add("result", broken_off=len(broken), status_and_seconds_after_sigterm=broken)
    return not broken


lib.main(case, Path(__file__).resolve().parent)
