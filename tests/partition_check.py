#!/usr/bin/env python3
"""Cuts off the data centre of the leader of real entry instances, with each seed of
partition/seeds.txt.

  partition_check.py BUILD_DIR [--seed N] [--seeds FROM-TO] [--jobs N] [--keep DIR]

With --seed or --seeds it plays these instead. Guards against a task that a leader starts again
after another one has recorded its end, against two runs of a task at a time, and against jobs
that do not end after the cut.
"""
import argparse
import asyncio
import concurrent.futures
import pathlib
import subprocess
import sys
import tempfile

TESTS = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(TESTS / "partition"), str(TESTS / "soak"), str(TESTS),
                str(TESTS.parent / "standins/jobs")]
from scenario import Scenario  # noqa: E402

SEEDS = TESTS / "partition/seeds.txt"


def listed_seeds():
    return [int(line.split()[0]) for line in SEEDS.read_text().splitlines()
            if line and not line.startswith("#")]


async def play(build, seed, folder):
    """Plays the day of one seed, and returns whether the rules were kept."""
    scenario, failures = Scenario(build, seed, folder), []
    try:
        await scenario.play()
    except AssertionError as error:
        failures.append(str(error))
    finally:
        scenario.close()
    failures += scenario.world.oracle.breaches
    (folder / "trace.txt").write_text("\n".join(scenario.trace + failures) + "\n")
    for line in failures[:3]:
        print(f"seed {seed}: {line}")
    if failures:
        print("    " + "\n    ".join(scenario.trace))
    starts = sum(len(t.starts) for t in scenario.world.oracle.tasks.values())
    print(f"seed {seed}: {len(scenario.accepted)} jobs, {starts} starts, "
          f"{len(scenario.world.moved)} moves, {len(failures)} failures")
    return not failures


def play_here(build, seed, keep):
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(build, seed, folder))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--seed", type=int, help="plays the day of this seed in this process")
    parser.add_argument("--seeds", help="the first and the last seed")
    parser.add_argument("--jobs", type=int, default=2, help="number of seeds to play at a time")
    parser.add_argument("--keep", help="folder for the logs")
    options = parser.parse_args()
    if options.seed is not None:
        sys.exit(0 if play_here(options.build.resolve(), options.seed, options.keep) else 1)
    seeds = listed_seeds()
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
        seeds = range(first, last + 1)

    def play_apart(seed):
        keep = ["--keep", f"{options.keep}/{seed}"] if options.keep else []
        return subprocess.run([sys.executable, __file__, options.build, "--seed", str(seed),
                               *keep], capture_output=True, text=True)

    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for done in pool.map(play_apart, seeds):
            failed += done.returncode != 0
            print((done.stdout + done.stderr[-2000:]).strip(), flush=True)
    print(f"partition_check: {len(seeds) - failed} of {len(seeds)} seeds ok")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
