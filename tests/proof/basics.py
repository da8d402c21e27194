"""Waits, checks and single exchanges, for all of the proofs."""
import contextlib
import http.client
import threading
import time

LIMIT_S = 60
POLL_S = 0.01
CASES = {}


class Failure(Exception):
    """What must hold did not."""


def case(function):
    """Registers a proof; its docstring names the guard that it proves."""
    name = function.__name__
    if name in CASES:
        raise SystemExit("two cases are named " + name)
    CASES[name] = function
    return function


def check(holds, message, *args):
    if not holds:
        raise Failure(message % args)


def wait(what, look, limit=None):
    """Waits until look() is true and returns what it gave."""
    end = time.monotonic() + (limit or LIMIT_S)
    while time.monotonic() < end:
        found = look()
        if found:
            return found
        time.sleep(POLL_S)
    raise Failure("never came: " + what)


def together(*functions):
    """Runs functions at the same time; raises the first failure."""
    faults = []

    def guarded(function):
        try:
            function()
        except Exception as fault:  # told to the case below
            faults.append(fault)

    threads = [threading.Thread(target=guarded, args=(function,))
               for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if faults:
        raise faults[0]


def request(addr, method, path, body=b"", headers=None, timeout=LIMIT_S):
    """One exchange; returns (status, headers, body)."""
    host, port = addr.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
