"""Lints sources with clang-tidy, several at a time: scripts/lintbatches.py BUILD_FOLDER SOURCE...

Most of the time that clang-tidy takes goes into the headers that all sources share. So sources of one folder that are
compiled alike are linted as one. Where that finds anything, each of them is linted alone, and that verdict counts: names
of two sources may collide in one. Prints the findings; ends with 1 if there are any.
"""

import collections
import concurrent.futures
import json
import os
import subprocess
import sys

SOURCES_AT_ONCE = 12
OWN_HEADERS = "(include/mulberryplank|/src/|/standin/|/bench/|/platform/)"


def flags_of(command):
    """The command of a compilation without its input and output."""
    words = command.split()
    before = [None, *words]
    return tuple(word for word, previous in zip(words, before) if not {word, previous} & {"-o", "-c"})


def is_program(path):
    """Programs of one folder have a main() each."""
    with open(path, encoding="utf-8") as source:
        return "\nint main(" in source.read()


def tidy(folder, source):
    """Returns whether the source is clean, and what was printed."""
    run = subprocess.run(["clang-tidy", "-p", folder, "--quiet", f"--header-filter={OWN_HEADERS}", source],
                         stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, check=False)
    return run.returncode == 0, run.stdout


def batches_of(build, sources):
    """Returns lists of sources of one folder that are compiled alike, with the flags."""
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as commands:
        flags = {entry["file"]: flags_of(entry["command"]) for entry in json.load(commands)}
    alike = collections.defaultdict(list)
    for source in sources:
        path = os.path.abspath(source)
        if path not in flags:
            sys.exit(f"{source}: not in {build}/compile_commands.json")
        alike[os.path.dirname(path), flags[path]].append(path)
    for (_, compiled), paths in alike.items():
        programs = [path for path in paths if is_program(path)]
        parts = [path for path in paths if path not in programs]
        yield from ((compiled, [path]) for path in programs)
        for first in range(0, len(parts), SOURCES_AT_ONCE):
            yield compiled, parts[first:first + SOURCES_AT_ONCE]


def write_batches(build, sources):
    """Writes one source for each batch and the commands to compile them. Returns their folder and sources by batch."""
    folder = os.path.join(os.path.abspath(build), "lint")
    os.makedirs(folder, exist_ok=True)
    batches, commands = {}, []
    for number, (flags, paths) in enumerate(batches_of(build, sources)):
        batch = os.path.join(folder, f"batch{number}.cpp")
        with open(batch, "w", encoding="utf-8") as text:
            text.writelines(f'#include "{path}" // NOLINT(bugprone-suspicious-include)\n' for path in paths)
        commands.append({"directory": folder, "file": batch, "command": " ".join([*flags, "-c", batch])})
        batches[batch] = paths
    with open(os.path.join(folder, "compile_commands.json"), "w", encoding="utf-8") as text:
        json.dump(commands, text)
    return folder, batches


def main():
    build, sources = sys.argv[1], sys.argv[2:]
    folder, batches = write_batches(build, sources)
    clean = True
    with concurrent.futures.ThreadPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        together = pool.map(lambda batch: tidy(folder, batch)[0], batches)
        again = [path for paths, passed in zip(batches.values(), together) if not passed for path in paths]
        for passed, printed in pool.map(lambda path: tidy(build, path), again):
            clean = clean and passed
            if not passed:
                print(printed)
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
