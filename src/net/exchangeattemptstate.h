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
    Signal admissionSignal; // set when `admitted` is set or the attempt is cancelled
    RequestId queued = 0; // its id in the service's queue; 0 if it is not queued yet
    std::optional<AdmissionResult> admitted;
    std::optional<Grant> grant; // until it is released
    TargetConnectionPtr connection;
    std::unique_ptr<ResponseParser> parser;
    ResponseSummary header;
    Instant grantedAt {};
    std::optional<Instant> firstByteAt;
    int shedRetryAfter = 0;
    std::optional<std::uint32_t> load;
    bool targetLeaving = false;
    WheelTimer responseTimer; // for a reused connection without a response
    bool hasEarlyResponse = false; // the response started before the request was sent completely
    bool cancelled = false; // the coroutine must no longer access the exchange's request
};

} // namespace mulberryplank
