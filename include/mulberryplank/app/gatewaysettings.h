#pragma once

#include <string>
#include <vector>

#include "mulberryplank/app/options.h"
#include "mulberryplank/app/settings.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The validated settings of a gateway. Each setting has a flag and an environment variable and can also be given in the
// file named by --config.
struct GatewaySettings {
    std::string file; // --config
    VmName vm; // --vm
    FailureDomain failureDomain; // --failure-domain
    Endpoint caller; // --listen: HTTP requests of callers
    Endpoint ready; // --ready: readiness checks of the platform, and metrics
    Endpoint locate; // --locate: callers query the gateways to connect to
    Endpoint peer; // --peer: UDP and TCP of other gateways
    Endpoint store; // --store: the platform's metadata store
    Duration heartbeat = Millis(1'500); // --heartbeat-ms: interval between heartbeats of a target
    Duration grace = Seconds(6); // --grace-s: time from SIGTERM until the process is killed
    Duration locateLifetime = Seconds(2); // --locate-lifetime-s: how long callers may cache a locate response
    double retryRatio = 0.2; // --retry-ratio: extra attempts per request of a service, fleet-wide
    Duration retryWindow = Seconds(10); // --retry-window-s
    double retrySlack = 10; // --retry-slack: fixed extra attempts per service and window, fleet-wide
    Duration accountWindow = Seconds(5); // --account-window-s: period over which limits of accounts are counted
    double cpuShare = 1; // --cpu-share: number of cores available to this process, may be a fraction
    std::uint32_t entriesPerDomain = 1; // --entries-per-domain: minimum ingress gateways per failure domain
    // --stay-in-domain: expected time that a request gives up at most in order to stay in its failure domain, in
    // percent of its target latency; 0: the domains are compared by their costs alone
    double stayInDomain = 25;
    double bufferMegabytes = 128; // --buffer-mb: memory for the bodies of requests and responses
    bool firstStart = false; // --first-start: the whole fleet is starting for the first time
    std::string logLevel = "info"; // --log-level
};

// Returns the descriptions of all gateway settings.
const std::vector<OptionInfo> &gatewayOptions();

// A gateway's settings with the origin of each value.
struct CheckedGatewaySettings {
    GatewaySettings settings;
    std::vector<EffectiveSetting> effective; // in the order of gatewayOptions()
};

// Reads and validates a gateway's settings. Precedence, highest first: flag, environment, file, default. Reports all
// invalid settings at once, each with its origin, its value and the allowed values. Errors: BadConfiguration.
Result<CheckedGatewaySettings> checkGatewaySettings(int argc, char **argv, const EnvironmentLookup &environment);

} // namespace mulberryplank
