#include "mulberryplank/app/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <boost/asio/ip/address_v4.hpp>
#include <unistd.h>

#include "mulberryplank/app/keyfile.h"
#include "settingstores.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::size_t MaxNameBytes = 64;

} // namespace

bool isName(const std::string &value)
{
    const bool validCharacters = std::all_of(value.begin(), value.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '.' || letter == '-' || letter == '_';
    });
    return validCharacters && !value.empty() && value.size() <= MaxNameBytes;
}

bool storeEndpoint(Endpoint &destination, const std::string &value)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(value);
    destination = endpoint.value_or(destination);
    return endpoint.has_value();
}

namespace
{

constexpr std::uint64_t MaxThreads = 64;
constexpr std::uint64_t MinMillis = 100;
constexpr std::uint64_t MaxMillis = 3'600'000;

constexpr const char *MillisAllowed = "100 to 3600000 (milliseconds)";
constexpr const char *KeyFileAllowed = "readable file with one key a line, at least 32 characters each, no blanks";
constexpr const char *LogFileAllowed = "path of a file that can be written, or nothing";

using ProxyRow = SettingRow<Settings>;

bool storeEndpoints(std::vector<Endpoint> &destination, const std::string &value)
{
    std::vector<Endpoint> endpoints;
    std::istringstream parts(value);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::optional<Endpoint> endpoint = parseEndpoint(part);
        if (!endpoint) {
            return false;
        }
        endpoints.push_back(*endpoint);
    }
    destination = endpoints;
    return value.empty() || value.back() != ',';
}

template<Millis Settings::*Field>
bool storeMillisAt(Settings &settings, const std::string &value)
{
    const std::optional<std::uint64_t> number = parseNumber(value, MinMillis, MaxMillis);
    settings.*Field = number ? Millis(*number) : settings.*Field;
    return number.has_value();
}

template<std::string Settings::*Field>
bool storeKeyFileAt(Settings &settings, const std::string &value)
{
    settings.*Field = value;
    return readKeyFile(value).has_value();
}

bool storeLastKnownFile(std::string &destination, const std::string &value)
{
    destination = value;
    return value.empty() || std::ifstream(value).good();
}

bool isWritable(const std::filesystem::path &path)
{
    if (std::filesystem::exists(path)) {
        return access(path.c_str(), W_OK) == 0;
    }
    const std::filesystem::path folder = path.has_parent_path() ? path.parent_path() : ".";
    return access(folder.c_str(), W_OK | X_OK) == 0;
}

// The one table behind flags, variables, defaults, help, checks and the page for operators.
const std::vector<ProxyRow> &settingRows()
{
    static const std::vector<ProxyRow> Rows {
        { { "vm", "NAME", std::nullopt, NameAllowed, "Name of the VM that this proxy runs on, as in the VM list.", {} },
          storeNameAt<&Settings::vm> },
        { { "failure-domain", "NAME", std::nullopt, NameAllowed, "Failure domain that this VM stands in.", {} },
          storeNameAt<&Settings::failureDomain> },
        { { "listen", "IP:PORT", std::nullopt, EndpointAllowed, "Address for callers (HTTP).", {} },
          storeEndpointAt<&Settings::caller> },
        { { "admin", "IP:PORT", std::nullopt, EndpointAllowed, "Address for operators (HTTP).", {} },
          storeEndpointAt<&Settings::admin> },
        { { "peer", "IP:PORT", std::nullopt, EndpointAllowed, "Address for other proxies (UDP and TCP).", {} },
          storeEndpointAt<&Settings::peer> },
        { { "seeds",
            "IP:PORT,...",
            "",
            "peer addresses of proxies, separated by commas, or nothing for the first proxy",
            "Peer addresses of some proxies that run already, or will.",
            {} },
          [](Settings &settings, const std::string &value) {
              return storeEndpoints(settings.seeds, value);
          } },
        { { "log", "IP:PORT", std::nullopt, EndpointAllowed, "Address of the platform's log service (HTTP).", {} },
          storeEndpointAt<&Settings::log> },
        { { "vm-list", "IP:PORT", std::nullopt, EndpointAllowed, "Address of the platform's VM list (HTTP).", {} },
          storeEndpointAt<&Settings::vmList> },
        { { "threads", "N", "2", "1 to 64", "Threads that carry callers' requests.", {} },
          [](Settings &settings, const std::string &value) {
              const std::optional<std::uint64_t> number = parseNumber(value, 1, MaxThreads);
              settings.threads = number.value_or(settings.threads);
              return number.has_value();
          } },
        { { "fleet-key-file",
            "FILE",
            std::nullopt,
            KeyFileAllowed,
            "Keys by which proxies trust each other; the first signs, all of them verify.",
            {} },
          storeKeyFileAt<&Settings::fleetKeyFile> },
        { { "operator-key-file",
            "FILE",
            std::nullopt,
            KeyFileAllowed,
            "Keys that operators may show at the address for operators.",
            {} },
          storeKeyFileAt<&Settings::operatorKeyFile> },
        { { "drain-limit-ms", "MS", "60000", MillisAllowed, "The most that a graceful shutdown may take.", {} },
          storeMillisAt<&Settings::drainLimit> },
        { { "locate-lifetime-ms", "MS", "10000", MillisAllowed, "How long callers may keep an answer of locate.", {} },
          storeMillisAt<&Settings::locateLifetime> },
        { { "log-level", "LEVEL", "info", "debug, info, warning or error", "Least level of events to be logged.", {} },
          storeLogLevel },
        { { "log-file", "FILE", "", LogFileAllowed, "File for events; without one they go to standard error.", {} },
          [](Settings &settings, const std::string &value) {
              settings.logFile = value;
              return value.empty() || isWritable(value);
          } },
        { { "last-known-file",
            "FILE",
            "",
            "readable file, or nothing",
            "Snapshot to start from when neither the log service nor a peer can be reached.",
            {} },
          [](Settings &settings, const std::string &value) {
              return storeLastKnownFile(settings.lastKnownFile, value);
          } },
    };
    return Rows;
}

