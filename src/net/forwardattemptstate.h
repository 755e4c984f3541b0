#pragma once

#include "mulberryplank/net/forwarder.h"
#include "mulberryplank/policy/targetresponse.h"

namespace mulberryplank
{

// One attempt of a forwarder.
struct Forwarder::AttemptState : boost::intrusive_ref_counter<AttemptState, boost::thread_unsafe_counter> {
    ChosenTarget target;
    Instant started {};
    std::optional<Instant> noResponseReportAt; // when to report the missing response to the other gateways
    TargetConnectionPtr connection;
    // False if a connection to the target may have carried the request before: a second response to it could arrive
    // there.
    bool mayReuseConnection = true;
    std::optional<Duration> idle; // for how long the connection was idle, if it was used before
    bool sent = false; // a byte of the request may have been sent
    bool written = false; // the complete request has been sent
    bool sentBeforeResponse = false; // the response arrived after the complete request was sent
    bool cancelled = false; // its result is ignored
    bool ended = false; // `result` is known
    bool recorded = false;
    AttemptResult result = AttemptResult::Cancelled;
    std::unique_ptr<ResponseParser> parser;
    std::optional<ResponseIdentity> identity; // of the last response whose header was read
    ResponseFields fields; // of the request's own response
    std::string body;
    BufferLease bodyLease; // of `body`
    bool hasMoreBody = false; // the response is too large to be buffered

    // Returns the status of the response, or 0 while its header is incomplete. An empty message has status 200, so an
    // unresponsive target would appear to have started its response.
    unsigned status() const
    {
        return parser && parser->is_header_done() ? parser->get().result_int() : 0;
    }
};

} // namespace mulberryplank
