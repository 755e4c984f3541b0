#include "mulberryplank/policy/targetchooser.h"

#include <algorithm>

#include <rapidcheck.h>

// Last: it makes `new` a macro, which other headers don't bear.
#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

TargetView healthyTarget(TargetIndex index)
{
    TargetView view;
    view.index = index;
    view.expectedLatency = Millis { 30 };
    return view;
}

rc::Gen<TargetView> anyTarget()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 5), rc::gen::inRange(0, 5)),
                        [](const std::tuple<int, int, int> &draw) {
                            TargetView view = healthyTarget(0);
                            view.phase = static_cast<TargetPhase>(std::get<0>(draw));
                            const bool out = view.phase == TargetPhase::Ejected || view.phase == TargetPhase::Trial
                                             || view.phase == TargetPhase::Draining;
                            view.weight = out ? 0 : 0.25 * std::get<1>(draw);
                            view.inFlight = static_cast<std::uint32_t>(std::get<1>(draw));
                            view.limit = static_cast<std::uint32_t>(std::get<2>(draw));
                            return view;
                        });
}

} // namespace

TEST_GROUP(TargetChooser) {};

TEST(TargetChooser, choosesOnlyTargetsThatMayAcceptTheRequest)
{
    CHECK_TRUE(rc::check("allowed", [](std::uint32_t seed, bool idempotent) {
        auto targets = *rc::gen::container<std::vector<TargetView>>(anyTarget());
        for (TargetIndex index = 0; index < targets.size(); ++index) {
            targets[index].index = index;
        }
        std::mt19937_64 random(seed);
        const ChooseRequest request { idempotent, FailureDomain {}, { seed % 3 } };
        const auto chosen = choose(targets, request, random);
        if (!chosen) {
            return;
        }
        const TargetView &target = targets.at(*chosen);
        RC_ASSERT(*chosen != seed % 3);
        RC_ASSERT(target.phase != TargetPhase::Ejected && target.phase != TargetPhase::Draining);
        RC_ASSERT(target.inFlight < target.limit);
        RC_ASSERT(target.phase != TargetPhase::Trial || (idempotent && target.inFlight == 0));
    }));
}

TEST(TargetChooser, usesASuspectedTargetInFullWhenNoOtherHasCapacity)
{
    std::vector<TargetView> targets { healthyTarget(0), healthyTarget(1) };
    targets[0].inFlight = targets[0].limit;
    targets[1].phase = TargetPhase::Suspected;
    targets[1].weight = 0.05;
    std::mt19937_64 random(1);
    CHECK_TRUE(choose(targets, {}, random) == TargetIndex { 1 });
}

TEST(TargetChooser, ignoresAReportedLoadBelowItsOwn)
{
    std::vector<TargetView> targets { healthyTarget(0), healthyTarget(1) };
    targets[0].inFlight = 3;
    targets[0].reportedInFlight = 0;
    targets[1].inFlight = 1;
    std::mt19937_64 random(1);
    CHECK_TRUE(choose(targets, {}, random) == TargetIndex { 1 });
}
