#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "mulberryplank/app/adminclient.h"
#include "mulberryplank/app/command.h"
#include "mulberryplank/app/itemdiff.h"

// What the subcommands share.
namespace mulberryplank::internal
{

// The longest time that an option may name.
inline constexpr std::uint64_t MaxMillis = 600'000;

// One subcommand, such as "table import FILE".
struct CommandInfo {
    std::string name;
    std::string action; // empty: the command has no second word
    std::string operands; // for people
    std::string summary; // for people
    std::vector<OptionInfo> options;
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    std::function<ExitCode(const OptionValues &values, CommandContext &context)> handler;
};

std::vector<CommandInfo> tableCommands();
std::vector<CommandInfo> accountCommands();
std::vector<CommandInfo> serviceCommands();
std::vector<CommandInfo> targetCommands();
std::vector<CommandInfo> viewCommands();
std::vector<CommandInfo> logCommands();

// Options of every command that asks a proxy, and of those that change something.
std::vector<OptionInfo> clientOptions(std::vector<OptionInfo> more = {});
std::vector<OptionInfo> editOptions(std::vector<OptionInfo> more = {});

// Returns an option that is given or not.
OptionInfo switchOption(const std::string &name, const std::string &help);

// Returns an option whose value is a file's path; nothing by default.
OptionInfo fileOption(const std::string &name, const std::string &help);

// Returns the client that clientOptions() describe, or what is wrong with them.
Result<std::unique_ptr<AdminClient>> connect(const OptionValues &values, CommandContext &context);

// Each prints an error and returns the exit code for it: one for what the operator gave, one for what the fleet said.
ExitCode usageError(const Error &error, CommandContext &context);
ExitCode fleetError(const Error &error, CommandContext &context);

// Each returns what a proxy lists. Of accounts there are names and versions; digests aren't given out.
Result<std::vector<Account>> fetchAccounts(AdminClient &client);
Result<std::vector<Service>> fetchServices(AdminClient &client);
Result<std::vector<Target>> fetchTargets(AdminClient &client);
Result<std::vector<Row>> fetchRows(AdminClient &client);

// Connects, fetches a fetch and hands both to `use`, or prints what is wrong.
template<typename Item>
ExitCode withItems(const OptionValues &values,
                   CommandContext &context,
                   Result<std::vector<Item>> (*fetch)(AdminClient &client),
                   const std::function<ExitCode(AdminClient &client, const std::vector<Item> &items)> &use)
{
    const Result<std::unique_ptr<AdminClient>> client = connect(values, context);
    if (!client) {
        return usageError(client.error(), context);
    }
    const Result<std::vector<Item>> items = fetch(**client);
    if (!items) {
        return fleetError(items.error(), context);
    }
    return use(**client, *items);
}

// Submits the changes and prints in how many proxies they are in force and which are missing.
ExitCode submitChanges(AdminClient &client,
                       const std::vector<Change> &changes,
                       const OptionValues &values,
                       CommandContext &context);

// Prints a difference, and submits it unless it is empty, stale or a dry run.
ExitCode applyDiff(AdminClient &client, const ItemDiff &diff, const OptionValues &values, CommandContext &context);

// Removes one item of which the current version is known; nothing to do where `version` is 0.
ExitCode removeItem(AdminClient &client, const ConfigItem &item, const OptionValues &values, CommandContext &context);

// Returns `size` random bytes in hexadecimal.
std::string randomHex(std::size_t size, CommandContext &context);

// Prints lines of columns, the first line being the heading.
void printColumns(const std::vector<std::vector<std::string>> &lines, std::ostream &stream);

// Returns a JSON value for people: texts without quotes.
std::string plainText(const boost::json::value &value);

} // namespace mulberryplank::internal
