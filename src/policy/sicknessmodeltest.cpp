#include "mulberryplank/policy/sicknessmodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(SicknessModel)
{
    SicknessModel model;
    const Instant now = Instant {} + Seconds(100);

    static void learn(const SicknessModel &by, SicknessBelief &belief, AttemptResult result, Instant at)
    {
        by.learn(belief, SicknessModel::evidenceOf(result).logRatio(), at);
    }
};

TEST(SicknessModel, AFaultSaysMoreThanARefusal)
{
    SicknessBelief fault;
    SicknessBelief refusal;
    learn(model, fault, AttemptResult::Reset, now);
    learn(model, refusal, AttemptResult::Shed, now);
    CHECK(model.beliefOf(fault, now) > 0.8);
    CHECK(model.beliefOf(refusal, now) < 0.3);
}

TEST(SicknessModel, ACancelledAttemptSaysNothing)
{
    DOUBLES_EQUAL(0, SicknessModel::evidenceOf(AttemptResult::Cancelled).logRatio(), 1e-12);
}

TEST(SicknessModel, OldEvidenceGivesWayToTheServicesShare)
{
    SicknessBelief belief;
    learn(model, belief, AttemptResult::Reset, now);
    const double unknown = model.beliefOf(SicknessBelief {}, now);
    DOUBLES_EQUAL(unknown, model.beliefOf(belief, now + Seconds(60)), 0.001);
}

TEST(SicknessModel, SilenceSaysMoreTheFewerHealthyAnswersTakeAsLong)
{
    SicknessBelief usual;
    SicknessBelief rare;
    model.learn(usual, SicknessModel::evidenceOfSilence(0.5).logRatio(), now);
    model.learn(rare, SicknessModel::evidenceOfSilence(0.02).logRatio(), now);
    CHECK(model.beliefOf(usual, now) < 0.15);
    CHECK(model.beliefOf(rare, now) > 0.7);
}

TEST(SicknessModel, AnAnswerTakesBackWhatItsSilenceSaid)
{
    SicknessBelief belief;
    SicknessBelief answered;
    const double silence = SicknessModel::evidenceOfSilence(0.05).logRatio();
    const double answer = SicknessModel::evidenceOf(AttemptResult::Success).logRatio();
    model.learn(belief, silence, now);
    model.learn(belief, answer - silence, now);
    model.learn(answered, answer, now);
    DOUBLES_EQUAL(model.beliefOf(answered, now), model.beliefOf(belief, now), 1e-9);
}

// The risk is weighed against times and compared between targets, so it must always be a probability.
TEST(SicknessModel, TheBeliefStaysAProbability)
{
    CHECK(rc::check([this] {
        SicknessModel any;
        SicknessBelief belief;
        Instant time = now;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000))) {
            time += Millis(step);
            learn(any, belief, static_cast<AttemptResult>(step % 10), time);
            any.followMean(any.beliefOf(belief, time));
            const double risk = SicknessModel::failureRisk(any.beliefOf(belief, time));
            RC_ASSERT(risk > 0 && risk < 1);
        }
    }));
}
