#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/net/httpmessage.h"
#include "mulberryplank/policy/targetbalancer.h"

namespace mulberryplank
{

// What a caller's header says to the product, beyond HTTP.
struct CallerFields {
    std::string attemptId; // the caller's, of this one attempt; empty: none
    std::optional<Duration> timeLeft; // how long the caller will wait
};

// What the product says to a target beyond the caller's own header.
struct TargetFields {
    TargetName expected; // any other target refuses the request without running it
    Duration timeLeft {};
};

// What a target's answer says to the product, beyond HTTP.
struct ResponseFields {
    std::string attemptId; // of the request that it answers
    bool signedBody = false; // it bears the signature without which a success isn't one
    bool notRun = false; // the target did not run the request
    bool wrongTarget = false; // another target has the address
    std::optional<ReportedLoad> load;
    std::optional<Duration> keepAliveTimeout; // how long the target keeps the connection while it is idle
};

// Translates between header fields on the wire and what they mean. The functions decide nothing.
struct HeaderCodec {
    std::function<CallerFields(const boost::beast::http::fields &)> readCaller;
    std::function<void(RequestHeader &, const TargetFields &)> writeTarget;
    std::function<ResponseFields(const ResponseHeader &)> readResponse;
};

} // namespace mulberryplank
