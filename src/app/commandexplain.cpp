#include <fstream>
#include <istream>
#include <ostream>

#include "commandparts.h"

#include "mulberryplank/app/requesttrace.h"

namespace mulberryplank::internal
{

namespace
{

constexpr const char *StandardInput = "-";

void readLog(RequestTrace &trace, const std::string &name, std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        trace.read(name, line);
    }
}

ExitCode explainCommand(const OptionValues &values, CommandContext &context)
{
    RequestTrace trace(values.positionals.front());
    std::vector<std::string> names(values.positionals.begin() + 1, values.positionals.end());
    if (names.empty()) {
        names.emplace_back(StandardInput);
    }
    for (const std::string &name : names) {
        if (name == StandardInput) {
            readLog(trace, name, context.in);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            return usageError({ ErrorKind::BadConfiguration, name + ": cannot be read" }, context);
        }
        readLog(trace, name, file);
    }
    context.out << trace.text();
    return trace.found() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

std::vector<CommandInfo> logCommands()
{
    constexpr std::size_t MaxLogs = 10'000; // more gateways than a fleet has
    return { { "explain",
               "",
               "REQUEST [LOG...]",
               "tell what became of a request and why, from the logs of some or all gateways",
               {},
               1,
               1 + MaxLogs,
               explainCommand } };
}

} // namespace mulberryplank::internal
