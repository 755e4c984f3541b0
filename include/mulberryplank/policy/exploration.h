#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// A target that no process has used for a while, as the request that may test it sees it.
struct TrialCandidate {
    std::size_t index = 0; // of the caller
    double faultProbability = 0;
    bool hasResponded = false; // to the last request that it is known to have received
    Duration unusedFor {};

    // Returns true if it is believed to be faulty and hasn't responded since it last failed.
    bool isDoubtful() const;
};

// Number of requests that were sent to a target because it was unused.
struct TrialCounts {
    std::uint64_t doubtful = 0; // the target was doubtful
    std::uint64_t others = 0;
};

// Decides which idempotent requests test targets that no process has used for a while, and which of these they test. A
// target that is believed to be faulty is doubtful; a request to another unused target is expected to succeed.
//
// A doubtful target is due once it has been unused for a time that suffices to notice its recovery before it counts as
// non-faulty, or soon after if the service has many targets. While the service loses requests or is short of capacity,
// it is due as soon as any other unused target is: a recovered target is then worth more than the requests that the
// other trials cost.
//
// Trials are bounded by a share of the idempotent requests, and are made by first attempts that can be repeated. A
// trial by one process counts for all, if they are told of it. Among doubtful targets that are due, those are tested
// first that are the likeliest to have recovered, and before them those that have waited for long beyond that time.
//
// Thread-compatible.
class Exploration
{
public:
    // Records that an attempt was sent to a target. `isFirst` is false if the request was sent to one before.
    // `mayTest` is true for first attempts that may be repeated.
    void recordAttempt(bool idempotent, bool isFirst, bool mayTest, Instant now);

    // Records that an attempt failed, for any reason.
    void recordFailure(bool idempotent, Instant now);

    // Sets the number of targets that requests may use, and the expected share of the slots at non-faulty ones that is
    // in use, which may exceed 1.
    void setService(std::size_t targets, double utilization);

    // Returns the estimated share of the service's recent requests at this process that failed with their last attempt.
    double lostShare(Instant now) const;

    // Returns true if this process has had requests that may test targets within the last seconds.
    bool hasTestRequests(Instant now) const;

    // Returns how long the candidate may be unused before it is due for a request.
    Duration dueAfter(const TrialCandidate &candidate) const;

    // Returns how long it may be unused before requests that are lost with their attempt test it as well. While there
    // are no others, this is as soon as it is due for any request.
    Duration overdueAfter(const TrialCandidate &candidate, Instant now) const;

    // Returns the index of the candidate that a request should test, or nothing if it should test none. Candidates that
    // aren't due are passed over.
    std::optional<std::size_t> choose(const std::vector<TrialCandidate> &candidates, std::mt19937_64 &random);

    // Returns how often choose() has returned a candidate.
    const TrialCounts &counts() const;

private:
    // A count of which the older part loses its weight.
    struct DecayingCount {
        double value = 0; // at `at`
        Instant at {};

        double count(Instant now) const;
        void add(Instant now);
    };
    struct Requests {
        DecayingCount first; // first attempts
        DecayingCount repeated; // further attempts
        DecayingCount failed; // attempts that failed
    };

    static double lost(const Requests &requests, Instant now);
    double urgency() const;

    Requests m_idempotent;
    Requests m_nonIdempotent;
    DecayingCount m_testRequests;
    TrialCounts m_counts;
    double m_lossUrgency = 0; // as of the last attempt
    double m_targets = 0;
    double m_utilization = 0;
};

} // namespace mulberryplank
