#include "mulberryplank/app/gatewaysettings.h"

#include "mulberryplank/app/settingsfile.h"
#include "settingstores.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr const char *ConfigVariable = "MULBERRYPLANK_CONFIG";
constexpr double MaxSeconds = 3'600;
constexpr std::uint64_t MaxIngressProxies = 64; // callers accept no more addresses

using GatewayRow = SettingRow<GatewaySettings>;

// Parses a number of units, of which UnitsPerSecond make a second.
template<Duration GatewaySettings::*Field, int UnitsPerSecond>
bool storeDurationAt(GatewaySettings &settings, const std::string &value)
{
    const std::optional<double> number = parseDecimal(value, 0.001, MaxSeconds * UnitsPerSecond);
    settings.*Field = number ? fromSeconds(*number / UnitsPerSecond) : settings.*Field;
    return number.has_value();
}

template<double GatewaySettings::*Field, int Max>
bool storeDecimalAt(GatewaySettings &settings, const std::string &value)
{
    const std::optional<double> number = parseDecimal(value, 0, Max);
    settings.*Field = number.value_or(settings.*Field);
    return number.has_value();
}

bool storeBufferMegabytes(GatewaySettings &settings, const std::string &value)
{
    constexpr double Most = 65'536;
    const std::optional<double> number = parseDecimal(value, 1, Most);
    settings.bufferMegabytes = number.value_or(settings.bufferMegabytes);
    return number.has_value();
}

template<bool GatewaySettings::*Field>
bool storeFlagAt(GatewaySettings &settings, const std::string &value)
{
    settings.*Field = value == "true";
    return settings.*Field || value == "false";
}

constexpr int InSeconds = 1; // units per second
constexpr int InMilliseconds = 1'000; // likewise
constexpr const char *SecondsAllowed = "0.001 to 3600 (seconds)";
constexpr const char *MillisecondsAllowed = "0.001 to 3600000 (milliseconds)";

std::vector<GatewayRow> addressRows()
{
    return {
        { { "vm", "NAME", std::nullopt, NameAllowed, "Name of the VM that this gateway runs on.", {} },
          storeNameAt<&GatewaySettings::vm> },
        { { "failure-domain", "NAME", std::nullopt, NameAllowed, "Failure domain that this VM stands in.", {} },
          storeNameAt<&GatewaySettings::failureDomain> },
        { { "listen", "IP:PORT", std::nullopt, EndpointAllowed, "Address for callers' requests (HTTP).", {} },
          storeEndpointAt<&GatewaySettings::caller> },
        { { "ready", "IP:PORT", std::nullopt, EndpointAllowed, "Address that says whether this process serves.", {} },
          storeEndpointAt<&GatewaySettings::ready> },
        { { "locate", "IP:PORT", std::nullopt, EndpointAllowed, "Address that tells callers where to connect.", {} },
          storeEndpointAt<&GatewaySettings::locate> },
        { { "peer", "IP:PORT", std::nullopt, EndpointAllowed, "Address for other gateways (UDP and TCP).", {} },
          storeEndpointAt<&GatewaySettings::peer> },
        { { "store", "IP:PORT", std::nullopt, EndpointAllowed, "Address of the platform's metadata store.", {} },
          storeEndpointAt<&GatewaySettings::store> },
    };
}

