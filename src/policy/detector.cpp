#include "mulberryplank/policy/detector.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

constexpr double FirstBucketSeconds = 100e-6;
constexpr double BucketsPerDoubling = 4;

// The test for slowness: how strongly ranks lean upwards in a sick target, and the most that one fast answer takes
// away.
constexpr double SlowExponent = 3;
constexpr double VerySlowExponent = 16;
constexpr double MinSlowStep = -3;
// Targets differ a little while healthy; this much is no sign of sickness.
constexpr double LatencyTolerance = 1.25;
// Fewer comparable latencies than this say nothing.
constexpr float MinReferenceSamples = 20;

// Shares of errors that the tests tell apart. The healthy share is raised to what the other targets show.
constexpr double HealthyErrorShare = 0.0015;
constexpr double ManyErrorsShare = 0.25;
constexpr double SomeErrorsShare = 0.05;
constexpr double HealthyWrongResponsesShare = 0.0001;
constexpr double WrongResponsesShare = 0.02;
constexpr double MaxHealthyShare = 0.6;
constexpr double MaxFaultyShare = 0.9;
constexpr double MinFaultyToHealthyRatio = 3;
constexpr double OthersShareTolerance = 2;

// How requests beyond the oldest known latency count: as if the latencies' tail fell with this power.
constexpr double TailExponent = 2;
constexpr double MaxWaitingEvidence = 12;

constexpr Duration DecayInterval = Millis { 1'000 };
constexpr float DecayFactor = 0.85F;
constexpr float LowTrafficDecayFactor = 0.97F;
// How long requests may take at the very most is learnt over minutes: it needs thousands of them.
constexpr float TailDecayFactor = 0.99F;
constexpr float LowTrafficSamples = 200;
constexpr float RebaselineFactor = 0.02F;
constexpr double RecentAttemptsDecay = 0.9; // each tick
constexpr double MeanLatencyGain = 0.1;
constexpr double MeanLatencyReversion = 0.05;

bool isError(AttemptResult result)
{
    return isFault(result) || result == AttemptResult::ServerError;
}

bool isWrongResponse(AttemptResult result)
{
    return result == AttemptResult::Truncated || result == AttemptResult::Mismatched;
}

std::size_t routeClass(std::uint16_t route)
{
    return std::min<std::size_t>(route, Detector::RouteClasses - 1);
}

double shareOfOthers(float all, float own, float allAttempts, float ownAttempts)
{
    const float attempts = allAttempts - ownAttempts;
    return attempts < 1 ? 0 : std::clamp<double>((all - own) / attempts, 0, 1);
}

// One test for a raised share of errors, against what the other targets show.
struct ErrorTest {
    double healthyShare;
    double faultyShare;
    ErrorTestSteps usual = errorTestSteps(healthyShare, faultyShare);

    ErrorTestSteps stepsAgainst(double othersShare) const
    {
        const double healthy = std::min(OthersShareTolerance * othersShare, MaxHealthyShare);
        if (healthy <= healthyShare) {
            return usual;
        }
        return errorTestSteps(healthy,
                              std::min(MaxFaultyShare, std::max(faultyShare, MinFaultyToHealthyRatio * healthy)));
    }
};

const ErrorTest ManyErrors { HealthyErrorShare, ManyErrorsShare };
const ErrorTest SomeErrors { HealthyErrorShare, SomeErrorsShare };
const ErrorTest WrongResponses { HealthyWrongResponsesShare, WrongResponsesShare };

} // namespace internal

std::size_t LatencyHistogram::bucketOf(Duration latency)
{
    const double ratio = toSeconds(latency) / internal::FirstBucketSeconds;
    if (ratio <= 1) {
        return 0;
    }
    const auto result = static_cast<std::size_t>(internal::BucketsPerDoubling * std::log2(ratio));
    return std::min(result, BucketCount - 1);
}

