#include "mulberryplank/policy/detector.h"

#include <cmath>
#include <random>

#include <rapidcheck.h>

// Last: it makes `new` a macro, which other headers don't bear.
#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr TargetIndex Targets = 5;
constexpr double Limit = 60;

// Feeds `seconds` of traffic, 10 requests a second and target, with latencies drawn by `latency`.
template<typename Latency>
double highestSuspicion(Detector &detector, int seconds, Latency latency)
{
    double highest = 0;
    for (int step = 0; step < 10 * seconds; ++step) {
        const Instant now = Instant {} + Millis { 100 } * step;
        for (TargetIndex target = 0; target < Targets; ++target) {
            detector.observe({ target, 0, AttemptResult::Success, fromSeconds(latency(target)) }, now, true);
            highest = std::max(highest, detector.suspicion(target));
        }
        detector.tick(now);
    }
    return highest;
}

Detector makeDetector()
{
    Detector detector(Limit);
    for (TargetIndex target = 0; target < Targets; ++target) {
        detector.addTarget();
    }
    return detector;
}

} // namespace

TEST_GROUP(Detector) {};

// Failure: targets whose answers vary a lot are ejected now and then though nothing is wrong with them.
TEST(Detector, doesNotSuspectHeavyTailedLatencies)
{
    CHECK_TRUE(rc::check("tails", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        Detector detector = makeDetector();
        const double highest = highestSuspicion(detector, 60, [&](TargetIndex) {
            constexpr double InfiniteVariance = 1.2;
            return 0.005 * std::pow(1 - uniform(random), -1 / InfiniteVariance);
        });
        RC_ASSERT(highest < 16);
    }));
}

TEST(Detector, suspectsASlowTargetAtAnyLatencyScale)
{
    CHECK_TRUE(rc::check("slow", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> latency(std::log(0.002 * (1 + seed % 100)), 0.7);
        Detector detector = makeDetector();
        highestSuspicion(detector, 20, [&](TargetIndex target) {
            return latency(random) * (target == 3 ? 5 : 1);
        });
        RC_ASSERT(detector.suspicion(3) > 20);
        RC_ASSERT(detector.suspicion(0) < 16);
    }));
}

TEST(Detector, ignoresSheds)
{
    Detector detector = makeDetector();
    for (int step = 0; step < 100; ++step) {
        detector.observe({ 0, 0, AttemptResult::Shed, Millis { 1 } }, Instant {}, true);
    }
    DOUBLES_EQUAL(0, detector.suspicion(0), 0);
    DOUBLES_EQUAL(0, detector.recentAttempts(0), 0);
}

TEST(Detector, doesNotSuspectATargetForErrorsOfAllTargets)
{
    Detector detector = makeDetector();
    std::mt19937 random(4);
    std::bernoulli_distribution fails(0.2);
    for (int step = 0; step < 2'000; ++step) {
        const Instant now = Instant {} + Millis { 20 } * step;
        const TargetIndex target = static_cast<TargetIndex>(step) % Targets;
        const AttemptResult result = fails(random) ? AttemptResult::ServerError : AttemptResult::Success;
        detector.observe({ target, 0, result, Millis { 20 } }, now, true);
        detector.tick(now);
    }
    for (TargetIndex target = 0; target < Targets; ++target) {
        CHECK_TRUE(detector.suspicion(target) < 16);
    }
}
