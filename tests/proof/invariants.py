"""Checks of what must hold in every case; each raises Failure if it doesn't.

They read the journals of the stand-ins and the answers that callers received,
never the counters of the daemons.
"""
import json
import re

from basics import check


def xxh32(data):
    """The XXH32 hash with seed 0, as fake-engine computes it of a prompt."""
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
                lanes[lane] = \
                    rotate((lanes[lane] + word * p2) & m, 13) * p1 & m
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
    """The text that every copy of the model generates for the prompt."""
    start = xxh32((model + "\n" + prompt).encode())
    return "".join("w%d " % ((start + i) % 100000)
                   for i in range(1, tokens + 1))


def check_memory(world):
    """No engine ever used more memory than it has."""
    for name, line in world.journals("memory"):
        check(line["used"] <= line["capacity"], "%s overcommitted: %s", name,
              line)


def check_no_double_runs(world):
    """No call with an idempotency key ran twice, under any request id."""
    first_runs = {}
    for name, line in world.journals("run"):
        if line["key"]:
            check(line["key"] not in first_runs, "key %s ran at %s and at %s",
                  line["key"], first_runs.get(line["key"]), name)
            first_runs[line["key"]] = name


def runs_of_answer(world, answer):
    """Runs of the request of an answer. bk-entry appends a dot and 8 hex
    digits to the request id of the caller."""
    pattern = re.compile(re.escape(answer.request_id) + r"\.[0-9a-f]{8}$")
    return [(name, line) for name, line in world.journals("run")
            if pattern.match(line["request"])]


def check_not_run_answers(world, answers):
    """No request that was answered "not run" has a run in any journal."""
    runs = {re.sub(r"\.[0-9a-f]{8}$", "", line["request"]): (name, line)
            for name, line in world.journals("run")}
    for answer in answers:
        check(answer.outcome != "not run" or answer.request_id not in runs,
              "%s was answered \"not run\" (%s) and ran: %s",
              answer.request_id, answer.error, runs.get(answer.request_id))


def check_whole_answer(answer, model, prompt, tokens):
    """The caller received the whole text of its request, each event once and
    in order."""
    check(answer is not None and answer.outcome == "done",
          "no answer: %s", answer and (answer.error or answer.outcome))
    check(answer.text == completion(model, prompt, tokens),
          "not the text of its request: %s", answer.text)
    check(not answer.event_ids or
          answer.event_ids == list(range(1, tokens + 1)),
          "events lost or doubled: %s", answer.event_ids)


def check_no_new_work(fake, line_number):
    """The upstream received no new work after this line of its journal."""
    new_work = [x for x in fake.journal() if x["n"] > line_number and
                (x["ev"] == "run" or
                 (x["ev"] == "order" and x["kind"] == "load" and x["taken"]))]
    check(not new_work, "%s got new work while leaving: %s", fake.name,
          new_work)


def accepted_rolls(world):
    """(version, digest, operator) of each committed roll, from the journal of
    the platform. Checks that versions rise by one and that each has an audit
    entry."""
    rolls = []
    for line in world.platform.journal("commit"):
        rows = {op["t"]: json.loads(op["d"]) for op in line["puts"]}
        if "bundle" not in rows:
            continue
        row = rows["bundle"]
        rolls.append((row["version"], row["digest"], row["by"]))
        check(row["version"] == len(rolls), "version %d was committed after "
              "%d others", row["version"], len(rolls) - 1)
        check(rows.get("audit", {}).get("version") == row["version"],
              "version %d has no audit entry", row["version"])
    return rolls