// Names the first pair of own addresses that are the same, or nothing. Peers use TCP and UDP, so no address may be
// shared with theirs.
std::optional<std::string> findSharedAddress(const Settings &settings)
{
    if (settings.caller == settings.admin) {
        return "--listen and --admin: both are '" + toString(settings.caller) + "'; allowed: different addresses";
    }
    if (settings.caller == settings.peer) {
        return "--listen and --peer: both are '" + toString(settings.caller) + "'; allowed: different addresses";
    }
    if (settings.admin == settings.peer) {
        return "--admin and --peer: both are '" + toString(settings.admin) + "'; allowed: different addresses";
    }
    return std::nullopt;
}

// Callers keep an address for the lifetime of locate's answer. A proxy that closed earlier would refuse callers who
// did nothing wrong: they would see refused connections on each deployment.
std::optional<std::string> checkDrainLimit(const Settings &settings)
{
    if (settings.drainLimit > settings.locateLifetime) {
        return std::nullopt;
    }
    return "--drain-limit-ms: '" + std::to_string(settings.drainLimit.count())
           + "' is not allowed; allowed: more than --locate-lifetime-ms ("
           + std::to_string(settings.locateLifetime.count()) + ")";
}

std::string crossCheck(const Settings &settings)
{
    const std::string address = findSharedAddress(settings).value_or("");
    const std::string drain = checkDrainLimit(settings).value_or("");
    return address + (address.empty() || drain.empty() ? "" : "\n") + drain;
}

} // namespace

} // namespace internal

const std::vector<OptionInfo> &settingOptions()
{
    static const std::vector<OptionInfo> Options = internal::optionsOf(internal::settingRows());
    return Options;
}

Result<CheckedSettings> checkSettings(int argc, char **argv, const EnvironmentLookup &environment)
{
    Result<CheckedSettings> checked =
        internal::checkRows<CheckedSettings>(internal::settingRows(), settingOptions(), argc, argv, environment);
    if (!checked) {
        return checked;
    }
    const std::string problems = internal::crossCheck(checked->settings);
    if (!problems.empty()) {
        return failure(ErrorKind::BadConfiguration, problems);
    }
    return checked;
}

Result<Settings> parseSettings(int argc, char **argv, const EnvironmentLookup &environment)
{
    return checkSettings(argc, argv, environment).map([](const CheckedSettings &checked) {
        return checked.settings;
    });
}

std::vector<std::string> unknownVariables(const std::vector<OptionInfo> &options,
                                          const std::vector<std::string> &variables)
{
    std::set<std::string> known;
    for (const OptionInfo &option : options) {
        known.insert(variableName(option));
    }
    std::vector<std::string> unknown;
    for (const std::string &variable : variables) {
        if (variable.starts_with("MULBERRYPLANK_") && !known.contains(variable)) {
            unknown.push_back(variable);
        }
    }
    return unknown;
}

std::vector<std::string> processVariables()
{
    std::vector<std::string> names;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string text(*entry);
        names.push_back(text.substr(0, text.find('=')));
    }
    return names;
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::optional<Endpoint> endpoint = endpointFromString(text);
    if (!endpoint) {
        return std::nullopt;
    }
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address_v4(endpoint->host, problem);
    if (problem || address.is_unspecified() || address.is_multicast()) {
        return std::nullopt;
    }
    return Endpoint { address.to_string(), endpoint->port };
}

std::optional<Severity> severityFromString(std::string_view name)
{
    constexpr std::array<std::string_view, 4> Names { "debug", "info", "warning", "error" };
    const auto found = std::find(Names.begin(), Names.end(), name);
    if (found == Names.end()) {
        return std::nullopt;
    }
    return static_cast<Severity>(found - Names.begin());
}

} // namespace mulberryplank
