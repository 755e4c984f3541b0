#include "commandparts.h"

#include <algorithm>
#include <ostream>
#include <sstream>

#include "mulberryplank/app/keyfile.h"
#include "mulberryplank/app/settings.h"
#include "mulberryplank/policy/tablecsv.h"

namespace mulberryplank::internal
{

namespace json = boost::json;

namespace
{

constexpr std::size_t EditIdBytes = 16;
constexpr const char *MillisAllowed = "0 to 600000 (milliseconds)";

// Returns the addresses in "10.0.0.1:81,10.0.0.2:81", or nothing if one of them is none.
std::optional<std::vector<Endpoint>> parseEndpoints(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::optional<Endpoint> endpoint = parseEndpoint(part);
        if (!endpoint) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.empty()) {
        return std::nullopt;
    }
    return endpoints;
}

bool isMillis(const std::string &value)
{
    return parseNumber(value, 0, MaxMillis).has_value();
}

} // namespace

std::vector<OptionInfo> clientOptions(std::vector<OptionInfo> more)
{
    std::vector<OptionInfo> options {
        { "admin",
          "IP:PORT,...",
          std::nullopt,
          std::string(EndpointAllowed) + "; several with commas between",
          "Addresses for operators of one or more proxies; the next is asked where one can't be reached.",
          [](const std::string &value) {
              return parseEndpoints(value).has_value();
          } },
        { "operator-key-file",
          "FILE",
          std::nullopt,
          "readable file with one key a line, at least 32 characters each, no blanks",
          "Operator's key; the first in the file is shown to the proxy.",
          [](const std::string &value) {
              return readKeyFile(value).has_value();
          } },
        { "timeout-ms", "MS", "10000", MillisAllowed, "The most that one request may take.", isMillis },
    };
    options.insert(options.end(), more.begin(), more.end());
    return options;
}

std::vector<OptionInfo> editOptions(std::vector<OptionInfo> more)
{
    more.push_back(
        { "wait", "MS", "5000", MillisAllowed, "How long to wait for the edit to be in force everywhere.", isMillis });
    return clientOptions(std::move(more));
}

OptionInfo switchOption(const std::string &name, const std::string &help)
{
    return { name, "", std::nullopt, "", help, {} };
}

OptionInfo fileOption(const std::string &name, const std::string &help)
{
    return { name, "FILE", "", "path of a file, or nothing", help, {} };
}

Result<std::unique_ptr<AdminClient>> connect(const OptionValues &values, CommandContext &context)
{
    const Result<std::vector<std::string>> keys = readKeyFile(values["operator-key-file"]);
    if (!keys) {
        return tl::make_unexpected(keys.error());
    }
    AdminClientSettings settings;
    settings.proxies = parseEndpoints(values["admin"]).value_or(std::vector<Endpoint> {});
    settings.key = keys->front();
    settings.timeout = Millis(parseNumber(values["timeout-ms"], 0, MaxMillis).value_or(0));
    return std::make_unique<AdminClient>(std::move(settings), context.exchange, context.sleepFor);
}

ExitCode usageError(const Error &error, CommandContext &context)
{
    context.err << error.detail << "\n";
    return ExitCode::Usage;
}

ExitCode fleetError(const Error &error, CommandContext &context)
{
    context.err << toString(error.kind) << ": " << error.detail << "\n";
    const bool unavailable = error.kind == ErrorKind::NotReady || error.kind == ErrorKind::PlatformUnavailable;
    if (error.kind == ErrorKind::PlatformUnavailable) {
        context.err << "The edit may or may not have been accepted. The same command can be repeated: it sends only "
                       "what still differs.\n";
    }
    return unavailable ? ExitCode::Unavailable : ExitCode::Refused;
}

namespace
{

// Returns the record of an edit that would set the listed items, so that one codec reads both.
std::string encodeListAsEdit(json::array items, const std::string &kind)
{
    for (json::value &item : items) {
        item.as_object()["kind"] = kind;
    }
    return json::serialize(json::object { { "v", 1 }, { "id", "list" }, { "changes", std::move(items) } });
}

Result<json::array> fetchJsonList(AdminClient &client, const std::string &path)
{
    const Result<std::string> body = client.get(path);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    boost::system::error_code problem;
    json::value list = json::parse(*body, problem);
    if (problem || !list.is_array()) {
        return failure(ErrorKind::Internal, path + ": the proxy's answer is not a JSON list");
    }
    const bool objects = std::all_of(list.get_array().begin(), list.get_array().end(), [](const json::value &item) {
        return item.is_object();
    });
    if (!objects) {
        return failure(ErrorKind::Internal, path + ": the proxy's answer is not a list of JSON objects");
    }
    return std::move(list.get_array());
}

// Returns the items that a proxy lists at `path`, in the form that edits carry.
template<typename Item>
Result<std::vector<Item>> fetchItems(AdminClient &client, const std::string &path, const std::string &kind)
{
    const Result<json::array> list = fetchJsonList(client, path);
    if (!list || list->empty()) {
        return list.map([](const json::array &) {
            return std::vector<Item> {};
        });
    }
    const Result<Edit> edit = decodeEdit(encodeListAsEdit(*list, kind));
    if (!edit) {
        return failure(ErrorKind::Internal, path + ": " + edit.error().detail);
    }
    std::vector<Item> items;
    for (const Change &change : edit->changes) {
        items.push_back(std::get<Item>(change.item));
    }
    return items;
}

} // namespace

