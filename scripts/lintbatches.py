"""Lints sources with clang-tidy, several at a time: scripts/lintbatches.py BUILD_FOLDER SOURCE...

Most of the time of clang-tidy is spent on headers that all sources share, so sources of one folder with the same
compiler flags are linted as one batch. If a batch has findings, each of its sources is linted alone and only that
result counts, because names of two sources may collide in a batch. Prints the findings and exits with 1 if there are
any.
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
    """Returns the arguments of a compile command without its input and output."""
    words = command.split()
    before = [None, *words]
    return tuple(word for word, previous in zip(words, before) if not {word, previous} & {"-o", "-c"})


def is_program(path):
    """Returns whether the source has a main(). Such sources can't share a batch."""
    with open(path, encoding="utf-8") as source:
        return "\nint main(" in source.read()


def tidy(folder, source):
    """Returns whether the source is clean, and the output of clang-tidy."""
    run = subprocess.run(["clang-tidy", "-p", folder, "--quiet", f"--header-filter={OWN_HEADERS}", source],
                         stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, check=False)
    return run.returncode == 0, run.stdout


def batches_of(build, sources):
    """Yields batches as (compiler flags, sources). The sources of a batch are in one folder and have the same flags."""
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as commands:
        flags = {entry["file"]: flags_of(entry["command"]) for entry in json.load(commands)}
    groups = collections.defaultdict(list)
    for source in sources:
        path = os.path.abspath(source)
        if path not in flags:
            sys.exit(f"{source}: not in {build}/compile_commands.json")
        groups[os.path.dirname(path), flags[path]].append(path)
    for (_, compile_flags), paths in groups.items():
        programs = [path for path in paths if is_program(path)]
        others = [path for path in paths if path not in programs]
        yield from ((compile_flags, [path]) for path in programs)
        for first in range(0, len(others), SOURCES_AT_ONCE):
            yield compile_flags, others[first:first + SOURCES_AT_ONCE]


def write_batches(build, sources):
    """Writes one source per batch and their compile commands. Returns their folder and the sources by batch."""
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
        batch_results = pool.map(lambda batch: tidy(folder, batch)[0], batches)
        to_recheck = [path for paths, passed in zip(batches.values(), batch_results) if not passed for path in paths]
        for passed, printed in pool.map(lambda path: tidy(build, path), to_recheck):
            clean = clean and passed
            if not passed:
                print(printed)
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
