#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <boost/json/object.hpp>

#include "httpserver.h"

namespace standin
{

// Counts how often each operation was started, so that scripts can verify the at-most-once guarantee. The id of an
// operation is the request's X-Request-Id, Idempotency-Key or X-Operation-Id header, or the member operation_id of a
// JSON body. A request with several different ids counts once under each of them. Thread-compatible.
class RunCounts
{
public:
    // Counts a request that starts to run. GET, HEAD and OPTIONS aren't counted, since they are safe and may run any
    // number of times.
    void count(const Request &request);

    // Returns the counts by operation id.
    boost::json::object toJson() const;

private:
    std::unordered_map<std::string, std::uint64_t> m_counts;
};

} // namespace standin
