"""Judges: each raises Failure if what must hold did not.

They read the journals of the stand-ins and the answers that callers got,
never the counters of the daemons.
"""
import json
import re

from basics import check


def xxh32(data):
    """xxHash of 32 bits with seed 0, as the fake engine takes of a prompt."""
    p1, p2, p3, p4, p5 = (2654435761, 2246822519, 3266489917, 668265263,
                          374761393)
    m = 0xFFFFFFFF

    def rotate(x, n):
        return ((x << n) | (x >> (32 - n))) & m

    i, acc = 0, p5
    if len(data) >= 16:
        lanes = [(p1 + p2) & m, p2, 0, -p1 & m]
        while i + 16 <= len(data):
            for lane in range(4):
                word = int.from_bytes(data[i:i + 4], "little")
                lanes[lane] = rotate((lanes[lane] + word * p2) & m, 13) * p1 & m
                i += 4
        acc = sum(rotate(v, n) for v, n in zip(lanes, (1, 7, 12, 18)))
    acc = (acc + len(data)) & m
    while i + 4 <= len(data):
        word = int.from_bytes(data[i:i + 4], "little")
        acc = rotate((acc + word * p3) & m, 17) * p4 & m
        i += 4
    for byte in data[i:]:
        acc = rotate((acc + byte * p5) & m, 11) * p1 & m
    acc = (acc ^ acc >> 15) * p2 & m
    acc = (acc ^ acc >> 13) * p3 & m
    return acc ^ acc >> 16


def completion(model, prompt, tokens):
    """The text that every copy of the model gives."""
    start = xxh32((model + "\n" + prompt).encode())
    return "".join("w%d " % ((start + i) % 100000)
                   for i in range(1, tokens + 1))


def memory_ok(world):
    """No engine ever held more than its capacity."""
    for name, line in world.journals("memory"):
        check(line["used"] <= line["capacity"], "%s overcommitted: %s", name,
              line)


def no_doubles(world):
    """No call with a key ran twice, whatever its request id."""
    ran = {}
    for name, line in world.journals("run"):
        if line["key"]:
            check(line["key"] not in ran, "key %s ran at %s and at %s",
                  line["key"], ran.get(line["key"]), name)
            ran[line["key"]] = name


def runs_of(world, answer):
    """Runs of the request of an answer: bk-entry adds a dot and digits."""
    mark = re.compile(re.escape(answer.request) + r"\.[0-9a-f]{8}$")
    return [(name, line) for name, line in world.journals("run")
            if mark.match(line["request"])]


def not_run_true(world, answers):
    """What was refused with "not run" is in no journal as a run."""
    ran = {re.sub(r"\.[0-9a-f]{8}$", "", line["request"]): (name, line)
           for name, line in world.journals("run")}
    for answer in answers:
        check(answer.outcome != "not run" or answer.request not in ran,
              "%s was told \"not run\" (%s) and ran: %s", answer.request,
              answer.error, ran.get(answer.request))


def answer_whole(answer, model, prompt, tokens):
    """The caller has all of its own text, each event once, in order."""
    check(answer is not None and answer.outcome == "done",
          "no answer: %s", answer and (answer.error or answer.outcome))
    check(answer.text == completion(model, prompt, tokens),
          "another text than its own: %s", answer.text)
    check(not answer.ids or answer.ids == list(range(1, tokens + 1)),
          "events lost or doubled: %s", answer.ids)


def leaving_ok(fake, since):
    """No new work at the upstream behind line number since."""
    late = [x for x in fake.journal() if x["n"] > since and
            (x["ev"] == "run" or
             (x["ev"] == "order" and x["kind"] == "load" and x["taken"]))]
    check(not late, "%s got new work while leaving: %s", fake.name, late)


def accepted_rolls(world):
    """(version, digest, operator) of each commit, by the journal; the
    versions rise by one, and each has its audit entry."""
    rolls = []
    for line in world.platform.journal("commit"):
        puts = {op["t"]: json.loads(op["d"]) for op in line["puts"]}
        if "bundle" not in puts:
            continue
        row = puts["bundle"]
        rolls.append((row["version"], row["digest"], row["by"]))
        check(row["version"] == len(rolls), "version %d was committed after "
              "%d others", row["version"], len(rolls) - 1)
        check(puts.get("audit", {}).get("version") == row["version"],
              "version %d has no audit entry", row["version"])
    return rolls
