#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "mulberryplank/app/httpexchange.h"
#include "mulberryplank/app/options.h"

namespace mulberryplank
{

// Exit codes, for scripts.
enum class ExitCode : int {
    Done = 0,
    Refused = 1, // the fleet refused it or something is wrong; nothing was changed
    Usage = 2, // command line, settings or an input file are wrong; nothing was asked of the fleet
    Unavailable = 3, // the fleet or the platform can't be reached; a change may or may not have been accepted
    PartlyInForce = 4, // accepted, but not in force on every proxy within the time given
};

// What a command gets from its surroundings.
struct CommandContext {
    EnvironmentLookup environment;
    std::vector<std::string> variables; // names of the environment's variables
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    HttpExchange exchange;
    std::function<void(Millis)> sleepFor; // waits
    std::function<std::string(std::size_t bytes)> randomBytes; // unpredictable, for secrets and the ids of edits
};

// Returns the context of a real process.
CommandContext processContext();

// Runs the subcommand that argv[1] names and returns the exit code. Not to be called by two threads at once.
ExitCode runCommand(int argc, char **argv, CommandContext &context);

} // namespace mulberryplank