Duration LatencyHistogram::bucketMidpoint(std::size_t bucket)
{
    const double exponent = (static_cast<double>(bucket) + 0.5) / internal::BucketsPerDoubling;
    return fromSeconds(internal::FirstBucketSeconds * std::exp2(exponent));
}

void LatencyHistogram::add(std::size_t bucket)
{
    m_weights[bucket] += 1;
    m_total += 1;
}

void LatencyHistogram::decay(float factor)
{
    if (m_total <= 0) {
        return;
    }
    // The total is added up again, since rounding errors would otherwise part it from the weights.
    m_total = 0;
    for (float &weight : m_weights) {
        weight *= factor;
        m_total += weight;
    }
}

float LatencyHistogram::total() const
{
    return m_total;
}

float LatencyHistogram::below(std::size_t bucket) const
{
    float result = 0;
    for (std::size_t index = 0; index < bucket; ++index) {
        result += m_weights[index];
    }
    return result + m_weights[bucket] / 2;
}

Duration LatencyHistogram::quantile(double rank) const
{
    if (m_total <= 0) {
        return Duration {};
    }
    const double targetWeight = rank * static_cast<double>(m_total);
    double sum = 0;
    std::size_t index = 0;
    while (index + 1 < BucketCount && sum + static_cast<double>(m_weights[index]) < targetWeight) {
        sum += static_cast<double>(m_weights[index]);
        ++index;
    }
    return bucketMidpoint(index);
}

void SequentialTest::add(double logLikelihoodRatio, double limit)
{
    m_value = std::clamp(m_value + logLikelihoodRatio, 0.0, limit);
}

void SequentialTest::reset()
{
    m_value = 0;
}

double SequentialTest::value() const
{
    return m_value;
}

ErrorTestSteps errorTestSteps(double healthyShare, double faultyShare)
{
    return { std::log((1 - faultyShare) / (1 - healthyShare)), std::log(faultyShare / healthyShare) };
}

double latencyTestStep(double rank, double exponent)
{
    const double boundedRank = std::max(rank, 1e-3);
    const double step = std::log(exponent) + (exponent - 1) * std::log(boundedRank);
    return std::max(step, internal::MinSlowStep);
}

Detector::Detector(double limit)
    : m_limit(limit)
{
}

void Detector::addTarget()
{
    m_targets.push_back(std::make_unique<Target>());
    updateSteps(*m_targets.back());
}

void Detector::removeTarget(TargetIndex target)
{
    m_targets[target].reset();
}

void Detector::observe(const Attempt &attempt, Instant now, bool useLatency)
{
    if (attempt.result == AttemptResult::Shed) {
        return;
    }
    Target &target = *m_targets[attempt.target];
    const std::size_t route = internal::routeClass(attempt.route);
    const bool success = attempt.result == AttemptResult::Success;
    const bool cancelled = attempt.result == AttemptResult::Cancelled;
    if (!cancelled) {
        target.lastResponse = now;
        target.counts.attempts += 1;
        m_counts.attempts += 1;
        target.decayedAttempts += 1;
        observeErrors(target, attempt.result);
    }
    if ((success || cancelled) && useLatency) {
        observeLatency(target, route, attempt.latency, success);
    }
    target.lastEvidence = now;
}

void Detector::observeErrors(Target &target, AttemptResult result)
{
    const bool error = internal::isError(result);
    const bool wrong = internal::isWrongResponse(result);
    target.manyErrors.add(error ? target.manyErrorsSteps.error : target.manyErrorsSteps.success, m_limit);
    target.someErrors.add(error ? target.someErrorsSteps.error : target.someErrorsSteps.success, m_limit);
    target.wrongResponses.add(wrong ? target.wrongResponseSteps.error : target.wrongResponseSteps.success, m_limit);
    target.counts.errors += error ? 1 : 0;
    target.counts.wrongResponses += wrong ? 1 : 0;
    m_counts.errors += error ? 1 : 0;
    m_counts.wrongResponses += wrong ? 1 : 0;
}

