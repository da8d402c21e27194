"""DENIED: a stream's consumer that takes it up elsewhere is answered 400.

Twenty consumers read streams that may be resumed, whose event ids are
milliseconds since 1970. The daemon is killed; each consumer takes its stream up
at another daemon with Last-Event-Id.
"""
import os
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../standins-2"))
from common import (  # noqa: E402
    Client, Server, Store, TROUBLE, answer, configure, route, run,
    start_fronts, stream, together)

CLIENTS, SAFE_REQUESTS = 20, 200
EVENTS, PAUSE_S = 20, 0.1
FIRST_ID = 1765118012000  # ms
KILL_AFTER_S = 0.8


def serve(req, sock):
    if req.target.startswith("/lohu930/"):
        last = int(req.fields.get("last-event-id", FIRST_ID - 1))
        stream(req, sock, range(last + 1, FIRST_ID + EVENTS), PAUSE_S)
    else:
        sock.sendall(answer(req))


def event_ids(body):
    """Ids of the whole events."""
    whole = body[:body.rfind(b"\n\n") + 2]
    return [int(x) for x in re.findall(rb"^id: (\d+)$", whole, re.M)]


def consumer(world, fronts, number, results):
    client = Client(world, fronts[0])
    client.ask("POST", "/lohu930/2f", "a%015x" % number, b"prompt",
               deadline_ms=15000)
    code, _, body, whole = client.read_answer()
    ids = event_ids(body)
    world.note("a%015x ends: %d, %d events, whole %s", number, code, len(ids),
               whole)
    if not whole and ids:
        client = Client(world, fronts[1 + number % 2])
        client.ask("POST", "/lohu930/2f", "b%015x" % number, b"prompt",
                   deadline_ms=12000, Last_Event_Id=ids[-1])
        code, _, body, whole = client.read_answer()
        world.note("b%015x ends: %d %r", number, code, body[:80])
        ids += event_ids(body)
    results.append((number, code, ids))


def script(world):
    store, results, served = Store(), [], []
    configure(world, store, 7, [
        route("lohu930", "streaming", "wuno96b", timeoutMs=15000,
              targetLatencyMs=600, gapAimMs=300, resumable=True,
              maxAttempts=2),
        route("fi50", "safe", "wuno96b")])
    for n in range(3):
        Server(world, store, "i-%d" % n, serve)
    fronts = start_fronts(world, store, 3)
    client = Client(world, fronts[1])
    for n in range(SAFE_REQUESTS):
        client.ask("GET", "/fi50/2f", "c%015x" % n)
        served.append(client.read_answer()[0])
    world.note("%d safe requests are answered: %s", len(served),
               sorted(set(served)))

    def kill():
        time.sleep(KILL_AFTER_S)
        fronts[0].kill()
        world.note("SIGKILL to %s", fronts[0].name)
    together([lambda n=n: consumer(world, fronts, n, results)
              for n in range(CLIENTS)] + ([kill] if TROUBLE else []))
    requests = len(served) + 2 * CLIENTS
    denied = [x for x in results if 300 <= x[1] < 500
              and x[1] not in (408, 421, 429)]
    allowed = 5 + requests / 500
    lost = [x for x in results
            if x[2] != list(range(FIRST_ID, FIRST_ID + EVENTS))]
    world.note("%d of %d requests were ended with a 4xx of the daemon, %.1f "
               "allowed; %d streams were never finished", len(denied),
               requests, allowed, len(lost))
    return ["%d requests that take up a stream are answered %s"
            % (len(denied), sorted({x[1] for x in denied}))] \
        if len(denied) > allowed else []


run(FOLDER, script)
