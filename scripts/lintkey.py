#!/usr/bin/env python3
"""Prints a key for one source file: a digest of it, of every project header it reaches, and of the lint rules."""
import hashlib
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEARCH = [ROOT / "src" / "libs", ROOT / "tests", ROOT]
INCLUDE = re.compile(r'^\s*#include\s+[<"]([^>"]+)[>"]', re.MULTILINE)


def resolve(name, including):
    for folder in [including.parent, *SEARCH]:
        path = folder / name
        if path.is_file():
            return path
    return None


def reach(path, seen):
    if path in seen:
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text(errors="replace")):
        found = resolve(name, path)
        if found is not None:
            reach(found.resolve(), seen)


def main():
    seen = set()
    reach((ROOT / sys.argv[1]).resolve(), seen)
    digest = hashlib.sha256(sys.argv[2].encode())
    for path in sorted(seen):
        digest.update(path.read_bytes())
    print(digest.hexdigest())


main()
