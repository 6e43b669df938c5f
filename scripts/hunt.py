#!/usr/bin/env python3
"""Hunts days that break a rule, and replays each of them with all logs.

hunt.py --bench FLEETBENCH --keep FOLDER [--days N] [--replays N] [--jobs N] SITE...

Plays N days of each site, one site after the other. A day that breaks a rule is
replayed with the logs of all processes, since a fault that depends on timing shows
only in some plays. Output, seeds and logs are kept in FOLDER, which has to lie
outside the repository; the commit that was played is part of their path. Exits with
1 if a day broke a rule, and with 2 if a hunt did not end.
"""
import argparse
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A day drawn from all troubles has the name "mix --seed N".
BROKEN_DAY = re.compile(r"^(\S+(?: --\S+(?: \d+)?)*)\s+\d+/\d+\s.*\bBROKEN: (.*)$", re.M)


def commit():
    return subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, text=True,
                          capture_output=True, check=True).stdout.strip()


def play(command, output):
    """Runs a command with its output in a file. Returns its exit code and output."""
    with open(output, "w", encoding="utf-8") as out:
        code = subprocess.run(command, cwd=ROOT, stdout=out, stderr=subprocess.STDOUT,
                              check=False).returncode
    return code, output.read_text(encoding="utf-8", errors="replace")


def broken_days(text):
    """The names of the days that broke a rule, with the rules."""
    return {name: rules.strip() for name, rules in BROKEN_DAY.findall(text)}


def hunt(arguments, site, folder):
    """Returns the broken days of one site, or None if the hunt did not end."""
    folder.mkdir(parents=True)
    command = [arguments.bench, "hunt", site, "--days", str(arguments.days),
               "--jobs", str(arguments.jobs)]
    _, text = play(command, folder / "hunt.log")
    if "snapshot" not in text:
        print(f"{site}: the hunt did not end; see {folder / 'hunt.log'}")
        return None
    broken = broken_days(text)
    for day, rules in broken.items():
        shown = 0
        for number in range(1, arguments.replays + 1):
            log = folder / f"{day.replace(' ', '-').replace('/', '-')}-replay-{number}.log"
            again = ["run", site, *day.split()] if " " in day else ["replay", site, day]
            _, replayed = play([arguments.bench, *again, "--log", "all"], log)
            shown += bool(broken_days(replayed))
        print(f"{site} {day}: {rules}; broken in {shown} of {arguments.replays} replays, "
              f"logs in {folder}")
    return broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="path of fleetbench")
    parser.add_argument("--keep", required=True, type=pathlib.Path,
                        help="folder for output and logs, outside the repository")
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--replays", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("sites", nargs="+", help="site files")
    arguments = parser.parse_args()
    if ROOT in [arguments.keep.resolve(), *arguments.keep.resolve().parents]:
        parser.error("--keep has to lie outside the repository")
    started = time.strftime("%Y%m%dT%H%M%S")
    found, unended = 0, 0
    for site in arguments.sites:
        folder = arguments.keep / f"{pathlib.Path(site).stem}-{commit()}-{started}"
        broken = hunt(arguments, site, folder)
        unended += broken is None
        found += len(broken or {})
        if broken == {}:
            print(f"{site}: {arguments.days} days, no rule broken")
    sys.exit(2 if unended else 1 if found else 0)


if __name__ == "__main__":
    main()
