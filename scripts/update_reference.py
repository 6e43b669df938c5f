#!/usr/bin/env python3
"""Regenerates the generated parts of the reference pages in docs/.

Usage: update_reference.py BUILD. tests/reference_check.py checks that they are current.
"""
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
import reference_check as pages  # noqa: E402


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    for name in pages.PAGES:
        head, _, tail = pages.generated(name)
        body = subprocess.run([build / "reference_pages", name], check=True,
                              capture_output=True, text=True).stdout
        (pages.ROOT / "docs" / f"{name.upper()}.md").write_text(
            f"{head}<!-- generated: {name} -->\n{body}<!-- end -->\n{tail}")


if __name__ == "__main__":
    main()
