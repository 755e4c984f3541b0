#pragma once

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// The likelihoods of an observation if the target is healthy and if it is faulty.
struct FaultEvidence {
    double ifHealthy = 1;
    double ifFaulty = 1;

    // Returns the log likelihood ratio: the logarithm of the factor by which the odds of a fault change.
    double logRatio() const;
};

// The estimated probability that a target is faulty.
struct FaultEstimate {
    double value = -1; // at `at`; below 0 if nothing is known about the target
    Instant at {};
};

// A model of targets that become faulty and recover by themselves. Each response or failure updates the fault
// probability by Bayes' rule, from its likelihood at a faulty and at a healthy target. Between responses the
// probability drifts towards the current share of faulty targets of the service. An attempt without a response is
// evidence as well, weighed by the share of healthy targets' responses that take as long. Thread-compatible.
class FaultModel
{
public:
    FaultModel();

    // Returns the probability that a target with that estimate is faulty at `now`.
    double faultProbabilityOf(const FaultEstimate &estimate, Instant now) const;

    // Returns the probability that an attempt fails at a target that is faulty with the probability `estimate`.
    static double failureRisk(double estimate);

    // Returns the evidence in an attempt's result. A cancelled attempt is no evidence.
    static FaultEvidence evidenceOf(AttemptResult result);

    // Returns the evidence in an attempt without a response so far, where `survival` is the share of healthy targets'
    // responses that take longer.
    static FaultEvidence evidenceOfNoResponse(double survival);

    // Updates the estimate with evidence, given as a sum of log likelihood ratios.
    void updateEstimate(FaultEstimate &estimate, double logRatio, Instant now) const;

    // Returns the fault probability after that evidence, without changing the estimate.
    double probabilityAfter(const FaultEstimate &estimate, double logRatio, Instant now) const;

    // Moves the share of faulty targets slowly towards the mean fault probability of the service's targets.
    void updateFaultyShare(double meanProbability);

private:
    double m_faultyShare; // estimated share of the targets that are faulty
};

} // namespace mulberryplank
