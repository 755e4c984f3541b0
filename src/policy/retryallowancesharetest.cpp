#include "mulberryplank/policy/retryallowanceshare.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr std::size_t IngressProxies = 6;
constexpr RetryAllowanceShareSettings Settings { 60, Seconds(10) };

} // namespace

TEST_GROUP(RetryAllowanceShare) {};

TEST(RetryAllowanceShare, AnEntryOfLongStandingHasItsShare)
{
    RetryAllowanceShare share(Settings);
    share.update(IngressProxies, true, Start);
    DOUBLES_EQUAL(10, share.fixedAllowance(Start + Seconds(10)), 1e-9);
}

TEST(RetryAllowanceShare, WhoIsNoEntryHasNone)
{
    RetryAllowanceShare share(Settings);
    share.update(IngressProxies, true, Start);
    share.update(IngressProxies, false, Start + Seconds(20));
    DOUBLES_EQUAL(0, share.fixedAllowance(Start + Seconds(20)), 1e-9);
}

// Failure: a service gets more extra attempts within ten seconds than its budget allows, after all power was lost.
TEST(RetryAllowanceShare, WhatHasJustStartedTakesATenthOfItsShareUntilAWindowHasPassed)
{
    RetryAllowanceShare share(Settings);
    share.update(1, true, Start);
    DOUBLES_EQUAL(0, share.fixedAllowance(Start), 1e-9);
    share.update(IngressProxies, true, Start + Seconds(1));
    DOUBLES_EQUAL(1, share.fixedAllowance(Start + Seconds(2)), 1e-9);
    DOUBLES_EQUAL(1, share.fixedAllowance(Start + Millis(9'999)), 1e-9);
    DOUBLES_EQUAL(10, share.fixedAllowance(Start + Seconds(10)), 1e-9);
}

// Failure: the fleet exceeds its budget while one VM is cut off from the others.
TEST(RetryAllowanceShare, EntriesThatAreNoLongerSeenKeepTheirSharesForAMinute)
{
    RetryAllowanceShare share(Settings);
    share.update(IngressProxies, true, Start);
    const Instant cut = Start + Seconds(30);
    share.update(1, true, cut);
    DOUBLES_EQUAL(10, share.fixedAllowance(cut), 1e-9);
    Instant now = cut;
    while (now < cut + Seconds(60)) {
        now += Seconds(5);
        share.update(1, true, now);
    }
    DOUBLES_EQUAL(60, share.fixedAllowance(now), 1e-9);
}
