"""A configuration adds the route /acct/ of another service. The path /acct does not begin with that prefix."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as lib

HOST = "loja.example"
OLD, NEW = "contratos", "oficina"
PATHS = ("/pedidos", "/pedidos?ano=2026")
REQUESTS = 10


async def case(record, fleet, trouble):
    common = lib.services(OLD, NEW) + lib.limits()
    first = [lib.route("r-all", HOST, "/", "unsafe", OLD), lib.route("r-files", HOST, "/files/", "safe", NEW)]
    await fleet.start([OLD, NEW] * 3, first + common)
    # No configuration of the run has a route of the second service whose prefix begins PATHS.
    allowed = {OLD}
    wrong = []
    for phase in ("before", "after"):
        if phase == "after":
            if trouble:
                added = [lib.route("r-orders", HOST, "/pedidos/", "unsafe", NEW)]
                await fleet.store.put_config(2, first + added + common)
            await asyncio.sleep(lib.BOUNDS["configApplyMs"] / 1000 + 1)
        for number in range(REQUESTS):
            for index, path in enumerate(PATHS):
                node = fleet.nodes[(number + index) % len(fleet.nodes)]
                status, _, body = await lib.send(record, node, "POST", path, HOST, f"{phase}-{number}-{index}",
                                                 body=b"one order")
                service = body.decode().removeprefix("done by ").strip()
                if status == 200 and service not in allowed:
                    wrong.append((phase, path, service))
    record.add("result", run_by_a_service_without_a_route=len(wrong))
    return not wrong


lib.main(case, Path(__file__).resolve().parent)