std::vector<GatewayRow> policyRows()
{
    return {
        { { "heartbeat-ms", "MS", "1500", MillisecondsAllowed, "Between two heartbeats of a target.", {} },
          storeDurationAt<&GatewaySettings::heartbeat, InMilliseconds> },
        { { "grace-s", "S", "6", SecondsAllowed, "From SIGTERM until the process is killed.", {} },
          storeDurationAt<&GatewaySettings::grace, InSeconds> },
        { { "locate-lifetime-s", "S", "2", SecondsAllowed, "How long callers may keep an answer of locate.", {} },
          storeDurationAt<&GatewaySettings::locateLifetime, InSeconds> },
        { { "retry-ratio", "N", "0.2", "0 to 10", "Extra attempts for each request of a service.", {} },
          storeDecimalAt<&GatewaySettings::retryRatio, 10> },
        { { "retry-window-s", "S", "10", SecondsAllowed, "The window in which extra attempts are counted.", {} },
          storeDurationAt<&GatewaySettings::retryWindow, InSeconds> },
        { { "retry-slack",
            "N",
            "10",
            "0 to 1000000",
            "Extra attempts of a service in a window besides, of the whole fleet.",
            {} },
          storeDecimalAt<&GatewaySettings::retrySlack, 1'000'000> },
        { { "account-window-s", "S", "5", SecondsAllowed, "Period over which limits of accounts are counted.", {} },
          storeDurationAt<&GatewaySettings::accountWindow, InSeconds> },
        { { "entries-per-domain",
            "N",
            "1",
            "1 to 64",
            "Gateways that callers of a failure domain are named, at least.",
            {} },
          [](GatewaySettings &settings, const std::string &value) {
              const std::optional<std::uint64_t> number = parseNumber(value, 1, MaxIngressProxies);
              settings.entriesPerDomain = static_cast<std::uint32_t>(number.value_or(1));
              return number.has_value();
          } },
        { { "stay-in-domain",
            "N",
            "25",
            "0 to 400 (percent of the target latency)",
            "Most expected time that a request gives up to stay in its failure domain; 0: requests aren't bound to it.",
            {} },
          storeDecimalAt<&GatewaySettings::stayInDomain, 400> },
        { { "buffer-mb",
            "MB",
            "128",
            "1 to 65536",
            "Memory for the bodies of requests and responses. A client account or service uses half of it at most.",
            {} },
          storeBufferMegabytes },
        { { "first-start",
            "true|false",
            "false",
            "true or false",
            "Whether the whole fleet starts for the first time: then no key is expected in the store.",
            {} },
          storeFlagAt<&GatewaySettings::firstStart> },
        { { "cpu-share", "N", "1", "0 to 1024", "Part of a core, or cores, that this process has.", {} },
          storeDecimalAt<&GatewaySettings::cpuShare, 1'024> },
        { { "log-level", "LEVEL", "info", "debug, info, warning or error", "Least level of events to be logged.", {} },
          storeLogLevel },
    };
}

const std::vector<GatewayRow> &gatewayRows()
{
    static const std::vector<GatewayRow> Rows = [] {
        std::vector<GatewayRow> rows {
            { { "config", "FILE", "", "readable file of lines NAME=VALUE, or nothing", "File with settings.", {} },
              [](GatewaySettings &settings, const std::string &value) {
                  settings.file = value;
                  return true;
              } },
        };
        for (auto part : { addressRows, policyRows }) {
            const std::vector<GatewayRow> more = part();
            rows.insert(rows.end(), more.begin(), more.end());
        }
        return rows;
    }();
    return Rows;
}

// Returns the value of --config, which is needed before the other settings can be read.
std::string configFile(int argc, char **argv, const EnvironmentLookup &environment)
{
    constexpr std::string_view Flag = "--config";
    for (int index = 1; index < argc; ++index) {
        const std::string_view word = argv[index];
        if (word == Flag && index + 1 < argc) {
            return argv[index + 1];
        }
        if (word.starts_with("--config=")) {
            return std::string(word.substr(Flag.size() + 1));
        }
    }
    return environment(ConfigVariable).value_or("");
}

} // namespace

} // namespace internal

const std::vector<OptionInfo> &gatewayOptions()
{
    static const std::vector<OptionInfo> Options = internal::optionsOf(internal::gatewayRows());
    return Options;
}

Result<CheckedGatewaySettings> checkGatewaySettings(int argc, char **argv, const EnvironmentLookup &environment)
{
    const std::string file = internal::configFile(argc, argv, environment);
    Result<SettingsFile> fromFile = file.empty() ? SettingsFile {} : readSettingsFile(file);
    if (!fromFile) {
        return tl::make_unexpected(fromFile.error());
    }
    const auto lookup = [&](const std::string &variable) -> std::optional<std::string> {
        std::optional<std::string> value = environment(variable);
        const auto found = fromFile->find(variable);
        return value || found == fromFile->end() ? value : found->second;
    };
    return internal::checkRows<CheckedGatewaySettings>(internal::gatewayRows(), gatewayOptions(), argc, argv, lookup);
}

} // namespace mulberryplank
