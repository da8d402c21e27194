"""Upstreams that say in their answers that they leave, or that they want
nothing for a while."""
import threading
import time

from basics import case, check, wait
from case_front import runs, serve, set_handlers
from case_front_limit import hear_each_other, press
from case_front_state import ask, engines
from platform_standins import Caller, Front, Replica, Store, configure, \
    not_run, raw_request, route, sealed

HOLD_OFF_S = 2
GRACE_S = 0.5   # until then, what was already sent may arrive
TOLERATED = 2   # requests that may arrive after that


def leaving(req, sock):
    sock.sendall(sealed(req, fields="Server-Leaving: 1\r\n"))


def refusal(seconds):
    """A refusal that names a time in which the upstream wants nothing."""
    return lambda req, sock: sock.sendall(not_run(req).replace(
        b"Content-Length", b"Retry-After: %s\r\nContent-Length"
        % str(seconds).encode()))


class SheddingUpstream:
    """Refuses for HOLD_OFF_S and then serves, and judges what came between."""

    def __init__(self, upstream):
        self.refused_at, self.arrivals, self.lock = [], [], threading.Lock()
        upstream.handlers = [self.serve]

    def serve(self, req, sock):
        now = time.monotonic()
        with self.lock:
            self.arrivals.append(now)
            shed = not self.refused_at or \
                now < self.refused_at[0] + HOLD_OFF_S
            if shed:
                self.refused_at.append(now)
        if shed:
            return refusal(HOLD_OFF_S)(req, sock)
        sock.sendall(sealed(req))
        return True

    def check(self):
        first = self.refused_at[0]
        between = [x for x in self.arrivals
                   if first + GRACE_S <= x < first + HOLD_OFF_S]
        check(len(between) <= TOLERATED, "%d requests in the hold-off",
              len(between))
        check(any(x >= first + HOLD_OFF_S for x in self.arrivals),
              "it is not used again")


@case
def signals_leaving_by_answer(world):
    """While the store is silent, an upstream says in an answer that it leaves:
    that daemon and its peers send it nothing more, also after a report that it
    is ready. A new process under its id is used again."""
    store = Store()
    configure(store, 1, [route("safe", "safe")])
    upstreams = [Replica(store, "i-%d" % n, slots=50) for n in range(2)]
    fronts = [Front(world, store, "front-%d" % n) for n in range(3)]
    for front in fronts:
        front.await_ready()
    hear_each_other(fronts)
    store.silent = True
    upstreams[0].handlers = [leaving]
    caller = Caller(fronts[0])
    wait("it said so", lambda: (caller.ask("/safe/"), runs(upstreams[:1]))[1])
    upstreams[0].runs.clear()
    for _ in range(20):
        check(caller.ask("/safe/")[0] == 200, "not served")
    check(not runs(upstreams[:1]), "it got a request after it had said so")

    def knows(front):
        return any(x["id"] == "i-0" and x["is"] == "leaving"
                   for x in front.events("upstream"))
    wait("its peers know", lambda: all(knows(x) for x in fronts))
    store.silent = False
    upstreams[0].register(state="ready", sequence=2)
    late = Replica(store, "i-late", slots=50)
    wait("the report has come", lambda: all(any(
        x["id"] == late.id for x in front.events("upstream"))
        for front in fronts))
    answers = press(fronts, 1, lambda caller: caller.ask("/safe/"))
    check({code for code, _ in answers} == {200}, "%s", answers)
    check(not runs(upstreams[:1]), "a report brought it back")
    upstreams[0].handlers = [lambda req, sock: sock.sendall(sealed(req))]
    upstreams[0].register(born=7)
    wait("the new process is used", lambda: (
        caller.ask("/safe/"), runs(upstreams[:1]))[1])


