#include "mulberryplank/app/itemcsv.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <unordered_set>

#include <arpa/inet.h>

#include "mulberryplank/app/options.h"
#include "mulberryplank/policy/calleridentity.h"
#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::uint64_t MaxMillis = 86'400'000;
constexpr std::uint64_t MaxCount = 1'000'000;
constexpr double MaxRequestsPerSecond = 1e9;
constexpr const char *MillisAllowed = "1 to 86400000 (milliseconds)";
constexpr const char *CountAllowed = "1 to 1000000";
constexpr const char *LimitAllowed = "0 (no limit) to 4294967295";

template<typename Name>
bool storeName(Name &destination, const std::string &value)
{
    destination = Name(value);
    return isItemName(value);
}

template<typename Number>
bool storeNumber(Number &destination, const std::string &value, std::uint64_t minimum, std::uint64_t maximum)
{
    const std::optional<std::uint64_t> number = parseNumber(value, minimum, maximum);
    destination = number ? static_cast<Number>(*number) : destination;
    return number.has_value();
}

// Spreadsheets of some languages write a decimal comma.
bool storeDecimal(double &destination, std::string value, double maximum)
{
    std::replace(value.begin(), value.end(), ',', '.');
    double number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, problem] = std::from_chars(value.data(), end, number, std::chars_format::fixed);
    if (problem != std::errc() || stop != end || !(number >= 0 && number <= maximum)) {
        return false;
    }
    destination = number;
    return true;
}

bool storeMillis(Millis &destination, const std::string &value)
{
    const std::optional<std::uint64_t> number = parseNumber(value, 1, MaxMillis);
    destination = number ? Millis(*number) : destination;
    return number.has_value();
}

