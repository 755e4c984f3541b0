#pragma once

#include <string>
#include <vector>

#include "mulberryplank/app/options.h"
#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The settings of a proxy, including checks across settings. Each has a flag and an environment variable.
struct Settings {
    VmName vm; // --vm
    FailureDomain failureDomain; // --failure-domain
    Endpoint caller; // --listen: HTTP for callers
    Endpoint admin; // --admin: HTTP for operators
    Endpoint peer; // --peer: UDP and TCP for other proxies
    std::vector<Endpoint> seeds; // --seeds: peer addresses of other proxies, comma-separated
    Endpoint log; // --log
    Endpoint vmList; // --vm-list
    std::size_t threads = 2; // --threads
    std::string fleetKeyFile; // --fleet-key-file: one key per line; the first one signs
    std::string operatorKeyFile; // --operator-key-file: one key per line
    Millis drainLimit { 60'000 }; // --drain-limit-ms: maximum duration of a graceful shutdown
    Millis locateLifetime { 10'000 }; // --locate-lifetime-ms: how long callers may cache a response of locate
    std::string logLevel = "info"; // --log-level
    std::string logFile; // --log-file; empty: standard error
    std::string lastKnownFile; // --last-known-file: a snapshot provided by the operator
};

// Returns a proxy's options. Flags, variables and help are derived from them, and docs/OPERATORS.md lists them.
const std::vector<OptionInfo> &settingOptions();

// The effective value of one setting, for display. Of key files it has the path and never the content.
struct EffectiveSetting {
    std::string name;
    std::string value;
    Origin origin = Origin::Default;
};

// Settings together with the source of each.
struct CheckedSettings {
    Settings settings;
    std::vector<EffectiveSetting> effective; // in the order of settingOptions()
};

// Reads a proxy's settings from a command line and the environment. argv[0] is skipped. Files that are named are read
// to check them. Errors: BadConfiguration with one line for each problem, naming flag or variable, value and the
// allowed values. Must not be called concurrently; see parseOptions().
Result<CheckedSettings> checkSettings(int argc, char **argv, const EnvironmentLookup &environment);

// Does the same and returns only the settings.
Result<Settings> parseSettings(int argc, char **argv, const EnvironmentLookup &environment);

// Returns those of `variables` (names of environment variables) that have the prefix of mulberryplank's settings but
// belong to none of `options`.
std::vector<std::string> unknownVariables(const std::vector<OptionInfo> &options,
                                          const std::vector<std::string> &variables);

// Returns the names of this process's environment variables.
std::vector<std::string> processVariables();

// Returns the address in `text` ("10.0.0.7:8080"), or nothing. The address is announced to callers and peers, which
// must be able to connect to it, so 0.0.0.0 and port 0 are rejected.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// Describes what parseEndpoint() accepts, for help texts and errors.
inline constexpr const char *EndpointAllowed = "IPv4 number and port 1 to 65535 that others can connect to, "
                                               "such as 10.0.0.7:8080";

// Returns the severity named by a value of --log-level, or nothing.
std::optional<Severity> severityFromString(std::string_view name);

} // namespace mulberryplank
