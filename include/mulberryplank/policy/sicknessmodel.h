#pragma once

#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// How likely a target is thought to be sick.
struct SicknessBelief {
    double value = -1; // at `at`; below 0: nothing is known of the target
    Instant at {};
};

// A model of targets that turn sick and well by themselves: each answer or failure is weighed, by Bayes' rule, by how
// likely it is from a sick target and from a healthy one; between answers the belief drifts towards the share of the
// service's targets that are sick at the time. Not synchronized.
class SicknessModel
{
public:
    SicknessModel();

    // Returns the likelihood that a target with that belief is sick now.
    double beliefOf(const SicknessBelief &belief, Instant now) const;

    // Returns the likelihood that an attempt fails at it.
    double failureRisk(const SicknessBelief &belief, Instant now) const;

    // Takes an attempt's end into the belief. Returns false if such an end says nothing about the target.
    bool learn(SicknessBelief &belief, AttemptResult result, Instant now) const;

    // Tells the model the mean belief over the service's targets, which its share of sick targets follows slowly.
    void followMean(double meanBelief);

private:
    double m_sickShare; // of the targets, as estimated
};

} // namespace mulberryplank