// Spreadsheets write truth values in upperCase.
bool storeBool(bool &destination, std::string value)
{
    std::transform(value.begin(), value.end(), value.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    destination = value == "yes" || value == "true";
    return destination || value == "no" || value == "false";
}

// Callers show "ACCOUNT.SECRET" as a bearer token, so a secret holds no dot and nothing that a header may not carry.
bool storeSecret(Account &account, const std::string &secret)
{
    const bool valid = std::all_of(secret.begin(), secret.end(), [](unsigned char letter) {
        return std::isgraph(letter) != 0 && letter != '.';
    });
    account.secretDigest = digestOf(secret);
    return valid && secret.size() >= MinSecretLength;
}

bool storeDetection(Service &service, const std::string &value)
{
    const std::optional<Detection> detection = detectionFromString(value);
    service.detection = detection.value_or(service.detection);
    return detection.has_value();
}

bool storeHost(Target &target, const std::string &value)
{
    in6_addr address {};
    target.host = value;
    return inet_pton(AF_INET, value.c_str(), &address) == 1 || inet_pton(AF_INET6, value.c_str(), &address) == 1;
}

bool storeMethod(Route &route, const std::string &value)
{
    route.method = value;
    const bool upperCase = std::all_of(value.begin(), value.end(), [](char letter) {
        return letter >= 'A' && letter <= 'Z';
    });
    return value == "*" || (upperCase && !value.empty());
}

bool storePathPrefix(Route &route, const std::string &value)
{
    route.pathPrefix = value;
    const bool visible = std::all_of(value.begin(), value.end(), [](unsigned char letter) {
        return std::isgraph(letter) != 0;
    });
    return value.starts_with('/') && visible;
}

const std::vector<CsvColumn<Account>> &accountColumns()
{
    static const std::vector<CsvColumn<Account>> Columns {
        { "account",
          ItemNameAllowed,
          true,
          [](Account &account, const std::string &value) {
              return storeName(account.name, value);
          } },
        { "secret", "20 or more visible ASCII characters other than a dot", true, storeSecret, true },
    };
    return Columns;
}

const std::vector<CsvColumn<Service>> &serviceColumns()
{
    static const std::vector<CsvColumn<Service>> Columns {
        { "service",
          ItemNameAllowed,
          true,
          [](Service &service, const std::string &value) {
              return storeName(service.name, value);
          } },
        { "detection", "fast, balanced or cautious", false, storeDetection },
        { "floor_share",
          "0 to 1, such as 0.5",
          false,
          [](Service &service, const std::string &value) {
              return storeDecimal(service.floorShare, value, 1);
          } },
        { "floor_count",
          "0 to 1000000",
          false,
          [](Service &service, const std::string &value) {
              return storeNumber(service.floorCount, value, 0, MaxCount);
          } },
        { "slots_per_target",
          CountAllowed,
          false,
          [](Service &service, const std::string &value) {
              return storeNumber(service.slotsPerTarget, value, 1, MaxCount);
          } },
        { "connections_per_target",
          CountAllowed,
          false,
          [](Service &service, const std::string &value) {
              return storeNumber(service.connectionsPerTarget, value, 1, MaxCount);
          } },
    };
    return Columns;
}

const std::vector<CsvColumn<RouteLine>> &routeColumns()
{
    static const std::vector<CsvColumn<RouteLine>> Columns {
        { "service",
          ItemNameAllowed,
          true,
          [](RouteLine &line, const std::string &value) {
              return storeName(line.service, value);
          } },
        { "route",
          ItemNameAllowed,
          true,
          [](RouteLine &line, const std::string &value) {
              line.route.name = value;
              return isItemName(value);
          } },
        { "method",
          "* or a method in capitals, such as GET",
          true,
          [](RouteLine &line, const std::string &value) {
              return storeMethod(line.route, value);
          } },
        { "path_prefix",
          "a path that begins with / and has no blanks",
          true,
          [](RouteLine &line, const std::string &value) {
              return storePathPrefix(line.route, value);
          } },
        { "idempotent",
          "yes, no, true or false",
          true,
          [](RouteLine &line, const std::string &value) {
              return storeBool(line.route.idempotent, value);
          } },
        { "timeout_ms",
          MillisAllowed,
          false,
          [](RouteLine &line, const std::string &value) {
              return storeMillis(line.route.timeout, value);
          } },
        { "progress_timeout_ms",
          MillisAllowed,
          false,
          [](RouteLine &line, const std::string &value) {
              return storeMillis(line.route.progressTimeout, value);
          } },
    };
    return Columns;
}

const std::vector<CsvColumn<Target>> &targetColumns()
{
    static const std::vector<CsvColumn<Target>> Columns {
        { "target",
          ItemNameAllowed,
          true,
          [](Target &target, const std::string &value) {
              return storeName(target.name, value);
          } },
        { "service",
          ItemNameAllowed,
          true,
          [](Target &target, const std::string &value) {
              return storeName(target.service, value);
          } },
        { "host", "an IP number", true, storeHost },
        { "port",
          "1 to 65535",
          true,
          [](Target &target, const std::string &value) {
              return storeNumber(target.port, value, 1, std::numeric_limits<std::uint16_t>::max());
          } },
        { "failure_domain",
          ItemNameAllowed,
          true,
          [](Target &target, const std::string &value) {
              return storeName(target.failureDomain, value);
          } },
    };
    return Columns;
}

const std::vector<CsvColumn<Row>> &rowColumns()
{
    constexpr std::uint64_t MaxLimit = std::numeric_limits<std::uint32_t>::max();
    static const std::vector<CsvColumn<Row>> Columns {
        { "weight",
          "1 to 10000",
          false,
          [](Row &row, const std::string &value) {
              return storeNumber(row.weight, value, 1, MaxWeight);
          } },
        { "requests_per_second",
          "0 (no limit) to 1000000000",
          false,
          [](Row &row, const std::string &value) {
              return storeDecimal(row.limits.requestsPerSecond, value, MaxRequestsPerSecond);
          } },
        { "in_flight",
          LimitAllowed,
          false,
          [](Row &row, const std::string &value) {
              return storeNumber(row.limits.inFlight, value, 0, MaxLimit);
          } },
        { "queue",
          LimitAllowed,
          false,
          [](Row &row, const std::string &value) {
              return storeNumber(row.limits.queue, value, 0, MaxLimit);
          } },
    };
    return Columns;
}

// Sets one column of an item, or tells what is wrong.
template<typename Item>
Result<void> setColumn(const std::vector<CsvColumn<Item>> &columns,
                       Item &item,
                       const std::string &heading,
                       const std::string &value)
{
    std::string known;
    for (const CsvColumn<Item> &column : columns) {
        known += (known.empty() ? "" : ", ") + column.heading;
        if (column.heading != heading) {
            continue;
        }
        if (column.store(item, value)) {
            return {};
        }
        return failure(ErrorKind::BadConfiguration,
                       heading + ": '" + value + "' is not allowed; allowed: " + column.allowed);
    }
    return failure(ErrorKind::BadConfiguration, "'" + heading + "' is not allowed; allowed: " + known);
}

// Returns the first name that stands in two lines, as an error.
template<typename Item>
Result<std::vector<Item>> rejectDuplicates(const CsvFile &file, Result<std::vector<Item>> items)
{
    if (!items) {
        return items;
    }
    std::unordered_set<std::string> names;
    for (const Item &item : *items) {
        const std::string name = itemLabel(item);
        const std::size_t line = file.records.at(names.size()).line;
        if (!names.insert(name).second) {
            return failure(ErrorKind::BadConfiguration,
                           file.name + " line " + std::to_string(line) + ": " + name + " stands there twice");
        }
    }
    return items;
}

} // namespace

} // namespace internal

Result<std::vector<Account>> parseAccounts(const CsvFile &file)
{
    return internal::rejectDuplicates(file, parseItems(file, internal::accountColumns()));
}

Result<std::vector<Service>> parseServices(const CsvFile &file)
{
    return internal::rejectDuplicates(file, parseItems(file, internal::serviceColumns()));
}

Result<std::vector<RouteLine>> parseRoutes(const CsvFile &file)
{
    return parseItems(file, internal::routeColumns());
}

Result<std::vector<Target>> parseTargets(const CsvFile &file)
{
    return internal::rejectDuplicates(file, parseItems(file, internal::targetColumns()));
}

Result<void> setField(Row &row, const std::string &heading, const std::string &value)
{
    return internal::setColumn(internal::rowColumns(), row, heading, value);
}

Result<void> setField(Target &target, const std::string &heading, const std::string &value)
{
    return internal::setColumn(internal::targetColumns(), target, heading, value);
}

bool isItemName(const std::string &name)
{
    const bool validCharacters = std::all_of(name.begin(), name.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0
               || std::string_view("._-:@").find(static_cast<char>(letter)) != std::string_view::npos;
    });
    return validCharacters && !name.empty() && name.size() <= MaxNameLength;
}

} // namespace mulberryplank
