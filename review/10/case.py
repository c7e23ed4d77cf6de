"""CONFIG while answers of backends are lost (answer_lost, reset).

Twenty machines, each beside a backend of one service. In up to six episodes the operator adds a route, and for 4 s twelve of
the backends (a share of 0.6) lose 0.4 of their answers: they run the request and reset the connection. Clients ask all nodes
for one page on the route added last, and for other pages on the first route. Counted are requests sent later than 3.5 s
after the lost answers. An episode after which the added route is served ends after a second of that; the others go on for
25 s.
"""
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import rig2 as rig  # noqa: E402

MACHINES, FAULTY, LOST_SHARE, LOST_S = 20, 12, 0.4, 4.0
EPISODES, CLIENTS_PER_ROUTE, REQUESTS_PER_S = 6, 6, 40
STEADY_AFTER_S, PROBE_S, LONG_S = 3.5, 1.0, 25.0


class State:
    def __init__(self):
        self.end = False
        self.losing = False
        self.steady = False
        self.added = None
        self.lock = threading.Lock()
        self.sent = {"first": 0, "added": 0}
        self.served = {"first": 0, "added": 0}
        self.latest = [0, 0]  # Requests and successes on the route added last, in the steady time of its episode.


def behaviour(state, faulty):
    def behave(backend, sock, request):
        body = request["conn"].body(request["fields"])
        backend.note(request, body)
        time.sleep(backend.work_s)
        if state.losing and faulty and random.random() < LOST_SHARE:
            backend.record.add(backend.name, "loses its answer to %s" % request["id"])
            rig.reset(sock)
            raise EOFError("answer lost")
        backend.answer(sock, request)
        return True
    return behave


def client(fleet, kind, number, state, record):
    count = 0
    while not state.end:
        path = "/a/page%d.%d" % (number, count) if kind == "first" else state.added
        if path is None:
            time.sleep(0.05)
            continue
        count += 1
        steady = state.steady
        attempt = "%s%d.%d" % (kind, number, count)
        status = rig.ask(random.choice(fleet.nodes), "GET", path, attempt, 4000)[0]
        record.add("client", "%s %s answered %d%s" % (attempt, path, status, " (steady)" if steady else ""))
        if steady:
            with state.lock:
                state.sent[kind] += 1
                state.served[kind] += 1 if status == 200 else 0
                if kind == "added":
                    state.latest[0] += 1
                    state.latest[1] += 1 if status == 200 else 0
        time.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS_PER_ROUTE))


def check(fleet, record):
    routes, state = {"first": rig.route("files", "/a/")}, State()
    fleet.store.publish(3, routes, ["files"])
    for number, backend in enumerate(fleet.backends):
        backend.slots, backend.work_s, backend.behave = 8, 0.02, behaviour(state, number < FAULTY)
    fleet.start()
    if not fleet.wait_ready():
        return 2
    time.sleep(8)
    threads = [threading.Thread(target=client, args=(fleet, kind, number, state, record))
               for kind in ("first", "added") for number in range(CLIENTS_PER_ROUTE)]
    for thread in threads:
        thread.start()
    for episode in range(EPISODES):
        time.sleep(1.0)
        state.latest = [0, 0]
        routes["added%d" % episode] = rig.route("files", "/added%d/" % episode)
        fleet.store.publish(4 + episode, routes, ["files"])
        state.losing = rig.TROUBLE
        time.sleep(0.5)
        state.added = "/added%d/list" % episode
        time.sleep(LOST_S - 0.5)
        state.losing = False
        time.sleep(STEADY_AFTER_S)
        state.steady = True
        time.sleep(PROBE_S)
        if state.latest[1] * 4 < state.latest[0]:
            time.sleep(LONG_S)
            state.steady = False
            break
        state.steady = False
    state.end = True
    for thread in threads:
        thread.join(10)
    share = {kind: state.served[kind] / max(state.sent[kind], 1) for kind in state.sent}
    text = "steady: first route %d of %d served, added routes %d of %d, the last of them %d of %d" % (
        state.served["first"], state.sent["first"], state.served["added"], state.sent["added"],
        state.latest[1], state.latest[0])
    record.add("script", text)
    print(text)
    if state.sent["added"] < 20 or state.sent["first"] < 20 or share["first"] < 0.5:
        return 2
    return 1 if share["added"] < share["first"] / 4 else 0


rig.run(FOLDER, [("z%d" % (number % 3), "files") for number in range(MACHINES)], check)
