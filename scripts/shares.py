#!/usr/bin/env python3
"""Prints how close each standard day comes to its floors, over many seeds.

shares.py --bench FLEETBENCH --keep FOLDER [--day NAME...] [--seeds N] [--first SEED]
          [--jobs N] [--logs] [--why TEXT] SITE...

A day fails if it earns less than its floor as a whole, or for one kind of request or
one zone. A single play shows little, since plays of one day differ by a tenth. Plays
each day with N seeds and prints, for the whole day, each kind and each zone, the least
and the mean share and the floor. Reports are kept in FOLDER, which has to lie outside
the repository; with --logs, so is the output of all processes. Exits with 1 if a play
missed a floor, broke a rule or did not end.
"""
import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tomllib

import hunt

FIRST_SEED = 1000


def play(arguments, site, day, seed):
    """Plays a day once. Returns the bench's report, or None if the play did not end."""
    name = f"{pathlib.Path(site).stem}-{day}-{seed}"
    report = (arguments.keep / f"{name}.json").resolve()
    command = [arguments.bench, "run", site, day, "--seed", str(seed), "--jobs", "1",
               "--report", str(report), "--why", arguments.why]
    command += ["--log", "all"] if arguments.logs else []
    log = arguments.keep / f"{name}.log"
    with open(log, "w", encoding="utf-8") as out:
        subprocess.run(command, cwd=hunt.ROOT, stdout=out, stderr=subprocess.STDOUT,
                       check=False)
    if not report.exists():
        return None
    return json.loads(report.read_text(encoding="utf-8"))


def shares(report):
    """The share of the credit that the day, each kind and each zone earned. Kinds and
    zones that are too small to have a floor are left out."""
    found = {("day", "all"): report["served"]}
    for group, names, values in (("kind", report["classes"], report["by_class"]),
                                 ("zone", report["zones"], report["by_zone"])):
        found.update({(group, named["name"]): value
                      for named, value in zip(names, values) if value is not None})
    return found


def floors(day):
    """The floor of the day, of each kind and of each zone, by group."""
    return {"day": day.get("goal", {}).get("floor", 0.0),
            "kind": (day.get("floor_classes") or [0.0])[0],
            "zone": (day.get("floor_zones") or [0.0])[0]}


def print_day(site, day, reports):
    """Prints the table of one day. Returns whether all plays were good."""
    ended = [report for report in reports.values() if report]
    limits, good = floors(day), len(ended) == len(reports)
    print(f"{pathlib.Path(site).stem} {day['name']}: {len(ended)} of {len(reports)} "
          "plays ended")
    if not ended:
        return False
    worth = [report["G"] for report in ended]
    print(f"  worth {min(worth):.3f} to {max(worth):.3f}, "
          f"mean {sum(worth) / len(worth):.3f}")
    for seed, report in reports.items():
        if report and (report["breaks"] or report["short"]):
            good = False
            print(f"  seed {seed}: broken {report['breaks']}, short {report['short']}")
    rows = [shares(report) for report in ended]
    for key in sorted({key for row in rows for key in row}):
        values = [row[key] for row in rows if key in row]
        print(f"  {key[0]:<5}{key[1]:<18}least {min(values):.3f}  "
              f"mean {sum(values) / len(values):.3f}  floor {limits[key[0]]:.3f}  "
              f"margin {min(values) - limits[key[0]]:+.3f}")
    return good


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="path of fleetbench")
    parser.add_argument("--keep", required=True, type=pathlib.Path,
                        help="folder for reports and output, outside the repository")
    parser.add_argument("--day", action="append", help="default: all standard days")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--first", type=int, default=FIRST_SEED, help="the first seed")
    parser.add_argument("--jobs", type=int, default=3, help="plays at a time")
    parser.add_argument("--logs", action="store_true")
    parser.add_argument("--why", default="shares of each kind and zone beside their floors")
    parser.add_argument("sites", nargs="+", help="site files")
    arguments = parser.parse_args()
    if hunt.ROOT in [arguments.keep.resolve(), *arguments.keep.resolve().parents]:
        parser.error("--keep has to lie outside the repository")
    arguments.keep.mkdir(parents=True, exist_ok=True)
    good = True
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for site in arguments.sites:
            days = tomllib.loads(pathlib.Path(site).read_text(encoding="utf-8"))["day"]
            for day in days:
                if arguments.day and day["name"] not in arguments.day:
                    continue
                plays = {seed: pool.submit(play, arguments, site, day["name"], seed)
                         for seed in range(arguments.first,
                                           arguments.first + arguments.seeds)}
                good &= print_day(site, day, {s: p.result() for s, p in plays.items()})
                sys.stdout.flush()
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
