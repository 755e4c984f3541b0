#include "mulberryplank/policy/ratelimitshare.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

// Returns members in three failure domains.
std::vector<Member> proxies(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t index = 0; index < count; ++index) {
        Member member;
        member.incarnation = index + 1;
        member.vm = VmName("vm-" + std::to_string(index));
        member.failureDomain = FailureDomain("domain-" + std::to_string(index % 3));
        member.status = MemberStatus::Alive;
        members.push_back(member);
    }
    return members;
}

AnnouncedTarget target(const std::string &id)
{
    AnnouncedTarget result;
    result.id = TargetName(id);
    result.failureDomain = FailureDomain("domain-1");
    return result;
}

// Returns the shares of all processes: the ingress proxies first, then the others.
std::vector<RateLimitShare> sharesOf(const std::string &id,
                                     double perSecond,
                                     std::size_t ingress,
                                     std::size_t processes)
{
    std::vector<RateLimitShare> shares;
    for (std::size_t index = 0; index < processes; ++index) {
        shares.push_back(rateLimitShare(target(id), perSecond, { proxies(ingress), processes, index + 1 }));
    }
    return shares;
}

std::size_t holdersOf(const std::vector<RateLimitShare> &shares)
{
    return static_cast<std::size_t>(std::count_if(shares.begin(), shares.end(), [](const RateLimitShare &share) {
        return share.isHolder;
    }));
}

} // namespace

TEST_GROUP(RateLimitShare) {};

TEST(RateLimitShare, holdersShareTheWholeLimit)
{
    for (const std::size_t ingress : { 1, 6, 32 }) {
        for (const double perSecond : { 0.0, 0.01, 1.0, 3.7, 50.0 }) {
            double sum = 0;
            for (const RateLimitShare &share : sharesOf("i-1", perSecond, ingress, 32)) {
                sum += share.isHolder ? share.part : 0;
            }
            DOUBLES_EQUAL(1, sum, 1e-9);
        }
    }
}

TEST(RateLimitShare, aboutOneProcessHasItsTurnAtAnyTime)
{
    CHECK_TRUE(sharesOf("i-1", 1, 6, 6).back().turnInterval == Seconds(5));
    CHECK_TRUE(sharesOf("i-1", 1, 6, 33).back().turnInterval == Seconds(32));
}

TEST(RateLimitShare, limitBelowOneRequestPerSecondHasOneHolder)
{
    for (int index = 0; index < 20; ++index) {
        CHECK_EQUAL(1, holdersOf(sharesOf("i-" + std::to_string(index), 0.02, 6, 32)));
    }
}

TEST(RateLimitShare, eachHolderMaySendOneRequestPerSecond)
{
    CHECK_EQUAL(3, holdersOf(sharesOf("i-1", 3.7, 6, 32)));
    CHECK_EQUAL(6, holdersOf(sharesOf("i-1", 50, 6, 32)));
}

TEST(RateLimitShare, holdersAreInTheFailureDomainOfTheTarget)
{
    const std::vector<Member> members = proxies(6);
    const std::vector<RateLimitShare> shares = sharesOf("i-1", 2, 6, 6);
    for (std::size_t index = 0; index < members.size(); ++index) {
        CHECK_EQUAL(members[index].failureDomain.value() == "domain-1", shares[index].isHolder);
    }
}

TEST(RateLimitShare, manyTargetsHaveDifferentHolders)
{
    std::vector<int> held(6);
    for (int index = 0; index < 60; ++index) {
        const std::vector<RateLimitShare> shares = sharesOf("i-" + std::to_string(index), 1, 6, 6);
        for (std::size_t process = 0; process < shares.size(); ++process) {
            held[process] += shares[process].isHolder ? 1 : 0;
        }
    }
    CHECK_TRUE(held[1] > 15);
    CHECK_TRUE(held[4] > 15);
    CHECK_EQUAL(60, held[1] + held[4]);
}

TEST(RateLimitShare, processWithoutAFleetUsesTheWholeLimit)
{
    const RateLimitShare share = rateLimitShare(target("i-1"), 0.5, {});
    CHECK_TRUE(share.isHolder);
    DOUBLES_EQUAL(1, share.part, 0);
}
