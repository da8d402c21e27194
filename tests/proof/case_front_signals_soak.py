"""bk-front under faults, beside upstreams that say in their answers that they
leave, name a limit, or want nothing for a while.

The bounds are judged for each process of bk-front: the records of the callers
say which of them passed an answer on, and those of the upstreams when a
request of it came. SOAK_S sets the duration in seconds.
"""
import collections
import time

from basics import case, check
from case_front import chunk, stream_bytes, stream_head
from case_front_soak import EVENTS, FRONTS, Soak, run_soak
from platform_standins import not_run, sealed

DRAIN_S = 2          # from the word that it leaves until the last request
CONTACT_S = 3        # from the first naming of a limit until it binds
PASSED_ON_S = 0.5    # from an answer until its front is bound
WINDOW_S, OVERSHOOT, SLACK = 4, 1.5, 5  # of a limit
HOLD_OFF_S, IN_FLIGHT_S, TOLERATED = 2, 0.5, 2


class Word:
    """What an upstream says from a moment on. kind: limit, leave or hold."""

    def __init__(self, upstream, kind, rate=0):
        self.upstream, self.kind, self.rate = upstream, kind, rate
        self.begin, self.end = time.monotonic(), None

    def fields(self):
        return {"limit": "Server-Limit: %s\r\n" % self.rate,
                "leave": "Server-Leaving: 1\r\n", "hold": ""}[self.kind]


class Said:
    """What an upstream says now, and the requests that it got."""

    def __init__(self):
        self.word, self.arrivals, self.upstream = None, [], None


class SignalsSoak(Soak):
    def __init__(self, world):
        self.words, self.told, self.refused = [], [], []
        super().__init__(world)

    def replica(self, name, service="app", models=None):
        said = Said()
        upstream = super().replica(
            name, service, models,
            lambda req, sock: self.answer(said, req, sock))
        said.upstream, upstream.said = upstream, said
        return upstream

    def answer(self, said, req, sock):
        now = time.monotonic()
        with self.lock:
            said.arrivals.append((now, req.id))
            word = said.word
        if word and word.kind == "hold":
            with said.upstream.lock:
                said.upstream.runs.remove(req)
            with self.lock:
                self.refused.append((now, said.upstream, req.id, word))
            sock.sendall(not_run(req).replace(
                b"Content-Length",
                b"Retry-After: %d\r\nContent-Length" % HOLD_OFF_S))
            return
        fields = word.fields() if word else ""
        if not req.target.startswith(("/flow/", "/again/", "/llm/")):
            sock.sendall(sealed(req, b"for " + req.id.encode(), 200, fields))
            return
        sock.sendall(stream_head(req).replace(
            b"Transfer-Encoding", fields.encode() + b"Transfer-Encoding"))
        first = int(req.fields.get("last-event-id", 0)) + 1
        for n in range(first, EVENTS + 1):
            sock.sendall(chunk(stream_bytes(n, n)))
        sock.sendall(b"0\r\n\r\n")

    def record(self, *answer):
        request_id, fields = answer[0], answer[3]
        if "server-limit" in fields or "server-leaving" in fields:
            with self.lock:
                self.told.append((time.monotonic(), request_id))
        super().record(*answer)

    def need(self):
        """An upstream says something for a while."""
        upstream = self.rng.choice(self.apps + self.engines)
        kind = self.rng.choice(("limit", "limit", "leave", "hold"))
        word = Word(upstream, kind, self.rng.choice((0, 0.7, 1.2, 3, 10)))
        with self.lock:
            if upstream.said.word:
                return
            upstream.said.word = word
            self.words.append(word)
        time.sleep({"limit": 6, "leave": 4, "hold": HOLD_OFF_S / 2}[kind])
        with self.lock:
            word.end = time.monotonic()
            upstream.said.word = None
        if kind == "leave":
            self.replace(upstream)

    def replace(self, old):
        """A new process takes the place of one that has left."""
        self.incarnation += 1
        group = self.apps if old in self.apps else self.engines
        group[group.index(old)] = self.replica(
            "%s-%d" % (old.id, self.incarnation), old.service,
            None if old.models is None else dict(old.models))
        self.removed.append(old)
        self.store.put("servers", old.id, None)

    def faults(self):
        return [self.kill, self.stop, self.hup, self.store_outage,
                self.store_silent, self.store_loses_history, self.change] + \
            [self.need] * 7


def arrivals_of(soak, upstream, front):
    return [at for at, request_id in upstream.said.arrivals
            if soak.senders.get(request_id) is front]


def fronts_told(soak, word):
    """When each front first passed on an answer with this word."""
    ids = {request_id for _, request_id in word.upstream.said.arrivals}
    first = {}
    for at, request_id in soak.told:
        if request_id in ids and word.begin <= at:
            first.setdefault(soak.senders[request_id], at)
    return first


def check_leaving(soak, word):
    for front, at in fronts_told(soak, word).items():
        late = [x - at for x in arrivals_of(soak, word.upstream, front)
                if x > at + DRAIN_S]
        check(not late, "%s got a request %.1f s after %s knew that it leaves",
              word.upstream.id, late[0] if late else 0, front.name)


def check_limit(soak, word):
    times = sorted(x for front, at in fronts_told(soak, word).items()
                   for x in arrivals_of(soak, word.upstream, front)
                   if max(word.begin + CONTACT_S, at + PASSED_ON_S) <= x
                   <= word.end)
    allowed = OVERSHOOT * word.rate * WINDOW_S + SLACK
    most = max((sum(1 for x in times if start <= x < start + WINDOW_S)
                for start in times), default=0)
    check(most <= allowed, "%s, limit %s: %d requests in %d s; allowed %d",
          word.upstream.id, word.rate, most, WINDOW_S, allowed)


def check_hold_offs(soak):
    for at, upstream, request_id, _ in soak.refused:
        front = soak.senders.get(request_id)
        late = [x for x in arrivals_of(soak, upstream, front)
                if at + IN_FLIGHT_S < x < at + HOLD_OFF_S]
        check(len(late) <= TOLERATED, "%s got %d requests of %s in a hold-off",
              upstream.id, len(late), front and front.name)


@case
def soak_front_signals(world):
    """All that soak_front promises, and: an upstream that says that it leaves,
    names a limit or wants nothing for a while gets no more than that from each
    daemon that was told, or from all of them together."""
    soak = SignalsSoak(world)
    run_soak(soak)
    kinds = collections.Counter(x.kind for x in soak.words)
    check(kinds, "no upstream said anything in %d fronts' time", FRONTS)
    for word in soak.words:
        if word.end is None:
            continue
        if word.kind == "leave":
            check_leaving(soak, word)
        elif word.kind == "limit":
            check_limit(soak, word)
    check_hold_offs(soak)
