#include "mulberryplank/policy/limitholders.h"

#include <cmath>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

std::string vmName(int number)
{
    return "vm-" + std::to_string(number);
}

Member member(int number, MemberStatus status = MemberStatus::Alive)
{
    Member member;
    member.vm = VmName(vmName(number));
    member.incarnation = static_cast<Incarnation>(number) + 1;
    member.peer = { "10.0.0." + std::to_string(number + 1), 7'000 };
    member.status = status;
    return member;
}

std::vector<Member> members(int count)
{
    std::vector<Member> all;
    for (int number = 0; number < count; ++number) {
        all.push_back(member(number));
    }
    return all;
}

ClientAccount account(const std::string &name, double perSecond)
{
    ClientAccount account;
    account.name = AccountName(name);
    account.limit = { perSecond, perSecond };
    return account;
}

// Calls update() for as long as processes run with the same members.
Instant keepUpdating(LimitHolders &holders,
                     const std::vector<Member> &ingress,
                     const std::vector<Member> &all,
                     Instant from,
                     Duration span)
{
    Instant now = from;
    for (; now <= from + span; now += Millis(500)) {
        holders.update(ingress, all, now);
    }
    return now - Millis(500);
}

LimitHolders holdersOf(int number)
{
    return LimitHolders(VmName(vmName(number)), {});
}

} // namespace

TEST_GROUP(LimitHolders) {};

TEST(LimitHolders, partsOfAllProcessesAddUpToTheLimit)
{
    for (const double perSecond : { 0.5, 3.0, 9.0, 1'000.0 }) {
        double sum = 0;
        for (int number = 0; number < 6; ++number) {
            LimitHolders holders = holdersOf(number);
            const Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(10));
            sum += holders.share(account("press", perSecond), now).part;
        }
        DOUBLES_EQUAL(1, sum, 1e-9);
    }
}

// Guards against parts of a limit that are too small for any process to run a request.
TEST(LimitHolders, smallLimitsHaveOneHolder)
{
    int count = 0;
    for (int number = 0; number < 6; ++number) {
        LimitHolders holders = holdersOf(number);
        const Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(10));
        count += holders.share(account("press", 1), now).part > 0 ? 1 : 0;
    }
    CHECK_EQUAL(1, count);
}

TEST(LimitHolders, onlyProcessHasWholeLimits)
{
    LimitHolders holders = holdersOf(0);
    const Instant now = keepUpdating(holders, members(1), members(1), Start, Seconds(10));
    DOUBLES_EQUAL(1, holders.share(account("press", 100), now).part, 1e-9);
}

TEST(LimitHolders, processWithoutCallersHasNoPartAndAsksTheHolders)
{
    LimitHolders holders = holdersOf(9);
    const Instant now = keepUpdating(holders, members(6), members(10), Start, Seconds(10));
    const AllowanceShare share = holders.share(account("press", 100), now);
    DOUBLES_EQUAL(0, share.part, 0);
    CHECK_EQUAL(6, share.lenders.size());
}

TEST(LimitHolders, newHolderUsesHalfOfItsPartAtFirst)
{
    LimitHolders holders = holdersOf(7);
    Instant now = keepUpdating(holders, members(6), members(8), Start, Seconds(20));
    holders.update(members(8), members(8), now);
    AllowanceShare share = holders.share(account("press", 100), now);
    DOUBLES_EQUAL(0.5 / 8, share.part, 1e-9);
    CHECK_TRUE(share.isNew);
    DOUBLES_EQUAL(0, share.initialRequests, 1e-9);
    now = keepUpdating(holders, members(8), members(8), now, Seconds(10));
    share = holders.share(account("press", 100), now);
    DOUBLES_EQUAL(1.0 / 8, share.part, 1e-9);
    CHECK_FALSE(share.isNew);
}

// Guards against accounts that are refused for seconds after all gateways were lost.
TEST(LimitHolders, startedProcessMayUseWhatNobodyUsedDuringItsStart)
{
    LimitHolders holders = holdersOf(0);
    holders.update(members(1), members(1), Start);
    DOUBLES_EQUAL(1.0 / 8, holders.share(account("press", 120), Start).part, 1e-9);
    DOUBLES_EQUAL(0.5 * 120 / 8, holders.share(account("press", 120), Start).initialRequests, 1e-9);
    CHECK_FALSE(holders.share(account("press", 120), Start).lends);
    Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(1));
    DOUBLES_EQUAL(1.5 * 120 / 8, holders.share(account("press", 120), now).initialRequests, 1e-9);
    now = keepUpdating(holders, members(6), members(6), now, Seconds(5));
    DOUBLES_EQUAL(1.0 / 6, holders.share(account("press", 120), now).part, 1e-9);
    CHECK_TRUE(holders.share(account("press", 120), now).lends);
}

// Guards against a gateway that uses whole limits because it is cut off from all others.
TEST(LimitHolders, processThatIsCutOffKeepsItsPartOnly)
{
    LimitHolders holders = holdersOf(0);
    Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(20));
    std::vector<Member> all = members(6);
    for (std::size_t other = 1; other < all.size(); ++other) {
        all[other].status = MemberStatus::Dead;
    }
    now = keepUpdating(holders, members(1), all, now, Seconds(30));
    CHECK_TRUE(holders.share(account("press", 100), now).part <= 1.0 / 6 + 1e-9);
}

// Guards against limits that are lost for good with the processes that held them.
TEST(LimitHolders, partsOfDeadProcessesReturn)
{
    LimitHolders holders = holdersOf(0);
    Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(20));
    now = keepUpdating(holders, members(2), members(2), now, Seconds(90));
    DOUBLES_EQUAL(0.5, holders.share(account("press", 100), now).part, 1e-9);
}

// Guards against gateways that disagree on the holders because they took others for ingress proxies while the fleet
// started, which left accounts with small limits without a holder.
TEST(LimitHolders, processThatWasTakenForAnIngressProxyWhileJoiningHasNoPart)
{
    LimitHolders holders = holdersOf(9);
    Instant now = keepUpdating(holders, { member(9) }, { member(9) }, Start, Seconds(9));
    now = keepUpdating(holders, members(6), members(10), now + Millis(500), Seconds(1));
    DOUBLES_EQUAL(0, holders.share(account("press", 100), now).part, 0);
}

TEST(LimitHolders, formerIngressProxyKeepsItsPartForAWhile)
{
    LimitHolders holders = holdersOf(0);
    Instant now = keepUpdating(holders, members(6), members(8), Start, Seconds(20));
    std::vector<Member> others = members(7);
    others.erase(others.begin());
    now = keepUpdating(holders, others, members(8), now, Seconds(10));
    DOUBLES_EQUAL(1.0 / 7, holders.share(account("press", 100), now).part, 1e-9);
    now = keepUpdating(holders, others, members(8), now, Seconds(40));
    DOUBLES_EQUAL(0, holders.share(account("press", 100), now).part, 0);
}

TEST(LimitHolders, revisionChangesWithTheShare)
{
    LimitHolders holders = holdersOf(0);
    Instant now = keepUpdating(holders, members(6), members(6), Start, Seconds(30));
    const std::uint64_t revision = holders.revision();
    now = keepUpdating(holders, members(6), members(6), now, Seconds(5));
    CHECK_EQUAL(revision, holders.revision());
    std::vector<Member> all = members(6);
    all[3].status = MemberStatus::Dead;
    holders.update(members(6), all, now);
    CHECK_TRUE(revision != holders.revision());
}
