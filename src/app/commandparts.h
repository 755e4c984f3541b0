#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "mulberryplank/app/adminclient.h"
#include "mulberryplank/app/command.h"
#include "mulberryplank/app/itemdiff.h"

// Functions and types that the subcommands share.
namespace mulberryplank::internal
{

// Maximum value in milliseconds of an option that is a time.
inline constexpr std::uint64_t MaxMillis = 600'000;

// One subcommand, such as "table import FILE".
struct CommandInfo {
    std::string name;
    std::string action; // empty: the command is a single word
    std::string operands; // for help texts
    std::string summary; // for help texts
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

// Returns the options of commands that query a proxy, and of those that submit edits, followed by `more`.
std::vector<OptionInfo> clientOptions(std::vector<OptionInfo> more = {});
std::vector<OptionInfo> editOptions(std::vector<OptionInfo> more = {});

// Returns an option that takes no value.
OptionInfo switchOption(const std::string &name, const std::string &help);

// Returns an option whose value is the path of a file; empty by default.
OptionInfo fileOption(const std::string &name, const std::string &help);

// Returns a client with the settings in the values of clientOptions(). Errors: BadConfiguration.
Result<std::unique_ptr<AdminClient>> connect(const OptionValues &values, CommandContext &context);

// Each prints an error and returns its exit code: usageError() for invalid input of the operator, fleetError() for a
// failed request to the fleet.
ExitCode usageError(const Error &error, CommandContext &context);
ExitCode fleetError(const Error &error, CommandContext &context);

// Each returns the items of a proxy's configuration. Accounts have only name and version; proxies don't return digests.
Result<std::vector<Account>> fetchAccounts(AdminClient &client);
Result<std::vector<Service>> fetchServices(AdminClient &client);
Result<std::vector<Target>> fetchTargets(AdminClient &client);
Result<std::vector<Row>> fetchRows(AdminClient &client);

// Connects, fetches items and calls `use` with the client and the items, or prints the error.
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

// Submits the changes, and prints on how many proxies they are in force and which proxies are missing.
ExitCode submitChanges(AdminClient &client,
                       const std::vector<Change> &changes,
                       const OptionValues &values,
                       CommandContext &context);

// Prints a difference and submits it, unless it is empty or stale, or --dry-run is given.
ExitCode applyDiff(AdminClient &client, const ItemDiff &diff, const OptionValues &values, CommandContext &context);

// Removes an item with its current version. An item of version 0 doesn't exist, so nothing is submitted for it.
ExitCode removeItem(AdminClient &client, const ConfigItem &item, const OptionValues &values, CommandContext &context);

// Returns `size` random bytes in hexadecimal.
std::string randomHex(std::size_t size, CommandContext &context);

// Prints lines as aligned columns. The first line is the heading.
void printColumns(const std::vector<std::vector<std::string>> &lines, std::ostream &stream);

// Returns a JSON value for display: strings without quotes.
std::string plainText(const boost::json::value &value);

} // namespace mulberryplank::internal