void Detector::observeLatency(Target &target, std::size_t route, Duration latency, bool success)
{
    const double rank = rankOf(target, route, latency);
    const auto add = [&](SequentialTest &test, double exponent) {
        const double step = latencyTestStep(rank, exponent);
        // A cancelled request would have taken longer than the time it got: it may raise suspicion, never lower it.
        if (success || step > 0) {
            test.add(step, m_limit);
        }
    };
    add(target.slow[route], internal::SlowExponent);
    add(target.verySlow[route], internal::VerySlowExponent);
    if (!success) {
        return;
    }
    const std::size_t bucket = LatencyHistogram::bucketOf(latency);
    target.latency[route].add(bucket);
    m_latency[route].add(bucket);
    m_allRoutes.add(bucket);
    const double seconds = toSeconds(latency);
    const double gain = target.meanLatency == 0 ? 1 : internal::MeanLatencyGain;
    target.meanLatency += gain * (seconds - target.meanLatency);
    m_meanLatency += (m_meanLatency == 0 ? 1 : internal::MeanLatencyGain / 4) * (seconds - m_meanLatency);
}

void Detector::observeOutstanding(TargetIndex index, Duration oldestAge, std::uint32_t waiting, Instant now)
{
    Target &target = *m_targets[index];
    // One long download among quick answers is no hang: only the time without any answer counts.
    const Duration timeWithoutResponse = std::min(oldestAge, now - target.lastResponse);
    if (waiting == 0 || timeWithoutResponse <= Duration::zero()) {
        target.waiting = 0;
        return;
    }
    const double oldest = -std::log(survivalShare(timeWithoutResponse));
    const double others = -std::log(survivalShare(timeWithoutResponse / 2));
    target.waiting = std::min(m_limit, oldest + (waiting - 1) * others);
    target.lastEvidence = now;
}

void Detector::tick(Instant now)
{
    if (now - m_decayedAt >= internal::DecayInterval) {
        decay();
        m_decayedAt = now;
    }
    for (const auto &target : m_targets) {
        if (target) {
            updateSteps(*target);
            target->decayedAttempts *= internal::RecentAttemptsDecay;
        }
    }
}

double Detector::suspicion(TargetIndex index) const
{
    const Target &target = *m_targets[index];
    double result = std::max({ target.manyErrors.value(), target.someErrors.value(), target.wrongResponses.value() });
    for (std::size_t route = 0; route < RouteClasses; ++route) {
        result = std::max({ result, target.slow[route].value(), target.verySlow[route].value() });
    }
    return std::min(m_limit, result + target.waiting);
}

double Detector::latencyStep(const Attempt &attempt) const
{
    const double rank = rankOf(*m_targets[attempt.target], internal::routeClass(attempt.route), attempt.latency);
    return latencyTestStep(rank, internal::SlowExponent);
}

double Detector::recentAttempts(TargetIndex target) const
{
    return m_targets[target]->decayedAttempts;
}

Instant Detector::lastEvidence(TargetIndex target) const
{
    return m_targets[target]->lastEvidence;
}

Duration Detector::expectedLatency(TargetIndex target) const
{
    const double own = m_targets[target]->meanLatency;
    return fromSeconds(own > 0 ? own : m_meanLatency);
}

void Detector::reset(TargetIndex index)
{
    Target &target = *m_targets[index];
    for (std::size_t route = 0; route < RouteClasses; ++route) {
        target.slow[route].reset();
        target.verySlow[route].reset();
    }
    target.manyErrors.reset();
    target.someErrors.reset();
    target.wrongResponses.reset();
    target.waiting = 0;
    target.meanLatency = 0;
}

