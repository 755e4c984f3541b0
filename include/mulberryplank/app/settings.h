#pragma once

#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The settings of a process, checked as a whole. Each has a flag and an environment variable.
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
    std::string lastKnownFile; // --last-known-file: a snapshot handed in by the operator
};

} // namespace mulberryplank
