#include "mulberryplank/app/command.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string_view>
#include <thread>

#include <openssl/rand.h>

#include "commandparts.h"

#include "mulberryplank/app/eventlog.h"
#include "mulberryplank/app/gateway.h"
#include "mulberryplank/app/gatewaysettings.h"
#include "mulberryplank/app/proxy.h"
#include "mulberryplank/app/settings.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// The same as in CMakeLists.txt.
constexpr const char *ProgramVersion = MULBERRYPLANK_VERSION;

bool isHelpRequested(int argc, char **argv)
{
    return std::any_of(argv, argv + argc, [](const char *argument) {
        return std::string_view(argument) == "--help";
    });
}

// Prints a command's help.
void printHelp(const CommandInfo &command, std::ostream &stream)
{
    stream << "usage: mulberryplank " << command.name << (command.action.empty() ? "" : " " + command.action)
           << (command.operands.empty() ? "" : " " + command.operands) << " [FLAGS]\n"
           << command.summary << "\n\n"
           << describeOptions(command.options);
}

ExitCode runProxyCommand(int argc, char **argv, CommandContext &context)
{
    const Result<Settings> settings = parseSettings(argc, argv, context.environment);
    if (!settings) {
        // Where logs are collected, the event is all that is seen of a proxy that doesn't start.
        EventLog({}).write(Event::SettingsRefused, { { "detail", settings.error().detail } });
        return usageError(settings.error(), context);
    }
    return static_cast<ExitCode>(runProxy(*settings));
}

void printSettings(const std::vector<EffectiveSetting> &effective, std::ostream &stream)
{
    for (const EffectiveSetting &setting : effective) {
        stream << setting.name << " = " << setting.value << " (" << toString(setting.origin) << ")\n";
    }
}

ExitCode runCheckCommand(int argc, char **argv, CommandContext &context)
{
    const Result<CheckedSettings> checked = checkSettings(argc, argv, context.environment);
    if (!checked) {
        return usageError(checked.error(), context);
    }
    printSettings(checked->effective, context.out);
    return ExitCode::Done;
}

ExitCode runGatewayCommand(int argc, char **argv, CommandContext &context)
{
    const Result<CheckedGatewaySettings> checked = checkGatewaySettings(argc, argv, context.environment);
    if (!checked) {
        EventLog({}).write(Event::SettingsRefused, { { "detail", checked.error().detail } });
        return usageError(checked.error(), context);
    }
    const auto reload = [&]() -> Result<GatewaySettings> {
        return checkGatewaySettings(argc, argv, context.environment).map([](const CheckedGatewaySettings &again) {
            return again.settings;
        });
    };
    return static_cast<ExitCode>(runGateway(checked->settings, reload));
}

ExitCode runCheckGatewayCommand(int argc, char **argv, CommandContext &context)
{
    const Result<CheckedGatewaySettings> checked = checkGatewaySettings(argc, argv, context.environment);
    if (!checked) {
        return usageError(checked.error(), context);
    }
    printSettings(checked->effective, context.out);
    return ExitCode::Done;
}

// Returns all commands. Those without a handler read a proxy's settings instead of options of their own.
const std::vector<CommandInfo> &commands()
{
    static const std::vector<CommandInfo> Commands = [] {
        std::vector<CommandInfo> all {
            { "proxy", "", "", "run a proxy until SIGTERM or SIGINT, then drain", settingOptions(), 0, 0, {} },
            { "gateway",
              "",
              "",
              "run a proxy on the platform's store until SIGTERM or SIGINT, then drain",
              gatewayOptions(),
              0,
              0,
              {} },
            { "check-gateway",
              "",
              "",
              "print a gateway's effective settings, or all that is wrong with them",
              gatewayOptions(),
              0,
              0,
              {} },
            { "check",
              "",
              "",
              "print a proxy's effective settings, or all that is wrong with them",
              settingOptions(),
              0,
              0,
              {} },
        };
        for (auto part :
             { tableCommands, accountCommands, serviceCommands, targetCommands, viewCommands, logCommands }) {
            const std::vector<CommandInfo> rows = part();
            all.insert(all.end(), rows.begin(), rows.end());
        }
        return all;
    }();
    return Commands;
}

