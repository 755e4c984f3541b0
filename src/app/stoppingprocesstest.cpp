// Processes that are told to stop.
#include <atomic>

#include "processtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::processtest;

TEST_GROUP(StoppingProcess)
{
    std::atomic<int> repeatedStops { 0 };
    std::atomic<bool> finished { false };

    EventSink countStops()
    {
        return [this](Event event, std::initializer_list<EventField>) {
            repeatedStops += event == Event::StopRepeated ? 1 : 0;
            finished = finished || event == Event::DrainFinished;
        };
    }
};

// Guards against requests that get no response because their process is told twice to stop.
TEST(StoppingProcess, aSecondSigtermDoesNotEndAGateway)
{
    const RunningGateway gateway(freeEndpoint(), countStops());
    pathtest::Peer caller(gateway.settings().caller); // keeps the drain from finishing
    std::raise(SIGTERM);
    awaitStatus(gateway.settings().ready, platform::ReadyPath, 503);
    std::raise(SIGTERM);
    const auto until = Clock::now() + StatusWaitLimit;
    while (repeatedStops == 0 && !finished) {
        CHECK_TRUE(Clock::now() < until);
        std::this_thread::yield();
    }
    CHECK_FALSE(finished);
    LONGS_EQUAL(503, request(gateway.settings().ready, platform::ReadyPath).status);
}
