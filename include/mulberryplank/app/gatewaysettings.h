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

// The settings of a gateway, checked as a whole. Each has a flag and an environment variable, and may stand in the file
// that --config names.
struct GatewaySettings {
    std::string file; // --config
    VmName vm; // --vm
    FailureDomain failureDomain; // --failure-domain
    Endpoint caller; // --listen: HTTP for callers
    Endpoint ready; // --ready: asked by the platform whether this process serves
    Endpoint locate; // --locate: asked by callers where to connect
    Endpoint peer; // --peer: UDP and TCP for other gateways
    Endpoint store; // --store: the platform's metadata store
    Duration heartbeat = Millis(1'500); // --heartbeat-ms: of targets
    Duration grace = Seconds(6); // --grace-s: from SIGTERM until the process is killed
    Duration locateLifetime = Seconds(2); // --locate-lifetime-s: how long callers may keep an answer of locate
    double retryRatio = 0.2; // --retry-ratio: extra attempts for each request of a service, over the fleet
    Duration retryWindow = Seconds(10); // --retry-window-s
    double retrySlack = 10; // --retry-slack: extra attempts of a service in a window besides, over the fleet
    double cpuShare = 1; // --cpu-share: of a core that this process has
    std::uint32_t entriesPerDomain = 1; // --entries-per-domain: gateways of each that callers are named, at least
    bool firstStart = false; // --first-start: the whole fleet starts for the first time
    std::string logLevel = "info"; // --log-level
};

// Returns the table of a gateway's settings.
const std::vector<OptionInfo> &gatewayOptions();

// A gateway's settings together with where each came from.
struct CheckedGatewaySettings {
    GatewaySettings settings;
    std::vector<EffectiveSetting> effective; // in the order of gatewayOptions()
};

// Reads a gateway's settings: a flag wins over the environment, which wins over the file, which wins over the default.
// Everything that is wrong is told at once, with its place, the value and what is allowed. Errors: BadConfiguration.
Result<CheckedGatewaySettings> checkGatewaySettings(int argc, char **argv, const EnvironmentLookup &environment);

} // namespace mulberryplank