@case
def signals_leaving_by_refusal(world):
    """An engine that refuses a request with the word that it leaves gets no
    more, and another one serves the request."""
    _, upstreams, (front,) = engines(world, [{"m1": set()}, {"m1": set()}])
    front.await_retry_budget()
    upstreams[0].handlers = [lambda req, sock: sock.sendall(
        not_run(req).replace(b"Content-Length",
                             b"Server-Leaving: 1\r\nContent-Length"))]
    for _ in range(10):
        check(ask(front, "m1")[0] == 200, "not served")
    check(len(runs(upstreams[:1])) == 1, "%d requests",
          len(runs(upstreams[:1])))
    wait("it counts as leaving", lambda: any(
        x["id"] == "e-0" and x["is"] == "leaving"
        for x in front.events("upstream")))


@case
def signals_leaving_by_answer_to_planner(world):
    """An engine that no request has reached yet says that it leaves in its
    answer to the planner's poll, or to an order: no request is sent there."""
    for order in (False, True):
        _, upstreams, (front,) = engines(
            world, [{"m1": set()}, {"m1": set()}, {"m2": set()}])
        if order:
            wait("a planner", lambda: ask(front, "m1/a1")[0] == 200)
        leaver = upstreams[2]
        leaver.state_fields = b"Server-Leaving: 1\r\n"
        if order:  # it is ordered to load the adapter, and says so
            ask(front, "m2/a1", X_Deadline_Ms="1500")
        wait("it counts as leaving", lambda: any(
            x["id"] == leaver.id and x["is"] == "leaving"
            for x in front.events("upstream")))
        before = len(runs([leaver]))
        ask(front, "m2", X_Deadline_Ms="1000")
        check(len(runs([leaver])) == before, "it got a request")
        front.kill()


@case
def signals_hold_off(world):
    """An upstream turns requests away and names a time: with callers that ask
    all the time it gets nothing until then, the others serve, and afterwards
    it is used again."""
    store, upstreams, front = serve(world, 2, slots=50)
    shedding = SheddingUpstream(upstreams[0])
    answers = press([front], HOLD_OFF_S + 3,
                    lambda caller: caller.ask("/once/", b""))
    shedding.check()
    check({code for code, _ in answers} == {200}, "%s",
          {code for code, _ in answers})


@case
def signals_hold_off_of_last(world):
    """The same for the only upstream of a service: the requests that it would
    get meanwhile are refused as not run, or wait until it takes them."""
    _, upstreams, front = serve(world, 1, slots=50)
    shedding = SheddingUpstream(upstreams[0])
    answers = press([front], HOLD_OFF_S + 3,
                    lambda caller: caller.ask("/once/", b"",
                                              X_Deadline_Ms="1000"))
    shedding.check()
    codes = {code for code, _ in answers}
    check(codes == {200, 503}, "%s", codes)


@case
def signals_hold_off_renewed(world):
    """An upstream names a time, and a longer one in the refusal of a request
    that was on its way: the later end counts. A new process under its id
    wants requests at once."""
    store, upstreams, front = serve(world, 1, slots=50)
    in_flight = threading.Event()

    def refuse_later(req, sock):
        in_flight.wait(20)
        return refusal(60)(req, sock)
    set_handlers(upstreams[0], refuse_later, refusal(0.5))
    slow, quick = Caller(front), Caller(front)
    slow.send(raw_request("/once/", b"", X_Deadline_Ms="1500"))
    wait("it is on its way", lambda: runs(upstreams))
    check(quick.ask("/once/", b"", X_Deadline_Ms="300")[0] == 503,
          "served in the hold-off")
    in_flight.set()
    check(slow.read_answer()[0] == 503, "served in the hold-off")
    time.sleep(1)
    upstreams[0].runs.clear()
    check(quick.ask("/once/", b"", X_Deadline_Ms="1000")[0] == 503 and
          not runs(upstreams), "it got a request before the longer end")
    upstreams[0].register(born=7)
    wait("the new process is used", lambda: quick.ask(
        "/once/", b"", X_Deadline_Ms="1000")[0] == 200)


