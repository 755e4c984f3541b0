#include "mulberryplank/policy/slackshare.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr std::size_t Entries = 6;
constexpr SlackShareSettings Settings { 60, Seconds(10) };

} // namespace

TEST_GROUP(SlackShare) {};

TEST(SlackShare, AnEntryOfLongStandingHasItsShare)
{
    SlackShare share(Settings);
    share.follow(Entries, true, Start);
    DOUBLES_EQUAL(10, share.slack(Start + Seconds(10)), 1e-9);
}

TEST(SlackShare, WhoIsNoEntryHasNone)
{
    SlackShare share(Settings);
    share.follow(Entries, true, Start);
    share.follow(Entries, false, Start + Seconds(20));
    DOUBLES_EQUAL(0, share.slack(Start + Seconds(20)), 1e-9);
}

// Failure: a service gets more extra attempts within ten seconds than its budget allows, after all power was lost.
TEST(SlackShare, WhatHasJustStartedTakesATenthOfItsShareUntilAWindowHasPassed)
{
    SlackShare share(Settings);
    share.follow(1, true, Start);
    DOUBLES_EQUAL(0, share.slack(Start), 1e-9);
    share.follow(Entries, true, Start + Seconds(1));
    DOUBLES_EQUAL(1, share.slack(Start + Seconds(2)), 1e-9);
    DOUBLES_EQUAL(1, share.slack(Start + Millis(9'999)), 1e-9);
    DOUBLES_EQUAL(10, share.slack(Start + Seconds(10)), 1e-9);
}

// Failure: the fleet exceeds its budget while one VM is cut off from the others.
TEST(SlackShare, EntriesThatAreNoLongerSeenKeepTheirSharesForAMinute)
{
    SlackShare share(Settings);
    share.follow(Entries, true, Start);
    const Instant cut = Start + Seconds(30);
    share.follow(1, true, cut);
    DOUBLES_EQUAL(10, share.slack(cut), 1e-9);
    Instant now = cut;
    while (now < cut + Seconds(60)) {
        now += Seconds(5);
        share.follow(1, true, now);
    }
    DOUBLES_EQUAL(60, share.slack(now), 1e-9);
}
