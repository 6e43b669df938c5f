#!/usr/bin/env python3
"""Sends texts that are not UTF-8 to a real entry instance.

  hostile_text_check.py BUILD_DIR

Each place of a request that a caller fills holds such bytes in turn. The entry instance has to
answer with a status that says what is wrong, to live, and to run a job of another caller.
"""
import json
import pathlib
import socket
import sys
import tempfile

from hostile_reply_check import TIMEOUT_S, Check
from jobs_check import HOST, call

# Bytes that are never in UTF-8, a text cut within a character, and an encoded surrogate.
BAD_BYTES = (b"\xff\xfe", b"\xe0\xa6", b"\xed\xa0\x80")
JOB = b"00000000000000aa"


def body(spec=b"work", label=b"a"):
    return json.dumps({"spec": "SPEC", "steps": [
        {"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300, "required-label": "LABEL"}]},
    ).encode().replace(b"SPEC", spec).replace(b"LABEL", label)


def requests(bad):
    """Yields (what holds the bytes, port, method, target, headers, body, expected statuses)."""
    job = b"/asks/" + JOB
    yield "spec", "callers", b"POST", job, {}, body(spec=b"ab" + bad), {400}
    yield "label", "callers", b"POST", job, {}, body(label=bad), {400}
    yield "key", "callers", b"POST", job, {}, body().replace(b"cpu", bad), {400}
    yield "whole body", "callers", b"POST", job, {}, bad, {400}
    yield "job ID", "callers", b"POST", b"/asks/" + bad, {}, body(), {400}
    yield "job ID of a question", "callers", b"GET", b"/asks/" + bad, {}, b"", {400}
    yield "path", "callers", b"GET", b"/" + bad, {}, b"", {404}
    yield "query", "callers", b"GET", job + b"?" + bad, {}, b"", {410}
    yield "host", "callers", b"GET", job, {b"Host": bad}, b"", {404}
    yield "key of the caller", "callers", b"GET", job, {b"X-Key": bad}, b"", {410}
    yield "deadline", "callers", b"GET", job, {b"X-Deadline-Ms": bad}, b"", {410}
    yield "method", "callers", bad, job, {}, b"", {400, 405}
    yield "job of an operator", "metrics", b"GET", b"/v1/jobs/" + bad, {}, b"", {200, 503}


def ask(address, method, target, headers, text):
    """Returns (status, body); (0, "") if there was no answer."""
    host, port = address.split(":")
    headers = {b"Host": HOST.encode(), **headers, b"Content-Length": b"%d" % len(text),
               b"Connection": b"close"}
    data = b""
    with socket.create_connection((host, int(port)), TIMEOUT_S) as stream:
        stream.sendall(method + b" " + target + b" HTTP/1.1\r\n" + b"".join(
            name + b": " + value + b"\r\n" for name, value in headers.items()) + b"\r\n" + text)
        try:
            while piece := stream.recv(65536):
                data += piece
        except ConnectionResetError:
            pass
    head, _, answer = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]), answer.decode()) if head else (0, "")


class TextCheck(Check):
    def start_entry(self):
        self.entry.start()
        self.until_ready()
        self.wait_completed(self.submit(width=1))

    def run_texts(self):
        failures = 0
        self.start_entry()
        for bad in BAD_BYTES:
            for what, port, method, target, headers, text, expected in requests(bad):
                status, answer = ask(getattr(self.entry, port), method, target, headers, text)
                lives = call(self.entry.ready, "GET", "/readyz")[0] == 200
                where = what not in ("spec", "label", "key", "whole body") or (
                    status == 400 and "column" in json.loads(answer)["field"])
                if status in expected and lives and where:
                    continue
                failures += 1
                print(f"FAIL {what} with {bad}: status {status}, lives: {lives}, {answer[:300]}",
                      flush=True)
                if not lives:
                    self.entry.process.wait(TIMEOUT_S)
                    self.start_entry()
        self.wait_completed(self.submit(width=1))
        for line in self.entry.log.read_bytes().splitlines():
            json.loads(line.decode())
        return failures


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    with tempfile.TemporaryDirectory() as folder:
        check = TextCheck(build, pathlib.Path(folder))
        try:
            failures = check.run_texts()
        finally:
            check.close()
    print("hostile_text_check: " + ("ok" if not failures else f"{failures} failed"))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
