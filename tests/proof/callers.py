"""Callers of bk-entry and what they get."""
import contextlib
import http.client
import json
import threading

from basics import LIMIT_S


class Answer:
    """What a caller got: a whole answer, a stream, or a typed error."""

    def __init__(self, status, headers, request_id):
        self.status, self.headers = status, headers
        self.request, self.body = request_id, b""
        self.ids, self.text, self.done, self.error = [], "", False, None

    def take_event(self, lines):
        fields = dict(line.split(": ", 1) for line in lines if ": " in line)
        if fields.get("event") == "error":
            self.error = json.loads(fields["data"])["error"]
        elif fields.get("data") == "[DONE]":
            self.done = True
        elif "id" in fields:
            self.ids.append(int(fields["id"]))
            self.text += json.loads(fields["data"])["choices"][0]["text"]

    def take_body(self, body):
        self.body = body
        if self.status >= 400:
            self.error = json.loads(body)["error"]
        elif b'"choices"' in body:
            with contextlib.suppress(ValueError):  # no whole answer
                self.text = json.loads(body)["choices"][0]["text"]
                self.done = True

    @property
    def outcome(self):
        """done, not run, outcome unknown, failed, or cut"""
        if self.error is not None:
            return self.error["outcome"]
        plain = self.body and b'"choices"' not in self.body
        return "done" if self.done or plain else "cut"

    @property
    def last(self):
        return self.ids[-1] if self.ids else 0


class Caller:
    """Calls entries under one token; knows every answer it got."""

    def __init__(self, token="token-1"):
        self.token, self.answers, self.count = token, [], 0
        self.lock = threading.Lock()

    def headers(self, extra):
        with self.lock:
            self.count += 1
            name = "%s-%d" % (self.token, self.count)
        return {"Authorization": "Bearer " + self.token,
                "X-Request-Id": name, **(extra or {})}

    def send(self, entry, method, path, body, extra=None, on_event=None):
        """One exchange. A cut leaves an Answer whose outcome is cut; no
        connection at all gives None."""
        headers = self.headers(extra)
        host, port = entry.addr.split(":")
        connection = http.client.HTTPConnection(host, int(port),
                                                timeout=LIMIT_S)
        answer = None
        with contextlib.closing(connection):
            try:
                connection.request(method, path, body, headers)
                got = connection.getresponse()
                answer = Answer(got.status, dict(got.getheaders()),
                                headers["X-Request-Id"])
                self.answers.append(answer)
                self.read(answer, got, on_event)
            except (OSError, http.client.HTTPException):
                pass
        return answer

    @staticmethod
    def read(answer, got, on_event):
        if "event-stream" not in got.getheader("Content-Type", ""):
            answer.take_body(got.read())
            return
        lines = []
        for raw in got:
            line = raw.decode().rstrip("\n")
            if line:
                lines.append(line)
                continue
            answer.take_event(lines)
            lines = []
            if on_event is not None:
                on_event(answer)

    def complete(self, entry, model, prompt, tokens=16, extra=None,
                 stream=False, on_event=None):
        body = json.dumps({"model": model, "prompt": prompt,
                           "max_tokens": tokens, "stream": stream})
        return self.send(entry, "POST", "/v1/completions", body, extra,
                         on_event)

    def resume(self, entry, before, on_event=None):
        """Goes on with a stream at this entry; adds to the same text."""
        after = self.send(entry, "GET", "/v1/resume", b"", {
            "X-Resume-Ticket": before.headers["X-Resume-Ticket"],
            "Last-Event-ID": str(before.last)}, on_event)
        if after is not None:
            after.ids = before.ids + after.ids
            after.text = before.text + after.text
            after.headers.setdefault("X-Resume-Ticket",
                                     before.headers["X-Resume-Ticket"])
        return after

    def call(self, entry, service, path, body, key=None):
        extra = {} if key is None else {"Idempotency-Key": key}
        return self.send(entry, "POST", "/app/%s%s" % (service, path), body,
                         extra)
