#include <algorithm>
#include <ostream>

#include "commandparts.h"

#include "mulberryplank/app/csvfile.h"
#include "mulberryplank/app/itemcsv.h"
#include "mulberryplank/app/settings.h"
#include "mulberryplank/app/statusview.h"

namespace mulberryplank::internal
{

namespace
{

namespace json = boost::json;

// Asks for JSON and hands it to `use`, or prints what is wrong.
ExitCode withJson(const OptionValues &values,
                  CommandContext &context,
                  const std::string &path,
                  const std::function<ExitCode(const json::value &response)> &use)
{
    const Result<std::unique_ptr<AdminClient>> client = connect(values, context);
    if (!client) {
        return usageError(client.error(), context);
    }
    const Result<std::string> body = (*client)->get(path);
    if (!body) {
        return fleetError(body.error(), context);
    }
    boost::system::error_code problem;
    const json::value response = json::parse(*body, problem);
    if (problem) {
        return fleetError({ ErrorKind::Internal, path + ": the proxy's answer is not JSON" }, context);
    }
    return use(response);
}

ExitCode statusCommand(const OptionValues &values, CommandContext &context)
{
    return withJson(values, context, "/-/status", [&](const json::value &response) {
        const StatusView view = renderStatus(response);
        context.out << (values.has("json") ? json::serialize(response) + "\n" : view.text);
        return view.attention.empty() ? ExitCode::Done : ExitCode::Refused;
    });
}

ExitCode membersCommand(const OptionValues &values, CommandContext &context)
{
    return withJson(values, context, "/-/members", [&](const json::value &response) {
        context.out << (values.has("json") ? json::serialize(response) + "\n" : renderMembers(response));
        return ExitCode::Done;
    });
}

ExitCode dumpCommand(const OptionValues &values, CommandContext &context)
{
    return withJson(values, context, "/-/dump", [&](const json::value &response) {
        context.out << (values.has("json") ? json::serialize(response) + "\n" : renderDump(response));
        return ExitCode::Done;
    });
}

// Prints the addresses in an response of locate, one a line.
ExitCode printLocation(const std::string &body, CommandContext &context)
{
    try {
        const json::value response = json::parse(body);
        context.out << "keep for " << plainText(response.at("lifetime_ms")) << " ms\n";
        std::vector<std::vector<std::string>> lines { { "address", "failure domain", "weight" } };
        for (const json::value &entry : response.at("addresses").as_array()) {
            lines.push_back({ plainText(entry.at("host")) + ":" + plainText(entry.at("port")),
                              plainText(entry.at("failure_domain")),
                              plainText(entry.at("weight")) });
        }
        printColumns(lines, context.out);
        return ExitCode::Done;
    } catch (const std::exception &) {
        return fleetError({ ErrorKind::Internal, "locate: the proxy's answer can't be read" }, context);
    }
}

// Returns what an account's callers show, "ACCOUNT.SECRET", from the first line of a file; nothing without a file.
Result<std::string> accountCredential(const std::string &path)
{
    if (path.empty()) {
        return std::string();
    }
    return readWholeFile(path).map([](const std::string &content) {
        return content.substr(0, content.find_first_of("\r\n"));
    });
}

// What an account used and was refused, in the order of the CSV's columns after vm and service.
const std::vector<std::string> &usageFields()
{
    static const std::vector<std::string> Fields { "account", "weight", "entitled", "used_slot_seconds",
                                                   "running", "queued", "started" };
    return Fields;
}

const std::vector<std::string> &refusalFields()
{
    static const std::vector<std::string> Fields {
        "rate_limited", "in_flight_limited", "queue_full", "deadline_before_start", "expired"
    };
    return Fields;
}

std::string fieldText(const json::object &object, const std::string &key)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? "" : plainText(*value);
}

// Names of VMs, services and accounts hold no character that CSV would have to quote.
void printUsage(const json::object &dump, std::ostream &out)
{
    const std::string vm = fieldText(dump, "vm");
    const json::array none;
    const json::value *services = dump.if_contains("services");
    for (const json::value &service : services != nullptr ? services->as_array() : none) {
        const json::object &fields = service.as_object();
        for (const json::value &account : fields.at("accounts").as_array()) {
            out << vm << ',' << fieldText(fields, "service");
            for (const std::string &field : usageFields()) {
                out << ',' << fieldText(account.as_object(), field);
            }
            for (const std::string &field : refusalFields()) {
                out << ',' << fieldText(account.as_object().at("refused").as_object(), field);
            }
            out << '\n';
        }
    }
}

ExitCode usageCommand(const OptionValues &values, CommandContext &context)
{
    context.out << "vm,service";
    for (const std::string &field : usageFields()) {
        context.out << ',' << field;
    }
    for (const std::string &field : refusalFields()) {
        context.out << ',' << field;
    }
    context.out << '\n';
    return withJson(values, context, "/-/dump", [&](const json::value &response) {
        printUsage(response.as_object(), context.out);
        return ExitCode::Done;
    });
}

ExitCode locateCommand(const OptionValues &values, CommandContext &context)
{
    const std::string &service = values.positionals.front();
    if (!isItemName(service)) {
        return usageError(
            { ErrorKind::BadConfiguration, "service: '" + service + "' is not allowed; allowed: " + ItemNameAllowed },
            context);
    }
    AdminClientSettings settings;
    settings.proxies = { parseEndpoint(values["proxy"]).value_or(Endpoint {}) };
    settings.timeout = Millis(parseNumber(values["timeout-ms"], 0, MaxMillis).value_or(0));
    const Result<std::string> credential = accountCredential(values["account-file"]);
    if (!credential) {
        return usageError(credential.error(), context);
    }
    settings.key = *credential;
    AdminClient client(std::move(settings), context.exchange, context.sleepFor);
    const Result<std::string> body = client.get("/-/locate/" + service);
    if (!body) {
        return fleetError(body.error(), context);
    }
    if (values.has("json")) {
        context.out << *body << "\n";
        return ExitCode::Done;
    }
    return printLocation(*body, context);
}

std::vector<OptionInfo> locateOptions()
{
    const std::vector<OptionInfo> client = clientOptions();
    const auto timeout = std::find_if(client.begin(), client.end(), [](const OptionInfo &option) {
        return option.name == "timeout-ms";
    });
    const auto accepts = [](const std::string &value) {
        return parseEndpoint(value).has_value();
    };
    return { { "proxy", "IP:PORT", std::nullopt, EndpointAllowed, "Address for callers of any proxy.", accepts },
             fileOption("account-file", "File whose first line is ACCOUNT.SECRET, as the account's callers show it."),
             *timeout,
             switchOption("json", "Print the answer as it is.") };
}

} // namespace

std::vector<CommandInfo> viewCommands()
{
    const OptionInfo asJson = switchOption("json", "Print the answer as it is.");
    return {
        { "locate",
          "",
          "SERVICE",
          "print the addresses that callers of a service use",
          locateOptions(),
          1,
          1,
          locateCommand },
        { "dump", "", "", "print a proxy's whole state", clientOptions({ asJson }), 0, 0, dumpCommand },
        { "usage",
          "",
          "",
          "print as CSV what each client account used and was refused on one proxy since it started",
          clientOptions(),
          0,
          0,
          usageCommand },
        { "members", "", "", "print the proxies that a proxy knows", clientOptions({ asJson }), 0, 0, membersCommand },
        { "status",
          "",
          "",
          "print what matters on one screen; ends with 1 where something needs attention",
          clientOptions({ asJson }),
          0,
          0,
          statusCommand },
    };
}

} // namespace mulberryplank::internal
