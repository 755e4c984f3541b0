#pragma once

#include "mulberryplank/net/exchange.h"

namespace mulberryplank
{

// One attempt of an exchange.
struct Exchange::AttemptState : boost::intrusive_ref_counter<AttemptState> {
    AttemptState(AttemptNumber attemptNumber, DataExecutor executor, Exchange &exchange)
        : number(attemptNumber)
        , admissionSignal(executor)
        , responseTimer([this, &exchange] {
            exchange.onResponseTimeout(*this);
        })
    {
    }

    AttemptNumber number;
    Signal admissionSignal; // set when `admitted` has come, or the attempt is cancelled
    RequestId queued = 0; // its id in the service's queue; 0: not there yet
    std::optional<Admitted> admitted;
    std::optional<Grant> grant; // until given back
    TargetConnectionPtr connection;
    std::unique_ptr<ResponseParser> parser;
    ResponseSummary header;
    Instant grantedAt {};
    std::optional<Instant> firstByteAt;
    int shedRetryAfter = 0;
    std::optional<std::uint32_t> load;
    bool targetLeaving = false;
    WheelTimer responseTimer; // of a reused connection
    bool hasEarlyResponse = false; // the answer has begun to come before the request was sent whole
    bool cancelled = false; // its coroutine must not touch the exchange's request any more
};

} // namespace mulberryplank
