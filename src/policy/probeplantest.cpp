#include "mulberryplank/policy/probeplan.h"

#include <rapidcheck.h>

// Last: it makes `new` a macro, which other headers don't bear.
#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(ProbePlan) {};

TEST(ProbePlan, staysWithinTheLoadShareForAnyNumberOfProxies)
{
    CHECK_TRUE(rc::check("load", [](bool disagree) {
        const ProbePlanSettings settings;
        const ProbePlan plan(settings);
        const int count = *rc::gen::element(1, 2, 6, 32, 6'600);
        std::vector<PeerId> assignedProxies;
        for (int index = 0; index < count; ++index) {
            assignedProxies.push_back({ VmName { std::to_string(index) }, 1 });
        }
        const std::size_t probers = plan.probers(assignedProxies, 7, disagree).size();
        RC_ASSERT(probers == (disagree && count > 1 ? 2U : 1U));
        const double busy = static_cast<double>(probers) * toSeconds(settings.cost) / toSeconds(plan.interval(probers));
        RC_ASSERT(busy / settings.slotsPerTarget < settings.loadShare);
    }));
}

TEST(ProbePlan, keepsTheProberWhenAnotherAssignedProxyLeaves)
{
    CHECK_TRUE(rc::check("stable", [](TargetId target, std::uint8_t count) {
        const ProbePlan plan({});
        std::vector<PeerId> assignedProxies;
        for (int index = 0; index < 2 + count; ++index) {
            assignedProxies.push_back({ VmName { std::to_string(index) }, 1 });
        }
        const PeerId prober = plan.probers(assignedProxies, target, false).front();
        assignedProxies.erase(assignedProxies.begin() + (assignedProxies.front() == prober ? 1 : 0));
        RC_ASSERT(plan.probers(assignedProxies, target, false).front() == prober);
    }));
}
