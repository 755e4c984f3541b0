#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// A histogram of latencies in buckets whose bounds grow by a constant factor. The counts are weights, so that old ones
// can decay. Latencies outside the range fall into the first or last bucket.
class LatencyHistogram
{
public:
    static constexpr std::size_t BucketCount = 64;

    // Returns the bucket of `latency`. Buckets start at 0.1 ms, with four buckets for each doubling.
    static std::size_t bucketOf(Duration latency);

    // Returns the latency in the middle of a bucket.
    static Duration bucketMidpoint(std::size_t bucket);

    void add(std::size_t bucket);
    void decay(float factor);

    float total() const;

    // Returns the weight below a bucket plus half of the weight within it.
    float below(std::size_t bucket) const;

    // Returns the latency that the share `rank`, 0 to 1, of the weight doesn't exceed; 0 if there is no weight.
    Duration quantile(double rank) const;

private:
    std::array<float, BucketCount> m_weights {};
    float m_total = 0;
};

// A cumulative sum of log likelihood ratios that never falls below zero: Page's test, which detects the moment at which
// a healthy target becomes faulty.
class SequentialTest
{
public:
    // `limit` bounds the sum, and with it the time that the sum takes to fall again.
    void add(double logLikelihoodRatio, double limit);
    void reset();
    double value() const;

private:
    double m_value = 0;
};

// The steps that a success and an error add to a test for a raised share of errors.
struct ErrorTestSteps {
    double success = 0;
    double error = 0;
};

// Returns the steps of the test of `faultyShare` against `healthyShare` of errors. Both must be above 0 and below 1.
ErrorTestSteps errorTestSteps(double healthyShare, double faultyShare);

// Returns what a latency at rank `rank` (the share of comparable latencies below it) adds to the test for slowness. The
// ranks u of a healthy target are uniform over 0 to 1 whatever the distribution of latencies. The test compares the
// density k u^(k-1) with the density 1. Heavy tails can't raise it, since one response adds log k at most. `exponent`
// is k and must be above 1: a small value suits a target that is somewhat slow, a large value a target that is very
// slow.
double latencyTestStep(double rank, double exponent);

// Turns the attempts of one process at one service's targets into a suspicion per target. Each target is always
// compared with the service's other targets over the same seconds and the same route. Thread-compatible.
class Detector
{
public:
    // Number of routes that are tracked separately; further routes share the last class.
    static constexpr std::size_t RouteClasses = 8;

    // No suspicion exceeds `limit`.
    explicit Detector(double limit);

    // Adds the target with the next index. Indices are assigned in order.
    void addTarget();

    // Removes a target and its evidence.
    void removeTarget(TargetIndex target);

    // Records an attempt in O(1). `useLatency` is false while the target may be slow for a legitimate reason, such as a
    // cold start.
    void observe(const Attempt &attempt, Instant now, bool useLatency);

    // Records requests that are still waiting. See ServiceHealth::observeOutstanding().
    void observeOutstanding(TargetIndex target, Duration oldestAge, std::uint32_t waiting, Instant now);

    // Updates the reference distributions. Must be called about 10 times a second.
    void tick(Instant now);

    // Returns the log likelihood ratio of faulty against healthy, 0 or more.
    double suspicion(TargetIndex target) const;

    // Returns the step of the slowness test for this attempt without recording it. Used for trials.
    double latencyStep(const Attempt &attempt) const;

    // Returns the number of attempts that ended in about the last second.
    double recentAttempts(TargetIndex target) const;

    // Returns the time of the last attempt or waiting request that was counted.
    Instant lastEvidence(TargetIndex target) const;

    // Returns the mean latency of the target's recent successes, or that of the whole service if it has none.
    Duration expectedLatency(TargetIndex target) const;

    // Resets the target's tests and its mean latency.
    void reset(TargetIndex target);

    // Resets the tests of all targets and reduces the weight of old latencies. Used after a change that affects the
    // whole service.
    void rebaseline();

private:
    struct Counts {
        float attempts = 0;
        float errors = 0;
        float wrongResponses = 0;
    };

    struct Target {
        std::array<LatencyHistogram, RouteClasses> latency;
        std::array<SequentialTest, RouteClasses> slow;
        std::array<SequentialTest, RouteClasses> verySlow;
        SequentialTest manyErrors;
        SequentialTest someErrors;
        SequentialTest wrongResponses;
        ErrorTestSteps manyErrorsSteps;
        ErrorTestSteps someErrorsSteps;
        ErrorTestSteps wrongResponseSteps;
        Counts counts;
        double decayedAttempts = 0; // count that decays within a second
        double waiting = 0; // log likelihood ratio of the requests that are still waiting
        double meanLatency = 0; // seconds
        Instant lastEvidence {};
        Instant lastResponse {};
    };

    double rankOf(const Target &target, std::size_t route, Duration latency) const;
    double survivalShare(Duration age) const;
    void observeErrors(Target &target, AttemptResult result);
    void observeLatency(Target &target, std::size_t route, Duration latency, bool success);
    void updateSteps(Target &target) const;
    void decay();

    double m_limit;
    std::vector<std::unique_ptr<Target>> m_targets; // null for removed targets
    std::array<LatencyHistogram, RouteClasses> m_latency; // of all targets
    LatencyHistogram m_allRoutes;
    Counts m_counts; // of all targets
    double m_meanLatency = 0; // seconds
    Instant m_decayedAt {};
};

} // namespace mulberryplank
