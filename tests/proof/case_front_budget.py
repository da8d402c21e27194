"""Retries of all daemons together keep to the common limit, as the upstreams
see them: arrivals beyond the first of each request, in every window."""
import itertools
import threading
import time

from basics import case, check, wait
from case_front_limit import hear_each_other
from links import linked_front
from platform_standins import BOUNDS, Caller, Front, Replica, Store, \
    configure, not_run, route, sealed

WINDOW_S, RATIO, SLACK = 4, 0.2, 12
LIMITED = {**BOUNDS, "budgetWindowS": WINDOW_S, "budgetRatio": RATIO,
           "budgetSlack": SLACK}
NO_RETRIES = {**BOUNDS, "budgetWindowS": WINDOW_S, "budgetRatio": 0.001,
              "budgetSlack": 0.01}
UPSTREAMS = 4
CALLERS = 2  # at each daemon
PAUSE_S = 0.01
NUMBERS = itertools.count()


class Service:
    """Upstreams that note what arrives, and refuse it while told to."""

    def __init__(self, world, names, bounds, linked=False):
        self.world, self.store, self.bounds = world, Store(), bounds
        configure(self.store, 1, [route("once", "unsafe", maxAttempts=1)])
        self.lock, self.refusing = threading.Lock(), threading.Event()
        self.arrivals, self.requests = [], []
        self.replicas = [Replica(self.store, "i-%d" % n, slots=200)
                         for n in range(UPSTREAMS)]
        for replica in self.replicas:
            replica.handlers = [self.handle]
        start = linked_front if linked else Front
        self.fronts = [start(world, self.store, name, bounds=bounds)
                       for name in names]
        for front in self.fronts:
            front.await_ready()
        hear_each_other(self.fronts)
        time.sleep(WINDOW_S)  # the slack grows that long

    def handle(self, req, sock):
        with self.lock:
            self.arrivals.append((time.monotonic(), req.id))
        sock.sendall(not_run(req) if self.refusing.is_set() else sealed(req))
        return True

    def press(self, front, end, deadline_ms):
        while time.monotonic() < end:
            request_id = "r%d" % next(NUMBERS)
            with self.lock:
                self.requests.append(time.monotonic())
            try:
                caller = Caller(front)
                caller.ask("/once/", b"", X_Request_Id=request_id,
                           X_Deadline_Ms=str(deadline_ms))
                caller.close()
            except OSError:
                pass  # the daemon has been killed
            time.sleep(PAUSE_S)

    def press_all(self, fronts, seconds, deadline_ms=1500):
        """Returns the threads of callers that ask for so long."""
        end = time.monotonic() + seconds
        threads = [threading.Thread(target=self.press,
                                    args=(front, end, deadline_ms))
                   for front in fronts for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        return threads

    def restart(self, front):
        front.kill()
        return Front(self.world, self.store, front.name, bounds=self.bounds)

    def list_repeats(self):
        """Times of arrivals beyond the first of their request."""
        seen, repeats = set(), []
        for at, request_id in sorted(self.arrivals):
            if request_id in seen:
                repeats.append(at)
            seen.add(request_id)
        return repeats

    def check(self):
        repeats = self.list_repeats()

        def count(times, start):
            return sum(start <= at < start + WINDOW_S for at in times)
        check(repeats, "nothing was tried again")
        for start in repeats:
            requests = max(count(self.requests, start - back)
                           for back in (0, WINDOW_S / 2, WINDOW_S))
            allowed = RATIO * requests + SLACK
            check(count(repeats, start) <= allowed, "%d repeats in %d s, "
                  "for %d requests; allowed %d", count(repeats, start),
                  WINDOW_S, requests, allowed)


def join(threads):
    for thread in threads:
        thread.join()


@case
def budget_after_kill(world):
    """Upstreams begin to refuse, and all daemons are killed a second later:
    what the new processes try again adds to what the old ones did."""
    service = Service(world, ["f-1", "f-2", "f-3"], LIMITED)
    join(service.press_all(service.fronts, WINDOW_S))
    service.refusing.set()
    join(service.press_all(service.fronts, 1))
    fronts = [service.restart(front) for front in service.fronts]
    for front in fronts:
        wait(front.name + " ready", front.ready)
    join(service.press_all(fronts, WINDOW_S))
    service.check()


@case
def budget_callers_move(world):
    """Upstreams refuse, and the callers of one daemon go to another one."""
    service = Service(world, ["f-1", "f-2"], LIMITED)
    join(service.press_all(service.fronts[:1] * 3, WINDOW_S))
    service.refusing.set()
    join(service.press_all(service.fronts[:1] * 3, 0.5))
    join(service.press_all(service.fronts[1:] * 3, WINDOW_S))
    service.check()


@case
def budget_relayed_and_handed_back(world):
    """A relayed request was refused by an upstream before the other daemon
    hands it back: it has arrived, and without a retry budget it must not
    arrive again."""
    service = Service(world, ["f-1", "f-2", "f-3"], NO_RETRIES, linked=True)
    first, *others = service.fronts
    first.links.cut("reset")
    Caller(first).ask("/once/", b"")
    wait("its links are lost", lambda: first.events("links lost"))
    arrived, go_on = threading.Event(), threading.Event()

    def refuse_late(req, sock):
        if req.id == "late":
            service.refusing.set()
            arrived.set()
            go_on.wait()
        return service.handle(req, sock)
    for replica in service.replicas:
        replica.handlers = [refuse_late]
    answers = []
    asking = threading.Thread(target=lambda: answers.append(
        Caller(first).ask("/once/", b"", X_Request_Id="late")))
    asking.start()
    wait("it arrives", arrived.is_set)
    relaying = wait("one relays it", lambda: [x for x in others if any(
        event.get("req") == "late" for event in x.events("sent"))])
    relaying[0].links.cut("live")
    for _ in range(8):  # more than it has open connections
        threading.Thread(target=lambda: Caller(relaying[0]).ask(
            "/once/", b"", X_Deadline_Ms="3000"), daemon=True).start()
    wait("its links are lost", lambda: relaying[0].events("links lost"))
    go_on.set()
    asking.join()
    count = sum(x == "late" for _, x in service.arrivals)
    check(count == 1, "it arrived %d times, and no retry is allowed", count)
    check(answers[0][0] == 503, "%s", answers)
