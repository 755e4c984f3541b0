#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/headercodec.h"
#include "mulberryplank/net/updatemessages.h"
#include "mulberryplank/net/worker.h"
#include "mulberryplank/policy/budgetloan.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/targetbalancer.h"
#include "mulberryplank/policy/weightedsplit.h"
#include "mulberryplank/policy/windowbudget.h"
#include "mulberryplank/state/gatewaymetrics.h"

namespace mulberryplank
{

// What a gateway knows of one service: its targets, and the budget for extra attempts.
struct ForwardService {
    TargetBalancer balancer;
    WindowBudget budget;
    BudgetLoan loan {};
};

// Limits of the path to the targets.
struct ForwardLimits {
    // For a target to take a connection. A target in reach takes one within a few round trips; a lost packet costs a
    // second, after which another target has answered long since.
    Duration connectTime = Millis(300);
    // Answers up to this size are read whole before a byte is passed on, so that one that breaks can be asked for
    // again.
    std::size_t maxBufferedResponseBytes = 1024 * 1024;
    Duration writeTimeout = Seconds(30); // for a caller to take a piece of an answer
};

// Counts that the metrics show besides those of GatewayMetrics.
struct ForwardCounters {
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t connects = 0; // new connections to targets
    std::uint64_t mismatchedResponses = 0; // answers to another request, dropped
    std::uint64_t budgetRefused = 0;
    std::uint64_t budgetLent = 0;
    std::uint64_t budgetBorrowed = 0;
};

// What the requests of a gateway share. All of it belongs to the one thread that runs the worker.
struct ForwardContext {
    Worker *worker = nullptr;
    HeaderCodec codec;
    ForwardLimits limits;
    EventSink events;
    std::function<ForwardService &(const ServiceName &)> service;
    // Tells the other gateways what was learnt of a target, from an attempt's end or its silence.
    std::function<void(const AttemptReport &)> share;
    // Asks another gateway for a part of the service's budget; what comes of it is there a few milliseconds later.
    std::function<void(const ServiceName &)> requestBudget;
    ForwardCounters counters;
    GatewayMetrics metrics;
};

} // namespace mulberryplank
