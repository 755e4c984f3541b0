#include <algorithm>
#include <ostream>

#include "commandparts.h"

#include "mulberryplank/app/csvfile.h"
#include "mulberryplank/app/itemcsv.h"
#include "mulberryplank/policy/calleridentity.h"

namespace mulberryplank::internal
{

namespace
{

constexpr std::size_t SecretBytes = 32;

// Returns the items of a CSV file, as `parse` reads them.
template<typename Item>
Result<std::vector<Item>> readItems(const std::string &path, Result<std::vector<Item>> (*parse)(const CsvFile &))
{
    const Result<std::string> content = readWholeFile(path);
    if (!content) {
        return tl::make_unexpected(content.error());
    }
    return parseCsv(path, *content).and_then([&](const CsvFile &file) {
        return parse(file);
    });
}

// Returns the item with the name of `wanted`, or `wanted` as it is.
template<typename Item>
Item findByName(const std::vector<Item> &items, const Item &wanted)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &item) {
        return item.name == wanted.name;
    });
    return found == items.end() ? wanted : *found;
}

Account makeAccount(const std::string &name)
{
    Account account;
    account.name = AccountName(name);
    return account;
}

ExitCode listAccountsCommand(const OptionValues &values, CommandContext &context)
{
    return withItems<Account>(values, context, fetchAccounts, [&](AdminClient &, const std::vector<Account> &accounts) {
        std::vector<std::vector<std::string>> lines { { "account", "version" } };
        for (const Account &account : accounts) {
            lines.push_back({ account.name.value(), std::to_string(account.version) });
        }
        printColumns(lines, context.out);
        return ExitCode::Done;
    });
}

// Sets a fresh secret and prints it once it is in the table: a secret that was printed and then not accepted would be
// handed to a caller who could never use it.
ExitCode setNewSecret(AdminClient &client, Account account, const OptionValues &values, CommandContext &context)
{
    const std::string secret = randomHex(SecretBytes, context);
    account.secretDigest = digestOf(secret);
    const ExitCode code = submitChanges(client, { { account, false } }, values, context);
    if (code == ExitCode::Done || code == ExitCode::PartlyInForce) {
        context.out << "secret: " << secret << "\n";
        context.out << "It is shown once and kept nowhere; only its digest is in the configuration.\n";
    }
    if (code == ExitCode::Unavailable) {
        context.err << "No secret is shown, since it may not be in force. Look with 'accounts list'; if "
                    << account.name.value() << " exists, run 'accounts rotate'.\n";
    }
    return code;
}

ExitCode addAccountCommand(const OptionValues &values, CommandContext &context)
{
    const std::string &name = values.positionals.front();
    if (!isItemName(name)) {
        return usageError(
            { ErrorKind::BadConfiguration, "account: '" + name + "' is not allowed; allowed: " + ItemNameAllowed },
            context);
    }
    return withItems<Account>(
        values, context, fetchAccounts, [&](AdminClient &client, const std::vector<Account> &accounts) {
            const Account account = findByName(accounts, makeAccount(name));
            if (account.version != 0) {
                return fleetError(
                    { ErrorKind::Conflict, "account " + name + " exists; 'accounts rotate' sets a new secret" },
                    context);
            }
            return setNewSecret(client, account, values, context);
        });
}

ExitCode rotateAccountCommand(const OptionValues &values, CommandContext &context)
{
    const std::string &name = values.positionals.front();
    return withItems<Account>(
        values, context, fetchAccounts, [&](AdminClient &client, const std::vector<Account> &accounts) {
            const Account account = findByName(accounts, makeAccount(name));
            if (account.version == 0) {
                return fleetError({ ErrorKind::NotFound, "account " + name + " does not exist" }, context);
            }
            return setNewSecret(client, account, values, context);
        });
}

ExitCode removeAccountCommand(const OptionValues &values, CommandContext &context)
{
    return withItems<Account>(
        values, context, fetchAccounts, [&](AdminClient &client, const std::vector<Account> &accounts) {
            return removeItem(client, findByName(accounts, makeAccount(values.positionals.front())), values, context);
        });
}

ExitCode importAccountsCommand(const OptionValues &values, CommandContext &context)
{
    const Result<std::vector<Account>> wanted = readItems(values.positionals.front(), parseAccounts);
    if (!wanted) {
        return usageError(wanted.error(), context);
    }
    return withItems<Account>(
        values, context, fetchAccounts, [&](AdminClient &client, const std::vector<Account> &accounts) {
            return applyDiff(client, accountDiff(accounts, *wanted), values, context);
        });
}

ExitCode listServicesCommand(const OptionValues &values, CommandContext &context)
{
    return withItems<Service>(values, context, fetchServices, [&](AdminClient &, const std::vector<Service> &services) {
        std::vector<std::vector<std::string>> lines {
            { "service", "detection", "floor_share", "floor_count", "slots_per_target", "routes", "version" }
        };
        for (const Service &service : services) {
            lines.push_back({ service.name.value(),
                              std::string(toString(service.detection)),
                              plainText(service.floorShare),
                              std::to_string(service.floorCount),
                              std::to_string(service.slotsPerTarget),
                              std::to_string(service.routes.size()),
                              std::to_string(service.version) });
        }
        printColumns(lines, context.out);
        return ExitCode::Done;
    });
}

