#include "mulberryplank/policy/weightedsplit.h"

#include <cmath>
#include <map>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

HostRoute splitRoute(const std::vector<std::uint32_t> &weights)
{
    HostRoute route;
    route.name = "split";
    for (std::size_t index = 0; index < weights.size(); ++index) {
        route.services.push_back({ ServiceName("service-" + std::to_string(index)), weights[index] });
    }
    return route;
}

} // namespace

TEST_GROUP(WeightedSplit) {};

TEST(WeightedSplit, eachServiceStaysNearItsShareAfterAnyNumberOfRequests)
{
    CHECK_TRUE(rc::check("low discrepancy", [](std::uint64_t seed) {
        const auto weights =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(1, 100)));
        const HostRoute route = splitRoute(weights);
        WeightedSplit split(seed);
        std::map<ServiceName, double> counts;
        double total = 0;
        for (const std::uint32_t weight : weights) {
            total += weight;
        }
        const auto requests = *rc::gen::inRange(1, 300);
        for (int request = 0; request < requests; ++request) {
            ++counts[split.next(route)];
        }
        for (const WeightedService &part : route.services) {
            const double expected = requests * part.weight / total;
            RC_ASSERT(std::abs(counts[part.service] - expected) <= static_cast<double>(weights.size()) + 1);
        }
    }));
}

TEST(WeightedSplit, changedWeightsTakeEffectAtOnce)
{
    WeightedSplit split(1);
    const HostRoute before = splitRoute({ 100, 1 });
    for (int request = 0; request < 10; ++request) {
        split.next(before);
    }
    const HostRoute after = splitRoute({ 1, 1 });
    int first = 0;
    for (int request = 0; request < 100; ++request) {
        first += split.next(after).value() == "service-0" ? 1 : 0;
    }
    CHECK_TRUE(first >= 48 && first <= 52);
}
