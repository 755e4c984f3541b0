#include "mulberryplank/app/command.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

#include "mulberryplank/app/proxy.h"
#include "mulberryplank/app/settings.h"

namespace mulberryplank
{

namespace internal
{

// The same as in CMakeLists.txt.
constexpr const char *ProgramVersion = "0.1.0";

using Handler = ExitCode (*)(int argc, char **argv, CommandContext &context);

struct CommandRow {
    std::string_view name;
    std::string_view summary;
    Handler handler;
};

bool asksForHelp(int argc, char **argv)
{
    return std::any_of(argv, argv + argc, [](const char *argument) {
        return std::string_view(argument) == "--help";
    });
}

void warnOfUnknownVariables(const CommandContext &context)
{
    for (const std::string &variable : unknownVariables(settingOptions(), context.variables)) {
        context.err << "warning: " << variable << ": no such setting\n";
    }
}

ExitCode refuse(const Error &error, CommandContext &context)
{
    context.err << error.detail << "\n";
    return ExitCode::Usage;
}

ExitCode proxyCommand(int argc, char **argv, CommandContext &context)
{
    if (asksForHelp(argc, argv)) {
        context.out << "mulberryplank proxy: runs a proxy until SIGTERM or SIGINT, then drains.\n\n"
                    << describeOptions(settingOptions());
        return ExitCode::Done;
    }
    warnOfUnknownVariables(context);
    const Result<Settings> settings = parseSettings(argc, argv, context.environment);
    if (!settings) {
        return refuse(settings.error(), context);
    }
    return static_cast<ExitCode>(runProxy(*settings));
}

ExitCode checkCommand(int argc, char **argv, CommandContext &context)
{
    if (asksForHelp(argc, argv)) {
        context.out << "mulberryplank check: prints a proxy's effective settings and where each came from; refuses bad "
                       "ones.\n\n"
                    << describeOptions(settingOptions());
        return ExitCode::Done;
    }
    warnOfUnknownVariables(context);
    const Result<CheckedSettings> checked = checkSettings(argc, argv, context.environment);
    if (!checked) {
        return refuse(checked.error(), context);
    }
    for (const EffectiveSetting &setting : checked->effective) {
        context.out << setting.name << " = " << setting.value << " (" << toString(setting.origin) << ")\n";
    }
    return ExitCode::Done;
}

constexpr std::array Commands {
    CommandRow { "proxy", "run a proxy", proxyCommand },
    CommandRow { "check", "print a proxy's effective settings, or what is wrong with them", checkCommand },
};

void printCommands(std::ostream &stream)
{
    stream << "usage: mulberryplank COMMAND [FLAGS]\n       mulberryplank COMMAND --help\n       mulberryplank "
              "--version\n\n";
    for (const CommandRow &command : Commands) {
        stream << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << "\n";
    }
}

} // namespace internal

ExitCode runCommand(int argc, char **argv, CommandContext &context)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--version") {
        context.out << "mulberryplank " << internal::ProgramVersion << "\n";
        return ExitCode::Done;
    }
    if (name == "--help") {
        internal::printCommands(context.out);
        return ExitCode::Done;
    }
    for (const internal::CommandRow &command : internal::Commands) {
        if (command.name == name) {
            return command.handler(argc - 1, argv + 1, context);
        }
    }
    context.err << "'" << name << "': no such command\n";
    internal::printCommands(context.err);
    return ExitCode::Usage;
}

} // namespace mulberryplank