// Puts each route into its service, in the file's order. Errors: BadConfiguration when a route names a service that
// the services file lacks.
Result<void> attachRoutes(std::vector<Service> &services, const std::vector<RouteLine> &lines, const std::string &path)
{
    for (const RouteLine &line : lines) {
        const auto service = std::find_if(services.begin(), services.end(), [&](const Service &candidate) {
            return candidate.name == line.service;
        });
        if (service == services.end()) {
            return failure(ErrorKind::BadConfiguration,
                           path + ", column service: '" + line.service.value()
                               + "' is not allowed; allowed: services of the services file");
        }
        service->routes.push_back(line.route);
    }
    return {};
}

Result<std::vector<Service>> readServices(const std::string &path, const std::string &routesPath)
{
    Result<std::vector<Service>> services = readItems(path, parseServices);
    if (!services || routesPath.empty()) {
        return services;
    }
    const Result<std::vector<RouteLine>> routes = readItems(routesPath, parseRoutes);
    if (!routes) {
        return tl::make_unexpected(routes.error());
    }
    const Result<void> attached = attachRoutes(*services, *routes, routesPath);
    if (!attached) {
        return tl::make_unexpected(attached.error());
    }
    return services;
}

ExitCode importServicesCommand(const OptionValues &values, CommandContext &context)
{
    const std::string &routesPath = values["routes"];
    const Result<std::vector<Service>> wanted = readServices(values.positionals.front(), routesPath);
    if (!wanted) {
        return usageError(wanted.error(), context);
    }
    return withItems<Service>(
        values, context, fetchServices, [&](AdminClient &client, const std::vector<Service> &services) {
            return applyDiff(client, serviceDiff(services, *wanted, !routesPath.empty()), values, context);
        });
}

ExitCode listTargetsCommand(const OptionValues &values, CommandContext &context)
{
    return withItems<Target>(values, context, fetchTargets, [&](AdminClient &, const std::vector<Target> &targets) {
        std::vector<std::vector<std::string>> lines {
            { "target", "service", "host", "port", "failure_domain", "version" }
        };
        for (const Target &target : targets) {
            lines.push_back({ target.name.value(),
                              target.service.value(),
                              target.host,
                              std::to_string(target.port),
                              target.failureDomain.value(),
                              std::to_string(target.version) });
        }
        printColumns(lines, context.out);
        return ExitCode::Done;
    });
}

ExitCode applyTargets(const std::vector<Target> &wanted, const OptionValues &values, CommandContext &context)
{
    return withItems<Target>(
        values, context, fetchTargets, [&](AdminClient &client, const std::vector<Target> &targets) {
            return applyDiff(client, targetDiff(targets, wanted), values, context);
        });
}

ExitCode importTargetsCommand(const OptionValues &values, CommandContext &context)
{
    const Result<std::vector<Target>> wanted = readItems(values.positionals.front(), parseTargets);
    if (!wanted) {
        return usageError(wanted.error(), context);
    }
    return applyTargets(*wanted, values, context);
}

ExitCode addTargetCommand(const OptionValues &values, CommandContext &context)
{
    constexpr std::array<const char *, 5> Columns { "target", "service", "host", "port", "failure_domain" };
    Target target;
    for (std::size_t index = 0; index < Columns.size(); ++index) {
        if (const Result<void> set = setField(target, Columns[index], values.positionals[index]); !set) {
            return usageError(set.error(), context);
        }
    }
    return applyTargets({ target }, values, context);
}

ExitCode removeTargetCommand(const OptionValues &values, CommandContext &context)
{
    return withItems<Target>(
        values, context, fetchTargets, [&](AdminClient &client, const std::vector<Target> &targets) {
            Target target;
            target.name = TargetName(values.positionals.front());
            return removeItem(client, findByName(targets, target), values, context);
        });
}

} // namespace

std::vector<CommandInfo> accountCommands()
{
    const OptionInfo dryRun = switchOption("dry-run", "Print the difference and send nothing.");
    return {
        { "accounts", "list", "", "print client accounts", clientOptions(), 0, 0, listAccountsCommand },
        { "accounts",
          "add",
          "NAME",
          "add a client account and print its secret once",
          editOptions(),
          1,
          1,
          addAccountCommand },
        { "accounts",
          "rotate",
          "NAME",
          "replace a client account's secret and print the new one once",
          editOptions(),
          1,
          1,
          rotateAccountCommand },
        { "accounts",
          "import",
          "FILE",
          "set the secrets of the client accounts in a CSV file (account,secret)",
          editOptions({ dryRun }),
          1,
          1,
          importAccountsCommand },
        { "accounts", "remove", "NAME", "remove a client account", editOptions(), 1, 1, removeAccountCommand },
    };
}

std::vector<CommandInfo> serviceCommands()
{
    return {
        { "services", "list", "", "print services", clientOptions(), 0, 0, listServicesCommand },
        { "services",
          "import",
          "FILE",
          "set the services in a CSV file",
          editOptions({ switchOption("dry-run", "Print the difference and send nothing."),
                        fileOption("routes", "CSV file of these services' routes; without one they keep theirs.") }),
          1,
          1,
          importServicesCommand },
    };
}

std::vector<CommandInfo> targetCommands()
{
    const OptionInfo dryRun = switchOption("dry-run", "Print the difference and send nothing.");
    return {
        { "targets", "list", "", "print targets", clientOptions(), 0, 0, listTargetsCommand },
        { "targets",
          "import",
          "FILE",
          "set the targets in a CSV file",
          editOptions({ dryRun }),
          1,
          1,
          importTargetsCommand },
        { "targets",
          "add",
          "NAME SERVICE HOST PORT FAILURE_DOMAIN",
          "add or change one target",
          editOptions({ dryRun }),
          5,
          5,
          addTargetCommand },
        { "targets", "remove", "NAME", "remove a target", editOptions(), 1, 1, removeTargetCommand },
    };
}

} // namespace mulberryplank::internal
