#pragma once

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// How likely something that was seen of a target is if the target is healthy, and if it is sick.
struct FaultEvidence {
    double ifHealthy = 1;
    double ifFaulty = 1;

    // Returns the logarithm of what the odds of sickness are multiplied by.
    double logRatio() const;
};

// How likely a target is thought to be sick.
struct FaultEstimate {
    double value = -1; // at `at`; below 0: nothing is known of the target
    Instant at {};
};

// A model of targets that turn sick and well by themselves: each answer or failure is weighed, by Bayes' rule, by how
// likely it is from a sick target and from a healthy one; between answers the estimate drifts towards the share of the
// service's targets that are sick at the time. An attempt that goes on without an answer is evidence as well, by the
// part of healthy targets' answers that take as long. Not synchronized.
class FaultModel
{
public:
    FaultModel();

    // Returns the likelihood that a target with that estimate is sick now.
    double faultProbabilityOf(const FaultEstimate &estimate, Instant now) const;

    // Returns the likelihood that an attempt fails at a target that is sick with the likelihood `estimate`.
    static double failureRisk(double estimate);

    // Returns what an attempt's end says by itself. A cancelled attempt says nothing.
    static FaultEvidence evidenceOf(AttemptResult result);

    // Returns what an attempt without an answer says, where `survival` of healthy targets' answers take longer.
    static FaultEvidence evidenceOfNoResponse(double survival);

    // Takes evidence into the estimate: the sum of the logarithms of what the odds of sickness are multiplied by.
    void updateEstimate(FaultEstimate &estimate, double logRatio, Instant now) const;

    // Returns what faultProbabilityOf() would be after that evidence.
    double probabilityAfter(const FaultEstimate &estimate, double logRatio, Instant now) const;

    // Tells the model the mean estimate over the service's targets, which its share of sick targets follows slowly.
    void updateFaultyShare(double meanProbability);

private:
    double m_faultyShare; // of the targets, as estimated
};

} // namespace mulberryplank
