#!/usr/bin/env python3
"""Runs every test program, prints each failure and a final count.

Failures of tests that KNOWN-RED.txt lists by name are printed but do not affect
the exit code; any other failure makes the exit code 1.
"""
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FUZZ_SEEDS = range(1, 9)
TIMEOUT_S = 420


def known_red():
    names = {}
    path = ROOT / "KNOWN-RED.txt"
    if path.exists():
        for line in path.read_text().splitlines():
            if line.startswith("test: "):
                names[line[len("test: "):].split()[0]] = line
    return names


def run(command):
    try:
        done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                              text=True, errors="replace", timeout=TIMEOUT_S, cwd=ROOT)
        return done.returncode, done.stdout
    except subprocess.TimeoutExpired as late:
        out = late.stdout or b""
        return 124, out.decode(errors="replace") if isinstance(out, bytes) else out


def cpputest(program):
    """Yields (name, passed, output) for every test of a CppUTest program."""
    code, out = run([program, "-v"])
    seen_failure = False
    for match in re.finditer(r"^TEST\((\w+), (\w+)\)(.*?)(?=^TEST\(|\Z)", out, re.S | re.M):
        failed = ": error: Failure in" in match.group(3) or " ms" not in match.group(3)
        seen_failure |= failed
        yield f"{match.group(1)}.{match.group(2)}", not failed, match.group(0)
    if code != 0 and not seen_failure:
        yield f"{program.name}.exit", False, f"exit code {code}\n{out[-4000:]}"


def fuzz(build):
    """Runs every seed of every fuzz program in parallel; the runs are independent."""
    runs = [(source.stem, seed) for source in sorted((ROOT / "fuzz").glob("*Fuzz.cpp"))
            for seed in FUZZ_SEEDS]

    def run_seed(name_and_seed):
        name, seed = name_and_seed
        code, out = run([build / name, "--seed", str(seed)])
        return f"{name}.seed{seed}", code == 0, out[-4000:]

    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        yield from pool.map(run_seed, runs)


def suite(build):
    for name in ("unit_tests", "integration_tests"):
        program = build / name
        if program.exists():
            yield from cpputest(program)
    yield from fuzz(build)
    for script in sorted((ROOT / "tests").glob("*_check.py")):
        code, out = run([sys.executable, script, str(build)])
        yield script.stem, code == 0, out[-4000:]


def main():
    build = ROOT / (sys.argv[1] if len(sys.argv) > 1 else "build")
    red = known_red()
    passed = failed = passed_over = 0
    for name, ok, output in suite(build):
        if ok:
            passed += 1
            if os.environ.get("VERBOSE"):
                print(f"pass {name}")
        elif name in red:
            passed_over += 1
            print(f"KNOWN RED {red[name]}")
        else:
            failed += 1
            print(f"FAIL {name}\n{output}")
    if passed_over:
        print(f"{passed_over} known red passed over")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
