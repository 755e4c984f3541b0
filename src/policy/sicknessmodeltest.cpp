#include "mulberryplank/policy/sicknessmodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(SicknessModel)
{
    SicknessModel model;
    const Instant now = Instant {} + Seconds(100);
};

TEST(SicknessModel, AFaultSaysMoreThanARefusal)
{
    SicknessBelief fault;
    SicknessBelief refusal;
    CHECK(model.learn(fault, AttemptResult::Reset, now));
    CHECK(model.learn(refusal, AttemptResult::Shed, now));
    CHECK(model.beliefOf(fault, now) > 0.8);
    CHECK(model.beliefOf(refusal, now) < 0.3);
}

TEST(SicknessModel, ACancelledAttemptSaysNothing)
{
    SicknessBelief belief;
    CHECK_FALSE(model.learn(belief, AttemptResult::Cancelled, now));
    CHECK(belief.value < 0);
}

TEST(SicknessModel, OldEvidenceGivesWayToTheServicesShare)
{
    SicknessBelief belief;
    model.learn(belief, AttemptResult::Reset, now);
    const double unknown = model.beliefOf(SicknessBelief {}, now);
    DOUBLES_EQUAL(unknown, model.beliefOf(belief, now + Seconds(60)), 0.001);
}

// The risk is weighed against times and compared between targets, so it has to stay a probability whatever happens.
TEST(SicknessModel, TheBeliefStaysAProbability)
{
    CHECK(rc::check([this] {
        SicknessModel any;
        SicknessBelief belief;
        Instant time = now;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000))) {
            time += Millis(step);
            any.learn(belief, static_cast<AttemptResult>(step % 10), time);
            any.followMean(any.beliefOf(belief, time));
            const double risk = any.failureRisk(belief, time);
            RC_ASSERT(risk > 0 && risk < 1);
        }
    }));
}
