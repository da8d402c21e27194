"""bk-front under faults, beside upstreams of two software versions whose
streams break off in all ways, and callers that take them up elsewhere.

The callers judge what they received: each event names the version that wrote
it. SOAK_S sets the duration in seconds.
"""
import random
import re
import time

from basics import case, check
from case_front import chunk, reset, stream_head
from case_front_soak import Soak, handle, run_soak
from platform_standins import Caller, raw_request, route

EVENTS = 12
GAP_S = 0.02    # between two events
TAKERS = 6      # callers that take streams up
TRIES = 3       # of a caller, for one stream
BREAKS = 0.3    # of the runs break off
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


def event(number, software):
    return b"id: %d\ndata: %s\n\n" % (number, software.encode())


def whole_events(body):
    """Without the piece of an event behind them."""
    end = body.rfind(b"\n\n")
    return b"" if end < 0 else body[:end + 2]


class VersionsSoak(Soak):
    def __init__(self, world):
        self.streams = []  # (id, tries, events received, whole); id None: none came
        self.draws = random.Random(world.seed + 1)
        super().__init__(world)

    def routes(self):
        return super().routes() + [
            route("taken", "streaming", resumable=True, targetLatencyMs=1000)]

    def replica(self, name, service="app", models=None):
        software = self.draws.choice(("v1", "v2"))
        return super().replica(
            name, service, models,
            lambda req, sock: self.answer(software, req, sock), software)

    def answer(self, software, req, sock):
        if not req.target.startswith("/taken/"):
            return handle(req, sock)
        first = int(req.fields.get("last-event-id", 0)) + 1
        with self.lock:
            framed = self.draws.random() < 0.5
            breaks = self.draws.random() < BREAKS
            last = self.draws.randrange(first, EVENTS + 1) if breaks and \
                first <= EVENTS else EVENTS
            cut = self.draws.randrange(1, len(event(1, software)))
            end = self.draws.choice((lambda sock: False, reset))

        def send(data):
            sock.sendall(chunk(data) if framed else data)
        sock.sendall(stream_head(req) if framed else stream_head(req).replace(
            b"Transfer-Encoding: chunked\r\n", b""))
        for number in range(first, last + 1):
            if breaks and number == last:
                send(event(number, software)[:cut])
                return end(sock)
            send(event(number, software))
            time.sleep(GAP_S)
        if framed:
            sock.sendall(b"0\r\n\r\n")
        return framed

    def take_up(self, index):
        """Asks for streams, and takes up those that break off at another
        daemon."""
        rng = random.Random(self.world.seed * 1000 + index)
        turn = 0
        while not self.stopped.is_set():
            turn += 1
            stream, received, whole, tries = None, b"", False, 0
            while tries < TRIES and not whole:
                tries += 1
                request_id = "rv%d-%d-%d" % (index, turn, tries)
                fields = {} if stream is None else {
                    "Last_Event_Id": str(len(EVENT.findall(received))),
                    "Resumes": stream}
                body, whole = self.ask(rng, request_id, fields)
                received += body if whole else whole_events(body)
                if stream is None and received:
                    stream = request_id
            with self.lock:
                self.streams.append((stream, tries, received, whole))

    def ask(self, rng, request_id, fields):
        """Returns the body of a success, and whether it is whole."""
        try:
            caller = Caller(rng.choice(self.fronts))
            caller.sock.settimeout(12)
            caller.send(raw_request("/taken/x", b"", X_Request_Id=request_id,
                                    X_Deadline_Ms="4000", **fields))
            code, _, body, whole = caller.read_answer()
            caller.close()
        except (OSError, ValueError):
            return b"", False
        if code != 200:
            time.sleep(0.05)
            return b"", False
        return body, whole

    def callers(self):
        return super().callers() + [lambda n=n: self.take_up(n)
                                    for n in range(TAKERS)]

    def check(self):
        taken_up = 0
        for stream, tries, received, whole in self.streams:
            events = EVENT.findall(received)
            numbers = [int(number) for number, _ in events]
            check(b"".join(b"id: %s\ndata: %s\n\n" % x for x in events) ==
                  received, "%s: odd bytes %r", stream, received)
            check(numbers == list(range(1, len(numbers) + 1)), "%s: events %s",
                  stream, numbers)
            check(len({software for _, software in events}) <= 1,
                  "%s: events of two versions: %s", stream, events)
            check(not whole or len(events) == EVENTS,
                  "%s looks complete with %d events", stream, len(events))
            taken_up += tries > 1 and whole
        check(taken_up > 0, "no stream was taken up and ended: %d streams",
              len(self.streams))


@case
def soak_front_versions(world):
    """A stream never holds events of two versions, nor a gap, and never looks
    complete before its end, besides what soak_front guarantees."""
    soak = VersionsSoak(world)
    run_soak(soak)
    soak.check()
