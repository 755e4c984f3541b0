#include "mulberryplank/net/crashdetector.h"

#include <CppUTest/TestHarness.h>

#include "mulberryplank/net/clock.h"
#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

// A target that has reset a request's connection and refuses new ones.
TEST_GROUP(CrashDetector)
{
    Worker worker { TargetPool::Settings {} };
    int crashes = 0;
    int refused = 0;
    CrashDetector detector { worker,
                             {},
                             [](RequestFingerprint) {
                                 return false;
                             },
                             [this](const CrashReport &) {
                                 ++crashes;
                             },
                             [](Event, std::initializer_list<EventField>) {} };

    // Returns after the detector has decided.
    void loseAttempt(bool pathLost)
    {
        ScriptedTarget target;
        LostAttempt attempt;
        attempt.target = TargetName("t");
        attempt.endpoint = { HostNumber, target.port() };
        attempt.sentAt = Clock::now();
        attempt.isLeaving = [] {
            return false;
        };
        attempt.hasAttemptFromBefore = [](Instant) {
            return false;
        };
        attempt.noteRefused = [this] {
            ++refused;
        };
        attempt.isPathLost = [pathLost] {
            return pathLost;
        };
        target.close();
        detector.attemptLost(attempt);
        const Instant end = Clock::now() + WaitLimit;
        while (detector.pendingChecks() > 0 && Clock::now() < end) {
            worker.context.run_one_for(Millis(50));
        }
        CHECK_EQUAL(0, detector.pendingChecks());
    }
};

TEST(CrashDetector, targetThatRefusesConnectionsHasCrashed)
{
    loseAttempt(false);
    CHECK_EQUAL(1, crashes);
}

// Guards against requests that are blamed for crashes when a gateway loses its path to all targets.
TEST(CrashDetector, targetsBehindALostPathHaveNotCrashed)
{
    loseAttempt(true);
    CHECK_EQUAL(1, refused);
    CHECK_EQUAL(0, crashes);
}
