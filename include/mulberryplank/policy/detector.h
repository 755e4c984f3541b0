#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Counts of latencies in classes whose bounds grow by a constant factor. The counts are weights, so that old ones can
// decay. Latencies outside the range fall into the first or last class.
class LatencyHistogram
{
public:
    static constexpr std::size_t BucketCount = 64;

    // Returns the class of `latency`, from 0.1 ms on, four classes for each doubling.
    static std::size_t bucketOf(Duration latency);

    // Returns the latency in the middle of a class.
    static Duration bucketMidpoint(std::size_t bucket);

    void add(std::size_t bucket);
    void decay(float factor);

    float total() const;

    // Returns the weight below a class, and half of the weight within it.
    float below(std::size_t bucket) const;

    // Returns the latency that the share `rank`, 0 to 1, of the weight doesn't exceed; 0 without weight.
    Duration quantile(double rank) const;

private:
    std::array<float, BucketCount> m_weights {};
    float m_total = 0;
};

// A cumulative sum of log likelihood ratios that never falls below zero: Page's test for the moment at which healthy
// turns into sick.
class SequentialTest
{
public:
    // `limit` keeps the time that it takes to come down again in bounds.
    void add(double logLikelihoodRatio, double limit);
    void reset();
    double value() const;

private:
    double m_value = 0;
};

// What a success and an error add to a test for a raised share of errors.
struct ErrorTestSteps {
    double success = 0;
    double error = 0;
};

// Returns the steps of the test of `faultyShare` against `healthyShare` of errors, both above 0 and below 1.
ErrorTestSteps errorTestSteps(double healthyShare, double faultyShare);

// Returns what a latency at rank `rank` (the share of comparable latencies below it) adds to the test for slowness.
// With ranks u of a healthy target spread evenly over 0 to 1 whatever the latencies' distribution, the test is of the
// density k u^(k-1) against 1: heavy tails can't raise it, since the most that one answer adds is log k. `exponent` is
// k, above 1: a small one suits a target that is somewhat slow, a large one a target that is very slow.
double latencyTestStep(double rank, double exponent);

// Turns the attempts of one process at one service's targets into a suspicion per target. The comparison is always
// with the service's other targets over the same seconds and the same route. Not synchronized.
class Detector
{
public:
    // Route classes that are told apart; further routes share the last one.
    static constexpr std::size_t RouteClasses = 8;

    // No suspicion exceeds `limit`.
    explicit Detector(double limit);

    // Makes room for a target with this index. Indices are given out in order.
    void addTarget();

    // Forgets a target's evidence.
    void removeTarget(TargetIndex target);

    // Takes in an attempt; `useLatency` is false while the target may be slow for a good reason, such as a cold
    // start. O(1).
    void observe(const Attempt &attempt, Instant now, bool useLatency);

    // Takes in requests still waiting, as ServiceHealth::observeOutstanding().
    void observeOutstanding(TargetIndex target, Duration oldestAge, std::uint32_t waiting, Instant now);

    // Brings references up to date. To be called about 10 times a second.
    void tick(Instant now);

    // Returns the log likelihood ratio of sick against healthy, 0 and up.
    double suspicion(TargetIndex target) const;

    // Returns the step that this attempt makes in the tests, without adding it anywhere: for trials.
    double latencyStep(const Attempt &attempt) const;

    // Returns how many attempts ended in about the last second.
    double recentAttempts(TargetIndex target) const;

    // Returns the time of the last attempt or waiting request that counted.
    Instant lastEvidence(TargetIndex target) const;

    // Returns the mean latency of the target's recent successes, of the whole service's if it has none.
    Duration expectedLatency(TargetIndex target) const;

    // Starts the target's tests afresh and forgets how long it took to answer.
    void reset(TargetIndex target);

    // Starts all targets' tests afresh and lets old latencies count little: after a change of the whole service.
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
        double decayedAttempts = 0; // attempts, fading within a second
        double waiting = 0; // log likelihood ratio of the requests still waiting
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
    std::vector<std::unique_ptr<Target>> m_targets; // empty for removed ones
    std::array<LatencyHistogram, RouteClasses> m_latency; // of all targets
    LatencyHistogram m_allRoutes;
    Counts m_counts; // of all targets
    double m_meanLatency = 0; // seconds
    Instant m_decayedAt {};
};

} // namespace mulberryplank
