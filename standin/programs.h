#pragma once

namespace standin
{

// The subcommands of mulberryplank-standin. Each receives its name as argv[0] and the arguments that follow it, runs to
// completion and returns the exit status. Each throws UsageError for an invalid command line.
int runLog(int argc, char **argv);
int runVms(int argc, char **argv);
int runTarget(int argc, char **argv);
int runLoad(int argc, char **argv);

} // namespace standin
