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

// The settings of a proxy, checked as a whole. Each has a flag and an environment variable.
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
    std::string fleetKeyFile; // --fleet-key-file: one key a line, the first signs
    std::string operatorKeyFile; // --operator-key-file: one key a line
    Millis drainLimit { 60'000 }; // --drain-limit-ms: the most a graceful shutdown may take
    Millis locateLifetime { 10'000 }; // --locate-lifetime-ms: how long callers may keep an answer of locate
    std::string logLevel = "info"; // --log-level
    std::string logFile; // --log-file; empty: standard error
    std::string lastKnownFile; // --last-known-file: a snapshot handed in by the operator
};

// Returns the table of a proxy's settings, from which flags, variables, help and docs/OPERATORS.md come.
const std::vector<OptionInfo> &settingOptions();

// One setting as it is in force, for people. Key files are named; their content is never part of it.
struct EffectiveSetting {
    std::string name;
    std::string value;
    Origin origin = Origin::Default;
};

// Settings together with where each came from.
struct CheckedSettings {
    Settings settings;
    std::vector<EffectiveSetting> effective; // in the order of settingOptions()
};

// Reads a proxy's settings from a command line, whose argv[0] is skipped, and the environment. Everything that is
// wrong is told at once, one line each, with flag or variable, value and what is allowed; the files named are read to
// check them. Errors: BadConfiguration. The same rule as for parseOptions() holds for threads.
Result<CheckedSettings> checkSettings(int argc, char **argv, const EnvironmentLookup &environment);

// Does the same and returns the settings alone.
Result<Settings> parseSettings(int argc, char **argv, const EnvironmentLookup &environment);

// Returns those of `variables` (names of environment variables) that look like settings of mulberryplank but belong to
// none of `options`.
std::vector<std::string> unknownVariables(const std::vector<OptionInfo> &options,
                                          const std::vector<std::string> &variables);

// Returns the names of this process's environment variables.
std::vector<std::string> processVariables();

// Returns the address that `text` ("10.0.0.7:8080") is, or nothing. An address must be one that others can connect
// to, so 0.0.0.0 and port 0 are refused: this address is told to callers and peers.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// What parseEndpoint() accepts, for people.
inline constexpr const char *EndpointAllowed = "IPv4 number and port 1 to 65535 that others can connect to, "
                                               "such as 10.0.0.7:8080";

// Returns the severity that a --log-level names, or nothing.
std::optional<Severity> severityFromString(std::string_view name);

} // namespace mulberryplank
