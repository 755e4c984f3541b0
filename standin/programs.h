#pragma once

namespace standin
{

// The subcommands of mulberryplank-standin. Each takes the arguments that follow the subcommand, argv[0] being its
// name, runs to its end and returns the exit status. Each throws UsageError for a command line that can't be taken.
int runLog(int argc, char **argv);
int runVms(int argc, char **argv);
int runTarget(int argc, char **argv);
int runLoad(int argc, char **argv);

} // namespace standin
