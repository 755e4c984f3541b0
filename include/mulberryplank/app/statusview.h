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

// Renders the answer of /-/status:
//     {"vm": "vm-1", "failure_domain": "klein-hall", "version": "0.1.0", "ready": true, "draining": false,
//      "applied": 12, "log_next": 12, "lag": 0, "lag_ms": 0,
//      "platform": {"log": "up", "vm_list": "up"},
//      "members": {"alive": 3, "suspect": 0, "leaving": 0, "dead": 0},
//      "ejected": [{"service": "proofroom", "target": "pr-3", "phase": "ejected", "for_ms": 4000}],
//      "floors": [{"service": "proofroom", "floor": 3, "in_service": 3}],
//      "limits": [{"account": "kpc", "service": "proofroom", "limit": "rate-limited", "refused": 12}]}
// `floors` holds services whose floor keeps a sick target in service, `limits` those that have refused requests lately.
// A field that is missing is shown as "?"; a proxy that doesn't say that it is ready needs attention.
StatusView viewStatus(const boost::json::value &status);

// Renders the answer of /-/members, a list of
//     {"vm": "vm-1", "failure_domain": "klein-hall", "status": "alive", "ready": true, "applied": 12,
//      "caller": "127.0.0.1:8080", "peer": "127.0.0.1:8082", "incarnation": 7}
// as a table.
std::string viewMembers(const boost::json::value &members);

// Renders any JSON as indented text.
std::string viewDump(const boost::json::value &dump);

} // namespace mulberryplank