@case
def signals_all_held_off(world):
    """All engines of a model want nothing for a while: requests whose callers
    do not wait that long are refused at once as not run, with a Retry-After of
    that time, and none reaches an engine."""
    _, (upstream,), (front,) = engines(world, [{"m1": set()}])
    upstream.handlers = [refusal(30)]

    def ask_once():
        code, fields, _, _ = ask(front, "m1", X_Deadline_Ms="9000")
        check(code == 503, "status %d", code)
        return float(fields["retry-after"])
    ask_once()
    before = len(runs([upstream]))
    start = time.monotonic()
    delays = [ask_once() for _ in range(20)]
    check(time.monotonic() - start < 9, "refusals are held back")
    check(min(delays) > 2, "Retry-After %s, a third of 9 s is allowed",
          min(delays))
    check(len(runs([upstream])) == before, "it got a request")


@case
def signals_odd_values(world):
    """Values that cannot be used are logged and change nothing."""
    _, upstreams, front = serve(world, 1)
    handlers = [lambda req, sock, line=line: sock.sendall(
        sealed(req, fields=line + "\r\n")) for line in
        ("Server-Leaving: yes", "Server-Leaving: 0", "Server-Limit: few")]
    handlers += [refusal(x) for x in ("-1", "Fri, 04 Dec 2026 08:00:00 GMT")]
    caller = Caller(front)
    for handler in handlers:
        upstreams[0].handlers = [handler]
        caller.ask("/safe/")
    upstreams[0].handlers = [lambda req, sock: sock.sendall(sealed(req))]
    wait("it is still used", lambda: caller.ask("/safe/")[0] == 200)
    for event, count in (("bad leaving flag, ignored", 2),
                         ("bad rate limit, ignored", 1),
                         ("bad hold-off, ignored", 2)):
        wait(event, lambda: len(front.events(event)) >= count)
    check(not [x for x in front.events("upstream") if x["is"] != "listed"],
          "an odd value marked it")


@case
def signals_hold_off_for_planner(world):
    """An engine answers the planner's orders and polls with 503 and a time in
    which it wants nothing: neither a request, nor an order, nor a poll reaches
    it until then, and afterwards it gets the order."""
    _, (upstream,), (front,) = engines(world, [{"m1": set()}])
    wait("a planner", lambda: ask(front, "m1/a1")[0] == 200)
    arrivals, shed_at, usual = [], [], upstream.handle

    def shed(req, sock):
        arrivals.append(time.monotonic())
        if shed_at and arrivals[-1] >= shed_at[0] + HOLD_OFF_S:
            return usual(req, sock)
        shed_at.append(arrivals[-1])
        return refusal(HOLD_OFF_S)(req, sock)
    upstream.handle = shed
    # only the planner can load the adapter, so that the order comes first
    answers = press([front], HOLD_OFF_S + 3, lambda caller: caller.ask(
        "/llm/", b"", X_Model="m1/a2", X_Token_Count="300,9",
        X_Deadline_Ms="1000"))
    between = [x for x in arrivals
               if shed_at[0] + GRACE_S <= x < shed_at[0] + HOLD_OFF_S]
    check(len(between) <= TOLERATED, "%d orders, polls or requests in the "
          "hold-off", len(between))
    check({code for code, _ in answers} == {200, 503}, "%s",
          {code for code, _ in answers})


@case
def signals_limit_read_by_planner(world):
    """An engine that no request has reached yet names a limit in its answer to
    the planner's poll or order: the limit is kept to from then on."""
    _, (upstream,), (front,) = engines(world, [{"m1": set()}])
    wait("a planner", lambda: ask(front, "m1/a1")[0] == 200)
    upstream.state_fields = b"Server-Limit: 0.5\r\n"
    ask(front, "m1/a2", X_Deadline_Ms="1500")
    wait("the limit is known", lambda: any(
        x["upstream"] == upstream.id and x["per_s"] == 0.5
        for x in front.events("rate limit")), 5)
