#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace mulberryplank
{

// A proxy's status for people, and what in it needs an operator's attention.
struct StatusView {
    std::string text; // one screen
    std::vector<std::string> attention; // empty: healthy
};

// Renders the answer of /-/status, of which these fields are read:
//     {"vm": "vm-1", "ready": true, "draining": false, "applied": 12, "log_reachable": true,
//      "members": as for renderMembers(),
//      "services": [{"service": "proofroom", "floor": 3, "floor_binds": false,
//                    "targets": [{"target": "pr-3", "failure_domain": "klein-hall", "phase": "ejected"}],
//                    "accounts": [{"account": "kpc", "refused": {"rate_limited": 12}}]}]}
// A field that is missing is shown as "?"; a proxy that doesn't say that it is ready needs attention.
StatusView renderStatus(const boost::json::value &status);

// Renders the answer of /-/members, a list of
//     {"vm": "vm-1", "failure_domain": "klein-hall", "status": "alive", "ready": true, "applied": 12,
//      "caller": "127.0.0.1:8080", "peer": "127.0.0.1:8082", "incarnation": 7}
// as a table.
std::string renderMembers(const boost::json::value &members);

// Renders any JSON as indented text.
std::string renderDump(const boost::json::value &dump);

} // namespace mulberryplank