void Detector::rebaseline()
{
    for (TargetIndex index = 0; index < m_targets.size(); ++index) {
        if (!m_targets[index]) {
            continue;
        }
        reset(index);
        for (LatencyHistogram &histogram : m_targets[index]->latency) {
            histogram.decay(internal::RebaselineFactor);
        }
    }
    for (LatencyHistogram &histogram : m_latency) {
        histogram.decay(internal::RebaselineFactor);
    }
    m_allRoutes.decay(internal::RebaselineFactor);
}

// Returns the share of the other targets' recent latencies on this route below `latency`; a half when there are too
// few, and for a latency that no test should learn from.
double Detector::rankOf(const Target &target, std::size_t route, Duration latency) const
{
    constexpr double Typical = 0.5;
    const float others = m_latency[route].total() - target.latency[route].total();
    if (others < internal::MinReferenceSamples) {
        return Typical;
    }
    const auto tolerated = fromSeconds(toSeconds(latency) / internal::LatencyTolerance);
    const std::size_t bucket = LatencyHistogram::bucketOf(tolerated);
    const float below = m_latency[route].below(bucket) - target.latency[route].below(bucket);
    return std::clamp<double>(below / others, 0, 1);
}

// Returns the share of the service's requests that take longer than `age`, carried on beyond the longest one known.
double Detector::survivalShare(Duration age) const
{
    const float total = m_allRoutes.total();
    if (total < internal::MinReferenceSamples) {
        return 1;
    }
    const auto tolerated = fromSeconds(toSeconds(age) / internal::LatencyTolerance);
    const float above = total - m_allRoutes.below(LatencyHistogram::bucketOf(tolerated));
    const double floor = 1 / static_cast<double>(total);
    if (above / total > floor) {
        return above / total;
    }
    const double longest = toSeconds(m_allRoutes.quantile(1 - floor));
    const double beyond = std::max(1.0, toSeconds(tolerated) / longest);
    return std::max(std::exp(-internal::MaxWaitingEvidence), floor * std::pow(beyond, -internal::TailExponent));
}

void Detector::updateSteps(Target &target) const
{
    const Counts &all = m_counts;
    const Counts &own = target.counts;
    const double errors = internal::shareOfOthers(all.errors, own.errors, all.attempts, own.attempts);
    const double wrong = internal::shareOfOthers(all.wrongResponses, own.wrongResponses, all.attempts, own.attempts);
    target.manyErrorsSteps = internal::ManyErrors.stepsAgainst(errors);
    target.someErrorsSteps = internal::SomeErrors.stepsAgainst(errors);
    target.wrongResponseSteps = internal::WrongResponses.stepsAgainst(wrong);
}

void Detector::decay()
{
    // Half of what is known is newer than about four seconds, so that a wave of load moves the reference along with
    // the targets. A service with little traffic keeps its past longer: too few latencies make ranks coarse.
    const auto factorFor = [](float total) {
        return total > internal::LowTrafficSamples ? internal::DecayFactor : internal::LowTrafficDecayFactor;
    };
    const float countsFactor = factorFor(m_counts.attempts);
    m_counts = {};
    for (std::size_t route = 0; route < RouteClasses; ++route) {
        const float factor = factorFor(m_latency[route].total());
        m_latency[route].decay(factor);
        for (const auto &target : m_targets) {
            if (target) {
                target->latency[route].decay(factor);
            }
        }
    }
    m_allRoutes.decay(internal::TailDecayFactor);
    for (const auto &target : m_targets) {
        if (!target) {
            continue;
        }
        Counts &counts = target->counts;
        counts.attempts *= countsFactor;
        counts.errors *= countsFactor;
        counts.wrongResponses *= countsFactor;
        m_counts.attempts += counts.attempts;
        m_counts.errors += counts.errors;
        m_counts.wrongResponses += counts.wrongResponses;
        // Without new answers the target is thought of as an average one again, so that it gets the chance to show.
        target->meanLatency += internal::MeanLatencyReversion * (m_meanLatency - target->meanLatency);
    }
}

} // namespace mulberryplank