// A misspelt variable would otherwise be no more than a setting that silently has its default.
void warnAboutUnknownVariables(const CommandContext &context)
{
    std::vector<OptionInfo> options;
    for (const CommandInfo &command : commands()) {
        options.insert(options.end(), command.options.begin(), command.options.end());
    }
    for (const std::string &variable : unknownVariables(options, context.variables)) {
        context.err << "warning: " << variable << ": no such setting\n";
    }
}

// Runs a command that reads a daemon's settings.
ExitCode runDaemonCommand(const std::string &name, int argc, char **argv, CommandContext &context)
{
    const std::map<std::string, ExitCode (*)(int, char **, CommandContext &)> handlers {
        { "proxy", runProxyCommand },
        { "check", runCheckCommand },
        { "gateway", runGatewayCommand },
        { "check-gateway", runCheckGatewayCommand },
    };
    return handlers.at(name)(argc, argv, context);
}

// Runs a command whose wordCount are read already; argv[0] is its last word.
ExitCode run(const CommandInfo &command, int argc, char **argv, CommandContext &context)
{
    if (isHelpRequested(argc, argv)) {
        printHelp(command, context.out);
        return ExitCode::Done;
    }
    warnAboutUnknownVariables(context);
    if (!command.handler) {
        return runDaemonCommand(command.name, argc, argv, context);
    }
    const Result<OptionValues> values = parseOptions(command.options, argc, argv, context.environment);
    if (!values) {
        return usageError(values.error(), context);
    }
    const std::size_t operands = values->positionals.size();
    if (operands < command.minOperands || operands > command.maxOperands) {
        context.err << "wrong number of operands\n";
        printHelp(command, context.err);
        return ExitCode::Usage;
    }
    return command.handler(*values, context);
}

// Prints the commands, or those that begin with `name`.
void printCommands(const std::string &name, std::ostream &stream)
{
    stream << "usage: mulberryplank COMMAND [FLAGS]\n       mulberryplank COMMAND --help\n"
           << "       mulberryplank --version\n\n";
    std::vector<std::vector<std::string>> lines;
    for (const CommandInfo &command : commands()) {
        if (name.empty() || command.name == name) {
            const std::string action = command.action.empty() ? "" : " " + command.action;
            const std::string operands = command.operands.empty() ? "" : " " + command.operands;
            lines.push_back({ "  " + command.name + action + operands, command.summary });
        }
    }
    printColumns(lines, stream);
    stream << "\nEnds with 0: done; 1: refused, or needs attention; 2: wrong use; 3: fleet or platform away;\n"
           << "4: accepted, but not in force everywhere within the time given.\n";
}

std::string randomBytes(std::size_t size)
{
    std::string bytes(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(size)) != 1) {
        throw std::runtime_error("no random numbers to be had");
    }
    return bytes;
}

} // namespace

} // namespace internal

CommandContext processContext()
{
    const auto sleepFor = [](Millis span) {
        std::this_thread::sleep_for(span);
    };
    return { processEnvironment(), processVariables(), std::cin, std::cout, std::cerr, tcpExchange(), sleepFor,
             internal::randomBytes };
}

ExitCode runCommand(int argc, char **argv, CommandContext &context)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const std::string action = argc > 2 ? argv[2] : "";
    if (name == "--version") {
        context.out << "mulberryplank " << internal::ProgramVersion << "\n";
        return ExitCode::Done;
    }
    if (name == "--help") {
        internal::printCommands("", context.out);
        return ExitCode::Done;
    }
    bool known = false;
    for (const internal::CommandInfo &command : internal::commands()) {
        known = known || command.name == name;
        if (command.name == name && (command.action.empty() || command.action == action)) {
            const int wordCount = command.action.empty() ? 1 : 2;
            return internal::run(command, argc - wordCount, argv + wordCount, context);
        }
    }
    if (known && action == "--help") {
        internal::printCommands(name, context.out);
        return ExitCode::Done;
    }
    context.err << "'" << name << (known ? " " + action : "") << "': no such command\n";
    internal::printCommands(known ? name : "", context.err);
    return ExitCode::Usage;
}

} // namespace mulberryplank
