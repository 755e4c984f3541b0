#include "mulberryplank/policy/domainshares.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Tick = Millis(500);
const FailureDomain A("a");
const FailureDomain B("b");
const FailureDomain C("c");

std::map<FailureDomain, DomainLoad> loads(const std::vector<DomainLoad> &all)
{
    std::map<FailureDomain, DomainLoad> result;
    for (const DomainLoad &load : all) {
        result[load.domain] = load;
    }
    return result;
}

double shareOf(const std::vector<DomainLoad> &all, double previous = 0)
{
    return agreedShare(loads(all), A, previous, Tick).share;
}

} // namespace

TEST_GROUP(DomainShares) {};

TEST(DomainShares, demandWithinTheBoundStays)
{
    DOUBLES_EQUAL(0, shareOf({ { A, 80, 100 }, { B, 10, 100 } }), 0);
}

TEST(DomainShares, excessLeavesBySpareCapacity)
{
    const AgreedShare share = agreedShare(loads({ { A, 100, 100 }, { B, 45, 100 }, { C, 65, 100 } }), A, 0, Tick);
    DOUBLES_EQUAL(0.15, share.share, 1e-9);
    DOUBLES_EQUAL(0.75, share.weights.at(B), 1e-9);
    DOUBLES_EQUAL(0.25, share.weights.at(C), 1e-9);
}

TEST(DomainShares, domainsWithAnExcessDivideTheSpareCapacity)
{
    const std::vector<DomainLoad> all { { A, 185, 100 }, { B, 135, 100 }, { C, 45, 100 } };
    DOUBLES_EQUAL(20.0 / 185, shareOf(all), 1e-9);
    DOUBLES_EQUAL(10.0 / 135, agreedShare(loads(all), B, 0, Tick).share, 1e-9);
}

TEST(DomainShares, nothingLeavesWhileAllDomainsAreFull)
{
    DOUBLES_EQUAL(0, shareOf({ { A, 200, 100 }, { B, 76, 100 } }, 0.5), 0);
}

TEST(DomainShares, domainWithoutCapacitySendsAllThatOthersCanTake)
{
    DOUBLES_EQUAL(1, shareOf({ { A, 20, 0 }, { B, 10, 100 } }), 1e-9);
}

// Guards against a demand around the bound that starts and stops the share with each report.
TEST(DomainShares, shareStartsBeyondTheBoundButThenFollowsIt)
{
    const std::vector<DomainLoad> all { { A, 88, 100 }, { B, 10, 100 } };
    DOUBLES_EQUAL(0, shareOf(all), 0);
    DOUBLES_EQUAL(3.0 / 88, shareOf(all, 0.01), 1e-9);
}

TEST(DomainShares, shareGrowsAtOnceAndFallsSlowly)
{
    DOUBLES_EQUAL(0.575, shareOf({ { A, 200, 100 }, { B, 0, 1'000 } }, 0.1), 1e-9);
    const double falling = shareOf({ { A, 50, 100 }, { B, 0, 1'000 } }, 0.5);
    CHECK_TRUE(falling > 0.4 && falling < 0.5);
}

// Guards against a falling share that overloads the domain it is sent to.
TEST(DomainShares, fallingShareEndsWithTheSpareCapacityOfOthers)
{
    DOUBLES_EQUAL(0.1, shareOf({ { A, 50, 100 }, { B, 70, 100 } }, 0.5), 1e-9);
}

TEST(DomainShares, domainWithoutReportsHasNoShare)
{
    DOUBLES_EQUAL(0, shareOf({ { B, 10, 100 } }, 0.5), 0);
}

// Guards against agreed shares that overload a domain while others have started none.
TEST(DomainShares, noDomainIsOverloadedByNewShares)
{
    CHECK_TRUE(rc::check("shares and capacity", [] {
        std::vector<DomainLoad> all;
        const int domains = *rc::gen::inRange(2, 7);
        for (int index = 0; index < domains; ++index) {
            all.push_back({ FailureDomain("d" + std::to_string(index)),
                            static_cast<double>(*rc::gen::inRange(0, 300)),
                            static_cast<double>(*rc::gen::inRange(0, 300)) });
        }
        std::map<FailureDomain, double> received;
        for (const DomainLoad &load : all) {
            const AgreedShare share = agreedShare(loads(all), load.domain, 0, Tick);
            RC_ASSERT(share.share >= 0 && share.share <= 1);
            for (const auto &[domain, weight] : share.weights) {
                received[domain] += load.demand * share.share * weight;
            }
        }
        for (const DomainLoad &load : all) {
            RC_ASSERT(received[load.domain] <= 1e-9 || load.demand + received[load.domain] <= load.capacity);
        }
    }));
}

TEST(DomainShares, urgentAndSmallRequestsLeaveFirst)
{
    const std::vector<double> shares = routeShares({ { 1, 900, 40 }, { 0, 900, 10 }, { 1, 400, 50 } }, 0.35);
    DOUBLES_EQUAL(0, shares[0], 1e-9);
    DOUBLES_EQUAL(1, shares[1], 1e-9);
    DOUBLES_EQUAL(0.5, shares[2], 1e-9);
}

TEST(DomainShares, demandIsTheSumAndCapacityTheMeanOfTheReports)
{
    DomainShares shares;
    shares.note(1, { A, 10, 90 }, Start);
    shares.note(2, { A, 20, 110 }, Start);
    shares.note(2, { A, 30, 110 }, Start); // replaces the one before
    const DomainLoad load = shares.loads(Start).at(A);
    DOUBLES_EQUAL(40, load.demand, 1e-9);
    DOUBLES_EQUAL(100, load.capacity, 1e-9);
}

// Guards against shares for a domain whose gateways were all killed, or are cut off.
TEST(DomainShares, oldReportsDoNotCount)
{
    DomainShares shares;
    shares.note(1, { A, 200, 100 }, Start);
    shares.note(2, { B, 0, 1'000 }, Start);
    shares.update(A, Start);
    CHECK_TRUE(shares.share().share > 0.5);
    shares.note(1, { A, 200, 100 }, Start + Millis(2'100));
    shares.update(A, Start + Millis(2'100));
    DOUBLES_EQUAL(0, shares.share().share, 0);
    CHECK_FALSE(shares.hasOtherReports(1, Start + Millis(2'100)));
}

// Guards against a share that ends because a few messages were lost.
TEST(DomainShares, threeLostMessagesDoNotChangeAShare)
{
    DomainShares shares;
    shares.note(2, { B, 0, 1'000 }, Start);
    for (int tick = 0; tick <= 4; ++tick) {
        shares.note(1, { A, 200, 100 }, Start + Tick * tick);
        shares.update(A, Start + Tick * tick);
        DOUBLES_EQUAL(0.575, shares.share().share, 1e-9);
    }
}

TEST(DomainShares, processesOfADomainComputeTheSameShare)
{
    DomainShares one;
    DomainShares other;
    for (DomainShares *shares : { &one, &other }) {
        shares->note(1, { A, 120, 100 }, Start);
        shares->note(2, { A, 80, 96 }, Start);
        shares->note(3, { B, 10, 200 }, Start);
        shares->update(A, Start);
    }
    DOUBLES_EQUAL(one.share().share, other.share().share, 0);
    CHECK_TRUE(one.share().share > 0);
}
