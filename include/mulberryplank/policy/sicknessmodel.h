#pragma once

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// How likely something that was seen of a target is if the target is healthy, and if it is sick.
struct SicknessEvidence {
    double ifHealthy = 1;
    double ifSick = 1;

    // Returns the logarithm of what the odds of sickness are multiplied by.
    double logRatio() const;
};

// How likely a target is thought to be sick.
struct SicknessBelief {
    double value = -1; // at `at`; below 0: nothing is known of the target
    Instant at {};
};

// A model of targets that turn sick and well by themselves: each answer or failure is weighed, by Bayes' rule, by how
// likely it is from a sick target and from a healthy one; between answers the belief drifts towards the share of the
// service's targets that are sick at the time. An attempt that goes on without an answer is evidence as well, by the
// part of healthy targets' answers that take as long. Not synchronized.
class SicknessModel
{
public:
    SicknessModel();

    // Returns the likelihood that a target with that belief is sick now.
    double beliefOf(const SicknessBelief &belief, Instant now) const;

    // Returns the likelihood that an attempt fails at a target that is sick with the likelihood `belief`.
    static double failureRisk(double belief);

    // Returns what an attempt's end says by itself. A cancelled attempt says nothing.
    static SicknessEvidence evidenceOf(AttemptResult result);

    // Returns what an attempt without an answer says, where `survival` of healthy targets' answers take longer.
    static SicknessEvidence evidenceOfSilence(double survival);

    // Takes evidence into the belief: the sum of the logarithms of what the odds of sickness are multiplied by.
    void learn(SicknessBelief &belief, double logRatio, Instant now) const;

    // Returns what beliefOf() would be after that evidence.
    double beliefAfter(const SicknessBelief &belief, double logRatio, Instant now) const;

    // Tells the model the mean belief over the service's targets, which its share of sick targets follows slowly.
    void followMean(double meanBelief);

private:
    double m_sickShare; // of the targets, as estimated
};

} // namespace mulberryplank
