#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace standin
{

class JsonObjectReader;

// The ways in which a target can be made to fail partially. Shares are probabilities per request, from 0 to 1.
struct TargetFaults {
    double slowFactor = 1; // multiplies the service time
    double slowMs = 0; // is added to the service time
    std::string slowPath; // the two above apply to paths that begin so; empty: to all
    double errorShare = 0; // answered 500
    double truncateShare = 0; // half of the body, then the connection closes
    double stallShare = 0; // half of the body, then nothing
    double hangShare = 0; // no answer at all, the slot stays taken
    double resetShare = 0; // the request runs, then a TCP reset takes the place of the answer
    bool wrongBody = false; // the id and body of another request
    bool lieHealth = false; // the health endpoint answers ok at once, whatever is the case
    bool lieLoad = false; // the load reported is always 0
    bool refuseAfterAccept = false; // new connections are closed once accepted
    bool hold = false; // requests stay in their slots until this is switched off
    double flapMs = 0; // all of the above hold and don't hold by turns of this length; 0: they hold
};

// Changes the faults that are named in `reader`, and leaves the others. Throws std::invalid_argument.
void applyFaults(TargetFaults &faults, JsonObjectReader &reader);

// Returns the faults under the names by which they are switched.
boost::json::object toJson(const TargetFaults &faults);

// Returns the faults in force after `sinceChange`: none in every second turn when they flap.
TargetFaults activeFaults(const TargetFaults &faults, std::chrono::nanoseconds sinceChange);

// Returns the service time in milliseconds that `path` gets in place of `normalMs`.
double slowedServiceTime(const TargetFaults &faults, std::string_view path, double normalMs);

} // namespace standin