Result<std::vector<Service>> fetchServices(AdminClient &client)
{
    return fetchItems<Service>(client, "/-/services", "service");
}

Result<std::vector<Target>> fetchTargets(AdminClient &client)
{
    return fetchItems<Target>(client, "/-/targets", "target");
}

Result<std::vector<Row>> fetchRows(AdminClient &client)
{
    const Result<std::string> csv = client.get("/-/table");
    if (!csv) {
        return tl::make_unexpected(csv.error());
    }
    const Result<std::vector<Row>> rows = parseTable(*csv);
    if (!rows) {
        return failure(ErrorKind::Internal, "/-/table: " + rows.error().detail);
    }
    return rows;
}

Result<std::vector<Account>> fetchAccounts(AdminClient &client)
{
    const Result<json::array> list = fetchJsonList(client, "/-/accounts");
    if (!list) {
        return tl::make_unexpected(list.error());
    }
    std::vector<Account> accounts;
    try {
        for (const json::value &entry : *list) {
            Account account;
            account.name = AccountName(entry.at("name").as_string().c_str());
            account.version = entry.at("version").to_number<mulberryplank::Version>();
            accounts.push_back(std::move(account));
        }
    } catch (const std::exception &) {
        return failure(ErrorKind::Internal, "/-/accounts: an entry lacks name or version");
    }
    return accounts;
}

namespace
{

// Prints where an accepted edit is in force.
ExitCode printEditResponse(const EditResponse &response, CommandContext &context)
{
    const std::size_t all = response.inForce.size() + response.missing.size();
    context.out << "accepted at offset " << response.offset << "; in force in " << response.inForce.size() << " of "
                << all << " proxies\n";
    for (const std::string &vm : response.missing) {
        context.out << "missing: " << vm << "\n";
    }
    return response.missing.empty() ? ExitCode::Done : ExitCode::PartlyInForce;
}

} // namespace

ExitCode submitChanges(AdminClient &client,
                       const std::vector<Change> &changes,
                       const OptionValues &values,
                       CommandContext &context)
{
    const Millis wait(parseNumber(values["wait"], 0, MaxMillis).value_or(0));
    ExitCode code = ExitCode::Done;
    for (std::vector<Change> &part : splitForRecords(changes)) {
        const Edit edit { EditId(randomHex(EditIdBytes, context)), std::move(part) };
        if (const Result<void> checked = checkEdit(edit); !checked) {
            return usageError(checked.error(), context);
        }
        const Result<EditResponse> response = client.submit(edit, wait);
        if (!response) {
            return fleetError(response.error(), context);
        }
        code = std::max(code, printEditResponse(*response, context));
    }
    return code;
}

ExitCode applyDiff(AdminClient &client, const ItemDiff &diff, const OptionValues &values, CommandContext &context)
{
    for (const std::string &line : diff.lines) {
        context.out << line << "\n";
    }
    if (!diff.stale.empty()) {
        for (const std::string &label : diff.stale) {
            context.err << "conflict: " << label << "\n";
        }
        context.err << "Somebody else changed these. Nothing was sent; export again and edit anew.\n";
        return ExitCode::Refused;
    }
    if (diff.changes.empty()) {
        context.out << "nothing differs\n";
        return ExitCode::Done;
    }
    if (values.has("dry-run")) {
        context.out << diff.changes.size() << " would change; nothing was sent\n";
        return ExitCode::Done;
    }
    return submitChanges(client, diff.changes, values, context);
}

ExitCode removeItem(AdminClient &client, const ConfigItem &item, const OptionValues &values, CommandContext &context)
{
    const bool exists = std::visit(
        [](const auto &known) {
            return known.version != 0;
        },
        item);
    if (!exists) {
        context.out << itemLabel(item) << " does not exist; nothing to remove\n";
        return ExitCode::Done;
    }
    context.out << "- " << itemLabel(item) << "\n";
    return submitChanges(client, { { item, true } }, values, context);
}

std::string randomHex(std::size_t size, CommandContext &context)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const char letter : context.randomBytes(size)) {
        const auto byte = static_cast<unsigned char>(letter);
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

void printColumns(const std::vector<std::vector<std::string>> &lines, std::ostream &stream)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string> &line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t index = 0; index < line.size(); ++index) {
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    for (const std::vector<std::string> &line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            const bool last = index + 1 == line.size();
            stream << line[index] << std::string(last ? 0 : widths[index] - line[index].size() + 2, ' ');
        }
        stream << "\n";
    }
}

std::string plainText(const json::value &value)
{
    if (value.is_string()) {
        return { value.get_string().data(), value.get_string().size() };
    }
    if (value.is_double()) {
        std::ostringstream text;
        text << value.get_double();
        return text.str();
    }
    return json::serialize(value);
}

} // namespace mulberryplank::internal
