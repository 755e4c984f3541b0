#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace standin
{

class JsonObjectReader;

// The simulated partial failures of a target. Shares are probabilities per request, from 0 to 1.
struct TargetFaults {
    double slowFactor = 1; // multiplies the service time
    double slowMs = 0; // added to the service time
    std::string slowPath; // path prefix to which the two above apply; empty: all paths
    double errorShare = 0; // the request runs and gets 500
    double truncateShare = 0; // half of the body is sent, then the connection closes
    double stallShare = 0; // half of the body is sent, then nothing more
    double hangShare = 0; // no response at all; the slot stays occupied
    double resetShare = 0; // the request runs, then the connection is reset without a response
    bool wrongBody = false; // the response has the id and body of another request
    bool lieHealth = false; // the health endpoint always responds ok, without delay
    bool lieLoad = false; // the reported load is always 0
    bool refuseAfterAccept = false; // new connections are closed immediately when accepted
    bool hold = false; // requests stay in their slots until this is false
    double flapMs = 0; // the faults above are active in every second period of this length; 0: always active
};

// Updates the faults that `reader` contains and keeps the others. Throws std::invalid_argument for an unknown name or
// an invalid value, and changes nothing then.
void applyFaults(TargetFaults &faults, JsonObjectReader &reader);

// Returns all faults, under the names that applyFaults() reads.
boost::json::object toJson(const TargetFaults &faults);

// Returns the faults that are active `sinceChange` after they were set. With flapMs, none are active in every second
// period.
TargetFaults activeFaults(const TargetFaults &faults, std::chrono::nanoseconds sinceChange);

// Returns the service time of `path` in milliseconds when it would be `normalMs` without faults.
double slowedServiceTime(const TargetFaults &faults, std::string_view path, double normalMs);

} // namespace standin
