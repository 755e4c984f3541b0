#include <fstream>
#include <istream>
#include <ostream>

#include "commandparts.h"

#include "mulberryplank/app/requeststory.h"

namespace mulberryplank::internal
{

namespace
{

constexpr const char *StandardInput = "-";

void readLog(RequestStory &story, const std::string &name, std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        story.read(name, line);
    }
}

ExitCode explainCommand(const OptionValues &values, CommandContext &context)
{
    RequestStory story(values.positionals.front());
    std::vector<std::string> names(values.positionals.begin() + 1, values.positionals.end());
    if (names.empty()) {
        names.emplace_back(StandardInput);
    }
    for (const std::string &name : names) {
        if (name == StandardInput) {
            readLog(story, name, context.in);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            return usageError({ ErrorKind::BadConfiguration, name + ": cannot be read" }, context);
        }
        readLog(story, name, file);
    }
    context.out << story.text();
    return story.found() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

std::vector<CommandInfo> logCommands()
{
    constexpr std::size_t MostLogs = 10'000; // more gateways than a fleet has
    return { { "explain",
               "",
               "REQUEST [LOG...]",
               "tell what became of a request and why, from the logs of some or all gateways",
               {},
               1,
               1 + MostLogs,
               explainCommand } };
}

} // namespace mulberryplank::internal
