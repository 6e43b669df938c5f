#!/usr/bin/env python3
"""Runs the soak test for a short time with each seed of soak/seeds.txt.

  soak_check.py BUILD_DIR [--seeds FROM-TO] [--seconds S] [--jobs N]

With --seeds it runs the given range instead.
"""
import argparse
import concurrent.futures
import pathlib
import subprocess
import sys

SOAK = pathlib.Path(__file__).resolve().parent / "soak"


def listed_seeds():
    lines = (SOAK / "seeds.txt").read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seeds")
    parser.add_argument("--seconds", default="8")
    parser.add_argument("--jobs", type=int, default=3, help="number of seeds to run at a time")
    options = parser.parse_args()
    seeds = listed_seeds()
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
        seeds = range(first, last + 1)

    def run_seed(seed):
        return subprocess.run([sys.executable, SOAK / "soak.py", options.build, "--seed",
                               str(seed), "--seconds", options.seconds],
                              capture_output=True, text=True)

    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for done in pool.map(run_seed, seeds):
            failed += done.returncode != 0
            print((done.stdout + done.stderr[-2000:]).strip(), flush=True)
    print(f"soak_check: {len(seeds) - failed} of {len(seeds)} seeds ok")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
