#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <boost/json/object.hpp>

#include "httpserver.h"

namespace standin
{

// Counts how often each operation was started, so that "at most once" can be checked from outside. An operation is
// named by the request's X-Request-Id, Idempotency-Key or X-Operation-Id header, or by a member operation_id of a
// JSON body; a request that gives several different names counts once under each.
class RunCounts
{
public:
    // Counts a request that starts to run. GET, HEAD and OPTIONS aren't counted, since they may run any number of
    // times.
    void count(const Request &request);

    // Returns the counts by name.
    boost::json::object toJson() const;

private:
    std::unordered_map<std::string, std::uint64_t> m_counts;
};

} // namespace standin
