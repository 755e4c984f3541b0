#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/crashdetector.h"
#include "mulberryplank/net/headercodec.h"
#include "mulberryplank/net/updatemessages.h"
#include "mulberryplank/net/worker.h"
#include "mulberryplank/policy/budgetloan.h"
#include "mulberryplank/policy/directpath.h"
#include "mulberryplank/policy/domainshares.h"
#include "mulberryplank/policy/idlelimit.h"
#include "mulberryplank/policy/requestfingerprint.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targetbalancer.h"
#include "mulberryplank/policy/weightedsplit.h"
#include "mulberryplank/policy/windowbudget.h"
#include "mulberryplank/state/bufferbudget.h"
#include "mulberryplank/state/gatewaymetrics.h"

namespace mulberryplank
{

// Attempts at targets in one other failure domain, for one reason.
struct DomainCrossings {
    std::uint64_t attempts = 0;
    std::uint64_t bytes = 0; // of bodies of requests and of buffered responses
};

// The gateway's state for one service: its targets and the budget for extra attempts.
struct ForwardService {
    TargetBalancer balancer;
    WindowBudget budget;
    BudgetLoan loan {};
    DirectPath path {};
    IdleLimit idleLimit {}; // of connections to the service's targets
    DomainShares domains {}; // reports on the service's load in each failure domain
    // By domain and name of the reason; "unbound" while requests aren't bound to the own domain.
    std::map<std::pair<FailureDomain, std::string_view>, DomainCrossings> crossings {};
};

// Limits for connections to targets and callers.
struct ForwardLimits {
    // Maximum time for connecting to a target. A reachable target accepts within a few round trips. A lost packet costs
    // a second; another target responds well before that.
    Duration connectTime = Millis(300);
    // Responses up to this size are read completely before any byte is forwarded, as far as the budget for buffers
    // allows it, so that a request whose response breaks off can be retried.
    std::size_t maxBufferedResponseBytes = 1024 * 1024;
    Duration writeTimeout = Seconds(30); // for writing a piece of a response to a caller
};

// Counters that the metrics report in addition to GatewayMetrics.
struct ForwardCounters {
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t attemptsWhileClosing = 0; // of any kind
    std::uint64_t connects = 0; // new connections to targets
    std::uint64_t relayedConnects = 0; // new connections through other gateways
    std::uint64_t mismatchedResponses = 0; // responses to another request, discarded
    std::uint64_t unidentifiedResponses = 0; // responses without an id, discarded
    std::uint64_t budgetRefused = 0;
    std::uint64_t budgetKept = 0; // of budgetRefused: the budget was kept for requests of other priorities
    std::uint64_t budgetLent = 0;
    std::uint64_t budgetBorrowed = 0;
};

// How a gateway reaches targets when it has lost its own path to them.
struct TargetPathHooks {
    // Returns whether connections to the service's targets lead through other gateways at the moment.
    std::function<bool(const ServiceName &)> usesRelays;
    // Called with the result of a new connection of this process to a target, opened at that time.
    std::function<void(const ServiceName &, const TargetName &, bool reached, Instant openedAt)> noteConnection;
    // Called when the path to the service's targets may be lost: none has responded for unusually long, or one has
    // reset a new connection after a request, which faulty targets do as well. Checks it by connections without a
    // request.
    std::function<void(const ServiceName &)> suspectPath;
    // Connects to a target through another gateway. Errors: NoTarget if a gateway that reaches others can't reach this
    // one; any other kind if no gateway could tell.
    std::function<DataAwaitable<Result<TargetConnectionPtr>>(TargetName)> connectThroughRelay;
};

// State shared by the requests of a gateway. Used only by the thread that runs the worker.
struct ForwardContext {
    Worker *worker = nullptr;
    HeaderCodec codec;
    ForwardLimits limits;
    RequestFingerprinter fingerprinter;
    EventSink events;
    std::function<ForwardService &(const ServiceName &)> service;
    // Sends evidence about a target, from the end of an attempt or from a missing response, to the other gateways.
    std::function<void(const AttemptReport &)> share;
    // Called with what a target's response said about its rate limit.
    std::function<void(const ServiceName &, const TargetName &, const RateLimitNotice &)> noteRateLimit;
    // Called with what a target's response said about further requests. `relay` is the gateway that the response came
    // through, whose machine the target sees, or 0.
    std::function<void(const ServiceName &, const TargetName &, const TargetNotice &, Incarnation relay)>
        noteTargetNotice;
    // Requests a part of the service's budget from another gateway. Returns whether a loan may arrive, which takes a
    // few milliseconds.
    std::function<bool(const ServiceName &)> requestBudget;
    // Returns how long a request is refused still because it crashes its targets, or nothing.
    std::function<std::optional<Duration>(RequestFingerprint)> quarantineLeft;
    // Called when a target has run a request and survived, and when it has responded with an error.
    std::function<void(RequestFingerprint)> requestSucceeded;
    std::function<void(RequestFingerprint)> requestFailed;
    std::function<void(const LostAttempt &)> attemptLost; // called when a target may have crashed
    TargetPathHooks paths;
    BufferBudget buffers; // of the bodies of requests and responses
    // The process is about to end: a request that wasn't sent to a target yet is rejected, since it may not be
    // finished.
    bool closing = false;
    ForwardCounters counters;
    GatewayMetrics metrics;
};

} // namespace mulberryplank
