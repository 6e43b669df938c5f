#!/usr/bin/env python3
"""Compares the reference pages in docs/ with the programs of a build.

Usage: reference_check.py BUILD. Prints each difference and exits with 1 if there is one.
"""
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ("settings", "document", "events", "metrics", "reasons")
RUN_TIMEOUT_S = 60
EXIT_INVALID = 3
INVALID_DOCUMENT = """customer: sramik
data_centres:
  - {name: howrah, region: bengal}
pools:
  - {name: crew-desk, instances: 12, promised: minus}
services:
  - {name: crew-desk, pool: nowhere, class: sometimes}
policy:
  slots_per_instance: 0
  unheard_of: 1
"""
# Line and path of each error in INVALID_DOCUMENT.
EXPECTED_ERRORS = {(5, "pools[0].promised"),
            (5, "pools[0].availability_budget"), (7, "services[0].pool"),
            (7, "services[0].class"), (9, "policy.slots_per_instance"),
            (10, "policy.unheard_of")}


def run(*command):
    return subprocess.run([str(word) for word in command], capture_output=True,
                          text=True, timeout=RUN_TIMEOUT_S, cwd=ROOT)


def page(name):
    return (ROOT / "docs" / f"{name.upper()}.md").read_text()


def generated(name):
    """Returns the parts of a page before, between and after its marker lines."""
    head, mark, rest = page(name).partition(f"<!-- generated: {name} -->\n")
    body, end, tail = rest.partition("<!-- end -->\n")
    if not mark or not end:
        raise ValueError(f"docs/{name.upper()}.md: marker lines are missing")
    return head, body, tail


def first_cells(table):
    return re.findall(r"^\| `([^`]+)` \|", table, re.M)


def compare(what, left, right):
    """Returns errors unless both lists hold the same names, each the same number of times."""
    left, right = list(left), list(right)
    if sorted(left) == sorted(right):
        return []
    return [f"{what}: only the page has {sorted(set(left) - set(right))}, only "
            f"the program has {sorted(set(right) - set(left))}, "
            f"{len(left)} against {len(right)} names"]


def check_generated(build):
    for name in PAGES:
        printed = run(build / "reference_pages", name)
        if printed.returncode != 0 or printed.stdout.count("\n") < 3:
            yield f"reference_pages {name}: no table, exit {printed.returncode}"
        elif generated(name)[1] != printed.stdout:
            yield (f"docs/{name.upper()}.md: the generated part differs from "
                   f"`reference_pages {name}`")


def check_reasons(build):
    names = first_cells(run(build / "reference_pages", "reasons").stdout)
    yield from compare("docs/REASONS.md by hand",
                       first_cells(generated("reasons")[2]), names)
    for row in re.findall(r"^\| `.*$", generated("reasons")[2], re.M):
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        if len(cells) != 4 or not all(cells):
            yield f"docs/REASONS.md: not four filled cells: {row}"


def check_metrics(build):
    known = set(first_cells(run(build / "reference_pages", "metrics").stdout))
    # pollenspool-entry has metrics of its own, which no reference page lists.
    known |= set(re.findall(r'"(pollenspool_\w+)"',
                            (ROOT / "src/entry/EntryMetrics.cpp").read_text()))
    for path in sorted((ROOT / "docs").glob("*.md")):
        for name in re.findall(r"`(pollenspool_\w+)`", path.read_text()):
            if name not in known:
                yield f"{path.name}: there is no metric {name}"


def section(program, title):
    text = page("commands").partition(f"\n## {program}\n")[2].partition("\n## ")[0]
    return text.partition(f"\n### {title}\n")[2].partition("\n### ")[0]


def check_commands(build):
    shown = run(build / "pollenspool", "--help")
    table = shown.stdout.partition("command and its arguments:\n")[2]
    # Commands are separated by blank lines, since long descriptions are wrapped.
    rows = table.partition("\n\n\n")[0].split("\n\n")
    listed = [row.split()[0] for row in rows if row.strip()]
    if shown.returncode != 0 or not listed:
        yield f"pollenspool --help: no commands, exit {shown.returncode}"
    yield from compare("docs/COMMANDS.md commands",
                       first_cells(section("pollenspool", "Commands")), listed)


def check_options(build):
    for program in ("pollenspool", "pollenspoold"):
        shown = run(build / program, "--help")
        options = set(re.findall(r"^\s+(?:-\S+(?: <\S+>)?,  )?--(\w+)", shown.stdout, re.M))
        documented = re.findall(r"^\|.*?`--(\w+)", section(program, "Options"), re.M)
        yield from compare(f"docs/COMMANDS.md options of {program}",
                           documented, options)


def check_exit_codes(_build):
    source = (ROOT / "tools" / "Command.h").read_text()
    codes = re.findall(r"^  Exit\w+ = (\d+),", source, re.M)
    documented = re.findall(r"^\| (\d+) \|", section("pollenspool", "Exit codes"), re.M)
    yield from compare("docs/COMMANDS.md exit codes", documented, codes)


def check_examples(build):
    for name in ("sramik", "osei"):
        done = run(build / "pollenspool", "validate", f"examples/{name}.yaml")
        if done.returncode != 0:
            yield f"examples/{name}.yaml: exit {done.returncode}\n{done.stderr}"


def check_validation_errors(build):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "faulty.yaml"
        path.write_text(INVALID_DOCUMENT)
        done = run(build / "pollenspool", "validate", path)
    found = set()
    for line in done.stderr.splitlines():
        match = re.fullmatch(re.escape(str(path)) + r":(\d+): (\S+): (.+)", line)
        if match:
            found.add((int(match.group(1)), match.group(2)))
        else:
            yield f"validate: not FILE:LINE: path: what: {line}"
    if done.returncode != EXIT_INVALID or found != EXPECTED_ERRORS:
        yield (f"validate: exit {done.returncode}, found {sorted(found)}, "
               f"expected {sorted(EXPECTED_ERRORS)}")


CHECKS = (check_generated, check_reasons, check_metrics, check_commands,
          check_options, check_exit_codes, check_examples, check_validation_errors)


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    faults = [f"{check.__name__}: {fault}"
              for check in CHECKS for fault in check(build)]
    print("\n".join(faults) or f"{len(CHECKS)} checks passed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
