#!/usr/bin/env python3
"""Plays the regression set, one site after the other, and prints one table.

regression.py --bench FLEETBENCH --sites FOLDER --keep FOLDER [--jobs N] [--days N]
              [--why TEXT] [--without-oldest]

FOLDER of --sites holds the deployments as the users laid them out. Each site is scored
in full and then hunted: --days days, or 8 on a site of 60 machines or more. The oldest
deployments are left out with --without-oldest, which is to become the default once the
gate of the large one is passed. Exits with 1 if a gate failed or a day broke a rule.
"""
import argparse
import pathlib
import re
import sys

import hunt

SITES = ["further/voezl-spool.toml", "further-grown/voezl-spool-grown.toml",
         "grown/sangha-spool-grown.toml", "grown/osei-spool-grown.toml",
         "large/sangha-spool-large.toml"]
OLDEST = ["sites/sangha-spool.toml", "sites/osei-spool.toml"]
LARGE_SITE_MACHINES = 60
LARGE_SITE_DAYS = 8
DAY = re.compile(r"^(\S+)\s+(\d+)/(\d+)\s+(-?[\d.]+)\s+(-?[\d.]+)\s+([\d.]+)", re.M)
SCORE = re.compile(r"^score on .*: (-?[\d.]+)$", re.M)


def score(arguments, site, folder):
    """Scores a site. Returns its table row and whether the gate was passed."""
    command = [arguments.bench, "score", site, "--jobs", str(arguments.jobs),
               "--why", arguments.why]
    _, text = hunt.play(command, folder / "score.log")
    total = SCORE.search(text)
    days = DAY.findall(text)
    row = {"score": total.group(1) if total else "not scored",
           "gate": "passed" if "GATE passed" in text else "failed",
           "worth": ", ".join(f"{day[0]} {day[4]}" for day in days),
           "broken": hunt.broken_days(text)}
    machines = max((int(day[2]) for day in days), default=0)
    return row, machines


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="path of fleetbench")
    parser.add_argument("--sites", required=True, type=pathlib.Path)
    parser.add_argument("--keep", required=True, type=pathlib.Path,
                        help="folder for output and logs, outside the repository")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--replays", type=int, default=2)
    parser.add_argument("--why", default="regression run")
    parser.add_argument("--without-oldest", action="store_true")
    arguments = parser.parse_args()
    all_days, good = arguments.days, True
    for name in SITES + ([] if arguments.without_oldest else OLDEST):
        site = str(arguments.sites / name)
        folder = arguments.keep / f"{pathlib.Path(name).stem}-{hunt.commit()}"
        folder.mkdir(parents=True, exist_ok=True)
        row, machines = score(arguments, site, folder)
        arguments.days = LARGE_SITE_DAYS if machines >= LARGE_SITE_MACHINES else all_days
        broken = hunt.hunt(arguments, site, folder / "hunt")
        print(f"{name}: score {row['score']}, gate {row['gate']}; {row['worth']}; "
              f"hunt of {arguments.days} days: "
              f"{'did not end' if broken is None else f'{len(broken)} broken'}", flush=True)
        good &= row["gate"] == "passed" and broken == {}
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
