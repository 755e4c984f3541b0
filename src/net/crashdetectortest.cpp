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
    bool pathLost = false;
    bool openedSinceLoss = false;
    bool isolated = false;
    Result<TargetConnectionPtr> relayed = failure(ErrorKind::ConnectFailed, "no other gateway");
    CrashDetector detector { worker,
                             {},
                             { [](RequestFingerprint) {
                                  return false;
                              },
                               [this](const CrashReport &) {
                                   ++crashes;
                               },
                               [this] {
                                   return isolated;
                               },
                               [this](TargetName) -> DataAwaitable<Result<TargetConnectionPtr>> {
                                   co_return relayed;
                               } },
                             [](Event, std::initializer_list<EventField>) {} };

    // Returns after the detector has decided.
    void loseAttempt()
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
        attempt.isPathLost = [this] {
            return pathLost;
        };
        attempt.isNewerThanLoss = [this](Instant) {
            return openedSinceLoss;
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
    loseAttempt();
    CHECK_EQUAL(1, crashes);
    CHECK_EQUAL(1, refused);
}

// Guards against requests that are blamed for crashes when a gateway loses its path to all targets.
TEST(CrashDetector, targetThatAnotherGatewayReachesHasNotCrashed)
{
    pathLost = true;
    isolated = true;
    openedSinceLoss = true;
    relayed = TargetConnectionPtr();
    loseAttempt();
    CHECK_EQUAL(0, crashes);
}

// Guards against a request that goes on crashing all targets of a service because that looks like a lost path.
TEST(CrashDetector, targetThatNoOtherGatewayReachesHasCrashed)
{
    pathLost = true;
    isolated = true;
    relayed = failure(ErrorKind::NoTarget, "refused");
    loseAttempt();
    CHECK_EQUAL(1, crashes);
}

TEST(CrashDetector, targetOfAnIsolatedGatewayHasNotCrashedIfNoOtherGatewayCanTell)
{
    pathLost = true;
    isolated = true;
    loseAttempt();
    CHECK_EQUAL(0, crashes);
}

// Guards against the same in a fleet whose gateways all seem to have lost their paths to one service.
TEST(CrashDetector, targetHasCrashedIfNoOtherGatewayCanTellAndOtherServicesAreReached)
{
    pathLost = true;
    loseAttempt();
    CHECK_EQUAL(1, crashes);
}

// Guards against the same in a fleet whose gateways all seem to have lost all paths.
TEST(CrashDetector, targetThatHasAcceptedAConnectionSinceTheLossHasCrashed)
{
    pathLost = true;
    isolated = true;
    openedSinceLoss = true;
    loseAttempt();
    CHECK_EQUAL(1, crashes);
}
