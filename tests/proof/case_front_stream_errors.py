"""A stream has begun and broken off, and the next upstream answers with an
error."""
import threading
import time

from basics import case, check, wait
from case_front import reset, serve
from case_front_recover import serve_linked
from platform_standins import Caller, not_run, sealed

FIRST = b"id: 1\ndata: a\n\n"
TEXT = b"id: 2\ndata: it failed\n\n"


def chunked(req, code, fields=""):
    return ("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%sTransfer-Encoding: "
            "chunked\r\n\r\n%x\r\n" % (code, req.id, fields, len(TEXT))
            ).encode() + TEXT + b"\r\n0\r\n\r\n"


def until_close(req, code, fields=""):
    return ("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%sConnection: close\r\n\r\n"
            % (code, req.id, fields)).encode() + TEXT


SEAL = "X-Server-Seal: seal\r\n"
ERRORS = [
    *[lambda req, code=code: sealed(req, TEXT, code)
      for code in (301, 400, 404, 408, 429, 500, 502, 503, 504)],
    *[lambda req, code=code, make=make: make(req, code, SEAL)
      for code in (404, 500, 503) for make in (chunked, until_close)],
    *[lambda req, code=code: not_run(req, code) for code in (421, 429, 503)],
    lambda req: sealed(req, TEXT).replace(SEAL.encode(), b""),
    lambda req: chunked(req, 200),
    lambda req: until_close(req, 200),
    lambda req: sealed(req, TEXT, fields="Content-Encoding: gzip\r\n"),
    lambda req: b"HTTP/1.1 500 X\r\nX-Request-Id: " + req.id.encode() +
                b"\r\nContent-Length: 900\r\n\r\n" + TEXT,
    lambda req: b"HTTP/1.1 500",
    lambda req: b"\r\n\r\n" + TEXT,
    lambda req: TEXT + sealed(req, TEXT, 500),
    lambda req: b"HTTP/1.1 100 Continue\r\n\r\n" + sealed(req, TEXT, 500),
]


class Breaking:
    """Upstreams of which the first one that gets a request breaks off its
    stream, and the others answer with an error."""

    def __init__(self, upstreams):
        self.lock, self.seen = threading.Lock(), {}
        self.error = None
        for upstream in upstreams:
            upstream.handlers = [self.handle]

    def handle(self, req, sock):
        with self.lock:
            number = self.seen[req.id] = self.seen.get(req.id, 0) + 1
        if number > 1:
            sock.sendall(self.error(req))
            return False
        sock.sendall(chunked(req, 200, SEAL).split(b"\r\n\r\n")[0] +
                     b"\r\n\r\n%x\r\n%s\r\n" % (len(FIRST), FIRST))
        threading.Event().wait(0.05)
        return reset(sock)


def ask(front):
    """None if it was refused before a stream began."""
    answer = Caller(front).ask("/again/", b"", X_Deadline_Ms="3000")
    time.sleep(0 if answer[0] == 200 else 0.3)
    return answer if answer[0] == 200 else None


def check_answers(front, breaking, errors=ERRORS):
    for n, error in enumerate(errors):
        breaking.error = error
        code, _, body, whole = wait("a stream begins",
                                    lambda: ask(front), 20)
        check(code == 200 and body == FIRST and not whole,
              "error %d: %d %r, whole: %s", n, code, body, whole)
    check(any(count > 1 for count in breaking.seen.values()),
          "no stream was resumed")


@case
def stream_error_of_next_upstream(world):
    """The caller gets the events of the first one, and an end that is no
    complete one."""
    _, upstreams, front = serve(world, 3)
    check_answers(front, Breaking(upstreams))


@case
def stream_error_by_way_of_another_daemon(world):
    """The same where the daemon of the caller has lost its links."""
    _, upstreams, fronts = serve_linked(world, ["f-1", "f-2", "f-3"],
                                        upstreams=3)
    for front in fronts:
        front.await_retry_budget()
    fronts[0].links.cut("reset")
    Caller(fronts[0]).ask("/once/", b"")
    wait("its links are lost", lambda: fronts[0].events("links lost"))
    check_answers(fronts[0], Breaking(upstreams), ERRORS[::3])
