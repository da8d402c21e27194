"""Sound upstreams that fall silent for a second or so, and go on."""
import time

from basics import case, check
from case_front import chunk, stream_bytes, stream_head
from case_front_limit import hear_each_other
from case_front_recover import check_runs, press_all, serve_linked, \
    share_served
from case_front_state import engines
from platform_standins import Front, Replica, Store, configure, route, sealed

SILENCE_S = 1.2
EVENTS = 5
EVENT_S = 0.02
MANY_CALLERS = 24
MIN_PART = 0.25  # of the requests, of one of two upstreams


def start_working(upstream):
    """Has it answer slowly, and streams pause, while it is silent."""
    def handler(req, sock):
        if "flow" not in req.target and "again" not in req.target and \
                "llm" not in req.target:
            time.sleep(EVENT_S)
            upstream.awake.wait()
            sock.sendall(sealed(req))
            return True
        sock.sendall(stream_head(req))
        for number in range(int(req.fields.get("last-event-id", 0)) + 1,
                            EVENTS + 1):
            time.sleep(EVENT_S)
            upstream.awake.wait()
            sock.sendall(chunk(stream_bytes(number, number)))
        sock.sendall(b"0\r\n\r\n")
        return True
    upstream.handlers = [handler]


def check_unharmed(fronts, silent, runs_before):
    """It is used again, and nobody took the silence for a failure."""
    check(len(silent.runs) > runs_before, "it is not used again")
    for front in fronts:
        for event in ("links lost", "upstream crashed", "evidence"):
            check(not front.events(event), "%s: %s", front.name, event)
        gone = [x for x in front.events("upstream")
                if x["is"] in ("leaving", "gone", "missing")]
        check(not gone, "%s: %s", front.name, gone)


@case
def silent_service(world):
    """An upstream of a plain service: each caller gets a whole answer, nothing
    that may run once runs twice, and it is used again as soon as it goes
    on."""
    store = Store()
    configure(store, 1, [
        route("safe", "safe", targetLatencyMs=300), route("once", "unsafe"),
        route("flow", "streaming", maxAttempts=1),
        route("again", "streaming", resumable=True)])
    upstreams = [Replica(store, "i-%d" % n, slots=50) for n in range(3)]
    for upstream in upstreams:
        start_working(upstream)
    fronts = [Front(world, store, "front-%d" % n) for n in range(3)]
    for front in fronts:
        front.await_ready()
    hear_each_other(fronts)
    tallies = press_all(fronts, 1, 6)
    upstreams[0].fall_silent(SILENCE_S)
    tallies += press_all(fronts, SILENCE_S + 0.1, 6)
    before = len(upstreams[0].runs)
    tallies += press_all(fronts, 1, 6)
    served = share_served(sum(tallies, []))
    check(served == 1, "%.3f served", served)
    check_runs(upstreams, tallies)
    check_unharmed(fronts, upstreams[0], before)


@case
def silent_engine(world):
    """An engine: no model is unloaded or loaded elsewhere for it."""
    store, upstreams, fronts = engines(
        world, [{"m1": set()}, {"m1": set()}, {"m2": set()}], 3)
    hear_each_other(fronts)
    for upstream in upstreams:
        start_working(upstream)
    # the planner may place models until it has nothing more to do
    press_all(fronts, 2, 3, "/llm/", "m1")
    orders = [len(x.orders) for x in upstreams]
    upstreams[0].fall_silent(SILENCE_S)
    tallies = press_all(fronts, SILENCE_S + 0.1, 3, "/llm/", "m1")
    before = len(upstreams[0].runs)
    tallies += press_all(fronts, 2, 3, "/llm/", "m1")
    served = share_served(sum(tallies, []))
    check(served == 1, "%.3f served", served)
    check_unharmed(fronts, upstreams[0], before)
    more = [x for n, upstream in enumerate(upstreams)
            for x in upstream.orders[orders[n]:]]
    check(not more, "%s", more)


@case
def silent_path(world):
    """An upstream that answers no packets for a second is used again within
    another one."""
    _, upstreams, fronts = serve_linked(world, ["f-1", "f-2", "f-3"],
                                        upstreams=2)
    tallies = press_all(fronts, 1, 6)
    links = [front.links.links[upstreams[0].addr] for front in fronts]
    for link in links:
        link.pause()
    tallies += press_all(fronts, 1, MANY_CALLERS)
    for link in links:
        link.restore()
    time.sleep(1)
    before = [len(x.runs) for x in upstreams]
    tallies += press_all(fronts, 1, 6)
    check_runs(upstreams, tallies)
    check_unharmed(fronts, upstreams[0], before[0])
    runs = [len(x.runs) - n for x, n in zip(upstreams, before)]
    check(runs[0] >= MIN_PART * sum(runs), "it got %d of %d requests",
          runs[0], sum(runs))
