#include "mulberryplank/policy/faultmodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(FaultModel)
{
    FaultModel model;
    const Instant now = Instant {} + Seconds(100);

    static void updateEstimate(const FaultModel &by, FaultEstimate &estimate, AttemptResult result, Instant at)
    {
        by.updateEstimate(estimate, FaultModel::evidenceOf(result).logRatio(), at);
    }
};

TEST(FaultModel, AFaultIsStrongerEvidenceThanAShed)
{
    FaultEstimate fault;
    FaultEstimate shed;
    updateEstimate(model, fault, AttemptResult::Reset, now);
    updateEstimate(model, shed, AttemptResult::Shed, now);
    CHECK(model.faultProbabilityOf(fault, now) > 0.8);
    CHECK(model.faultProbabilityOf(shed, now) < 0.3);
}

TEST(FaultModel, ACancelledAttemptIsNoEvidence)
{
    DOUBLES_EQUAL(0, FaultModel::evidenceOf(AttemptResult::Cancelled).logRatio(), 1e-12);
}

TEST(FaultModel, OldEvidenceDecaysToTheServicesShare)
{
    FaultEstimate estimate;
    updateEstimate(model, estimate, AttemptResult::Reset, now);
    const double unknown = model.faultProbabilityOf(FaultEstimate {}, now);
    DOUBLES_EQUAL(unknown, model.faultProbabilityOf(estimate, now + Seconds(60)), 0.001);
}

TEST(FaultModel, NoResponseIsStrongerEvidenceTheFewerHealthyResponsesTakeAsLong)
{
    FaultEstimate usual;
    FaultEstimate rare;
    model.updateEstimate(usual, FaultModel::evidenceOfNoResponse(0.5).logRatio(), now);
    model.updateEstimate(rare, FaultModel::evidenceOfNoResponse(0.02).logRatio(), now);
    CHECK(model.faultProbabilityOf(usual, now) < 0.15);
    CHECK(model.faultProbabilityOf(rare, now) > 0.7);
}

TEST(FaultModel, AResponseReplacesTheEvidenceOfNoResponse)
{
    FaultEstimate estimate;
    FaultEstimate responded;
    const double noResponse = FaultModel::evidenceOfNoResponse(0.05).logRatio();
    const double response = FaultModel::evidenceOf(AttemptResult::Success).logRatio();
    model.updateEstimate(estimate, noResponse, now);
    model.updateEstimate(estimate, response - noResponse, now);
    model.updateEstimate(responded, response, now);
    DOUBLES_EQUAL(model.faultProbabilityOf(responded, now), model.faultProbabilityOf(estimate, now), 1e-9);
}

// The risk is weighed against times and compared between targets, so it has to stay a probability whatever happens.
TEST(FaultModel, TheRiskStaysAProbability)
{
    CHECK(rc::check([this] {
        FaultModel any;
        FaultEstimate estimate;
        Instant time = now;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000))) {
            time += Millis(step);
            updateEstimate(any, estimate, static_cast<AttemptResult>(step % 10), time);
            any.updateFaultyShare(any.faultProbabilityOf(estimate, time));
            const double risk = FaultModel::failureRisk(any.faultProbabilityOf(estimate, time));
            RC_ASSERT(risk > 0 && risk < 1);
        }
    }));
}
