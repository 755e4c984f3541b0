#include "mulberryplank/policy/forwardplan.h"

#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Instant Deadline { Seconds(1'003) };

HostRoute routeOf(RouteKind kind, std::uint32_t maxAttempts)
{
    HostRoute route;
    route.kind = kind;
    route.maxAttempts = maxAttempts;
    return route;
}

constexpr std::array FailedResults { AttemptResult::ServerError, AttemptResult::Shed,    AttemptResult::ConnectFailed,
                                     AttemptResult::Timeout,     AttemptResult::Reset,   AttemptResult::Truncated,
                                     AttemptResult::Mismatched,  AttemptResult::Stalled, AttemptResult::Cancelled };

} // namespace

TEST_GROUP(ForwardPlan) {};

TEST(ForwardPlan, nonIdempotentRequestIsNotSentAgainAfterAReset)
{
    const HostRoute route = routeOf(RouteKind::NonIdempotent, 3);
    ForwardPlan plan(route, Deadline);
    plan.onStarted();
    plan.onSending();
    plan.onFailed(AttemptResult::Reset, true);
    CHECK_FALSE(plan.mayStart(Start));
    CHECK_TRUE(plan.finalError(false) == ErrorKind::TargetReset);
    CHECK_TRUE(plan.outcome() == Outcome::Unknown);
}

TEST(ForwardPlan, nonIdempotentRequestIsSentAgainAfterAShed)
{
    const HostRoute route = routeOf(RouteKind::NonIdempotent, 2);
    ForwardPlan plan(route, Deadline);
    plan.onStarted();
    plan.onSending();
    plan.onFailed(AttemptResult::Shed, true);
    CHECK_TRUE(plan.mayStart(Start));
    CHECK_TRUE(plan.finalError(false) == ErrorKind::TargetShed);
}

TEST(ForwardPlan, nothingStartsAfterTheDeadline)
{
    const HostRoute route = routeOf(RouteKind::Idempotent, 3);
    const ForwardPlan plan(route, Deadline);
    CHECK_FALSE(plan.mayStart(Deadline));
    CHECK_TRUE(plan.finalError(true) == ErrorKind::DeadlineBeforeStart);
}

TEST(ForwardPlan, guaranteesHoldForEveryOrderOfResults)
{
    CHECK_TRUE(rc::check("at most once, at most the allowed number of times, correct outcome", [] {
        const auto kind = *rc::gen::element(RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::LargeResponse);
        const HostRoute route = routeOf(kind, *rc::gen::inRange<std::uint32_t>(1, 4));
        ForwardPlan plan(route, Deadline);
        std::uint32_t mayHaveRun = 0;
        std::vector<bool> running; // whether the attempt has sent bytes
        for (int step = 0; step < 30; ++step) {
            if (*rc::gen::inRange(0, 2) == 0 && plan.mayStart(Start)) {
                const bool sends = *rc::gen::arbitrary<bool>();
                plan.onStarted();
                if (sends) {
                    plan.onSending();
                    ++mayHaveRun;
                }
                running.push_back(sends);
            } else if (!running.empty()) {
                const bool sent = running.back();
                running.pop_back();
                const AttemptResult result = *rc::gen::elementOf(FailedResults);
                plan.onFailed(result, sent);
                mayHaveRun -= sent && result == AttemptResult::Shed ? 1 : 0;
            }
            RC_ASSERT(mayHaveRun <= route.maxAttempts);
            RC_ASSERT(isIdempotent(kind) || mayHaveRun <= 1);
            RC_ASSERT((plan.outcome() == Outcome::NotRun) == (mayHaveRun == 0));
            const ErrorInfo &info = errorInfo(plan.finalError(false));
            RC_ASSERT(mayHaveRun == 0 || (info.status != 503 && info.status != 429));
        }
    }));
}

TEST(ForwardPlan, nextAttemptIsLastWhenNoOtherMayFollow)
{
    const HostRoute route = routeOf(RouteKind::Idempotent, 2);
    ForwardPlan plan(route, Deadline);
    CHECK_FALSE(plan.nextAttemptIsLast());
    plan.onStarted();
    plan.onSending();
    CHECK_TRUE(plan.nextAttemptIsLast());
    plan.onFailed(AttemptResult::Shed, true);
    CHECK_FALSE(plan.nextAttemptIsLast());
}
