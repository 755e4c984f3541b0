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
#include "mulberryplank/policy/targetnotice.h"

namespace mulberryplank
{

// The product's own fields of a caller's header.
struct CallerFields {
    std::string attemptId; // the caller's id for this attempt; empty if there is none
    std::string credentials; // as sent; empty if there are none
    std::string accountKey; // the key of a client account among the credentials; empty if there is none
    std::optional<Duration> timeLeft; // the caller's remaining timeout
};

// The product's own fields of a request to a target, besides the caller's header.
struct TargetFields {
    TargetName expected; // any other target rejects the request without running it
    Duration timeLeft {};
    // Whether this process has identified the caller. Its credentials and what it claims about its account are then
    // removed.
    bool isIdentified = false;
    AccountName account; // the caller's, if it is identified; empty if it has none
};

// The product's own fields of a target's response.
struct ResponseFields {
    std::string attemptId; // of the request that the response belongs to
    bool signedBody = false; // the response has the signature that a successful response requires
    bool notRun = false; // the target did not run the request
    bool wrongTarget = false; // the address belongs to another target
    std::optional<ReportedLoad> load;
    std::optional<double> rateLimit; // the requests per second that the target takes from all proxies together
    TargetNotice notice;
    std::optional<Duration> keepAliveTimeout; // how long the target keeps the connection open while it is idle
};

// Translates between header fields on the wire and their meaning. The functions make no decisions.
struct HeaderCodec {
    std::function<CallerFields(const boost::beast::http::fields &)> readCaller;
    std::function<void(RequestHeader &, const TargetFields &)> writeTarget;
    std::function<ResponseFields(const ResponseHeader &)> readResponse;
    std::string challenge; // for callers without a valid key, in the WWW-Authenticate field
};

} // namespace mulberryplank
