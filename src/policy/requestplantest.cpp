#include "mulberryplank/policy/requestplan.h"

#include <algorithm>
#include <map>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines new, so it comes last

using namespace mulberryplank;

namespace
{

constexpr TargetIndex Targets = 4;
constexpr const char *OwnId = "own";
constexpr const char *OtherId = "other-0";

const Instant Begin = Instant(std::chrono::hours(1));

// Returns a random number from `first` to below `end`. Always uses the whole range, which RapidCheck narrows in its
// first runs otherwise.
template<typename Number = int>
Number randomNumber(Number first, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(first, end));
}

// State of one attempt in the network and at its target.
struct FakeAttempt {
    TargetIndex target = 0;
    std::optional<ResumeRequest> resume;
    bool targetSelected = false;
    bool sent = false;
    bool shed = false; // the target rejected it and will never run it
    bool ran = false;
    bool cancelled = false;
    bool headerSent = false;
    BodyHeader header;
    std::string body; // body that the target sends after the header
    std::size_t position = 0;
    bool forAnotherRequest = false; // the response belongs to another request
};

// Simulates a caller, the plan, and targets. According to a random schedule, targets run, shed, mix up, truncate,
// repeat and delay requests and responses. The targets have two versions of one resource, each with its own entity tag.
class RequestSimulation
{
public:
    RequestSimulation(RequestPlanSettings settings, int tokens)
        : m_idempotent(settings.idempotent)
        , m_tokens(tokens)
        , m_initialTokens(tokens)
        , m_deadline(settings.deadline.at())
        , m_plan(std::move(settings), [this] {
            return m_tokens > 0 && m_tokens-- > 0;
        })
    {
        perform(m_plan.start());
    }

    void run()
    {
        constexpr int MaxEvents = 200;
        for (int event = 0; event < MaxEvents && !m_plan.done(); ++event) {
            runEvent();
        }
        m_now = std::max(m_now, m_deadline);
        perform(m_plan.onTimer(m_now));
        RC_ASSERT(m_plan.done());
        // Bytes in flight still arrive, whatever response the proxy has sent in the meantime.
        for (auto &[number, attempt] : m_attempts) {
            runRequest(attempt);
        }
        check();
    }

private:
    void runEvent()
    {
        const auto number = randomNumber<AttemptNumber>(0, m_plan.attempts());
        FakeAttempt &attempt = m_attempts[number];
        switch (randomNumber(0, 12)) {
        case 0:
        case 1:
        case 2:
            advance(number, attempt);
            break;
        case 3:
        case 4:
        case 5:
            sendBody(number, attempt);
            break;
        case 6:
            failConnection(number, attempt);
            break;
        case 7:
            perform(m_plan.onBodyEnd(number, m_now));
            break;
        case 8:
            perform(m_plan.onTargetDraining(number, m_now));
            break;
        case 9:
            runRequest(attempt);
            break;
        case 10:
            if (randomNumber(0, 10) == 0) {
                perform(m_plan.onCallerDisconnected());
                m_callerGone = true;
            }
            break;
        default:
            m_now += Millis(randomNumber(0, 400));
            perform(m_plan.onTimer(m_now));
        }
    }

    // Performs the next step of the attempt: selects a target, sends the request, or responds with a header, possibly
    // late or a second time.
    void advance(AttemptNumber number, FakeAttempt &attempt)
    {
        if (!attempt.targetSelected) {
            selectTarget(number, attempt);
        } else if (!attempt.sent) {
            send(number, attempt);
        } else {
            respond(number, attempt);
        }
    }

    void selectTarget(AttemptNumber number, FakeAttempt &attempt)
    {
        if (randomNumber(0, 10) == 0) {
            perform(m_plan.onNoTarget(number, ErrorKind::NoTarget, 0));
            return;
        }
        attempt.targetSelected = true;
        m_plan.onTargetSelected(number, attempt.target, *rc::gen::arbitrary<bool>(), m_now);
    }

    void send(AttemptNumber number, FakeAttempt &attempt)
    {
        if (!m_plan.onSending(number)) {
            return;
        }
        RC_ASSERT(!attempt.cancelled);
        attempt.sent = true;
        attempt.shed = randomNumber(0, 4) == 0;
    }

    void runRequest(FakeAttempt &attempt)
    {
        if (attempt.sent && !attempt.shed && !attempt.ran) {
            attempt.ran = true;
            ++m_runs;
        }
    }

    void respond(AttemptNumber number, FakeAttempt &attempt)
    {
        if (!attempt.headerSent) {
            attempt.headerSent = true;
            attempt.forAnotherRequest = randomNumber(0, 8) == 0;
            chooseResponse(attempt);
        }
        if (!attempt.shed) {
            runRequest(attempt);
        }
        ResponseSummary header;
        header.body = attempt.header;
        if (!attempt.forAnotherRequest) {
            header.requestId = m_plan.attemptRequestId(number);
        } else if (randomNumber(0, 1) == 0) {
            header.requestId = OtherId;
        }
        header.notRun = attempt.shed || attempt.forAnotherRequest;
        perform(m_plan.onHeader(number, header, m_now));
    }

    void chooseResponse(FakeAttempt &attempt)
    {
        const bool newer = randomNumber(0, 5) == 0;
        const std::string whole =
            attempt.forAnotherRequest ? "not yours, not yours" : (newer ? m_newVersion : m_oldVersion);
        attempt.body = whole;
        attempt.header.etag = newer ? "\"new\"" : "\"old\"";
        attempt.header.status = attempt.shed ? 503 : (randomNumber(0, 8) == 0 ? 500 : 200);
        if (attempt.resume && attempt.header.status == 200 && randomNumber(0, 6) != 0) {
            respondWithRange(attempt, whole);
        }
        attempt.header.length = attempt.body.size();
        if (!attempt.resume && randomNumber(0, 6) == 0) {
            attempt.header.framing = BodyFraming::UntilClose;
        }
    }

    // Responds with the requested range, sometimes starting at the wrong byte.
    void respondWithRange(FakeAttempt &attempt, const std::string &whole)
    {
        const std::string &requested = attempt.resume->range;
        std::size_t first = std::stoul(requested.substr(std::string("bytes=").size()));
        if (randomNumber(0, 5) == 0) {
            first = first > 0 ? first - 1 : first + 1;
        }
        attempt.header.status = 206;
        attempt.body = whole.substr(std::min(first, whole.size() - 1));
        const std::size_t last = whole.size() - 1;
        attempt.header.contentRange =
            "bytes " + std::to_string(first) + "-" + std::to_string(last) + "/" + std::to_string(whole.size());
    }

    void sendBody(AttemptNumber number, FakeAttempt &attempt)
    {
        if (!attempt.headerSent) {
            return;
        }
        // The last byte may be followed by one that doesn't belong to the body.
        const std::string sent = attempt.body + "!";
        const std::size_t bytes = randomNumber<std::size_t>(0, sent.size() - attempt.position + 1);
        const std::string piece = sent.substr(attempt.position, bytes);
        attempt.position += bytes;
        const std::uint64_t accepted = m_plan.onBody(number, bytes);
        RC_ASSERT(accepted <= bytes);
        m_received += piece.substr(0, accepted);
        perform(m_plan.onForwarded(number, m_now));
    }

    void failConnection(AttemptNumber number, FakeAttempt &attempt)
    {
        if (attempt.targetSelected) {
            const AttemptResult result = attempt.sent ? AttemptResult::Reset : AttemptResult::ConnectFailed;
            perform(m_plan.onFailed(number, result, m_now));
        }
    }

    void perform(const Steps &steps)
    {
        for (const Step &step : steps) {
            RC_ASSERT(!m_finalStep);
            perform(step);
        }
    }

    void perform(const Step &step)
    {
        switch (step.kind) {
        case StepKind::Start:
            startAttempt(step);
            break;
        case StepKind::Cancel:
            m_attempts.at(step.attempt).cancelled = true;
            break;
        case StepKind::ForwardHeader:
            RC_ASSERT(!m_forwarded);
            m_forwarded = m_attempts.at(step.attempt);
            break;
        case StepKind::ContinueBody:
            RC_ASSERT(m_forwarded.has_value());
            break;
        case StepKind::Finish:
        case StepKind::AbortCaller:
            RC_ASSERT(m_forwarded.has_value());
            m_finalStep = step;
            break;
        case StepKind::Respond:
            RC_ASSERT(!m_forwarded);
            m_finalStep = step;
            break;
        }
    }

    void startAttempt(const Step &step)
    {
        FakeAttempt &attempt = m_attempts[step.attempt];
        attempt.resume = step.resume;
        attempt.target = step.sameTarget.value_or(step.attempt % Targets);
    }

    void check() const
    {
        RC_ASSERT(m_callerGone || m_finalStep.has_value());
        if (!m_idempotent) {
            RC_ASSERT(m_runs <= 1);
        }
        // One reconnection and the first attempt need no token. Each other attempt takes one, or was moved before a
        // byte was sent.
        const int paid = m_initialTokens - m_tokens;
        RC_ASSERT(!m_idempotent || static_cast<int>(sentAttempts()) <= paid + 2);
        if (m_forwarded) {
            RC_ASSERT(m_forwarded->body.starts_with(m_received));
            RC_ASSERT(m_forwarded->header.framing != BodyFraming::UntilClose);
        }
        if (!m_finalStep) {
            return;
        }
        if (m_finalStep->kind == StepKind::Finish) {
            RC_ASSERT(!m_forwarded->forAnotherRequest);
            RC_ASSERT(m_received == m_forwarded->body);
        } else if (m_finalStep->outcome == Outcome::NotRun) {
            RC_ASSERT(m_runs == 0);
        } else {
            RC_ASSERT(m_finalStep->outcome == Outcome::Unknown);
            RC_ASSERT(errorInfo(m_finalStep->error).outcome == Outcome::Unknown);
            RC_ASSERT(!m_finalStep->repeatIsSafe || m_idempotent);
        }
    }

    std::size_t sentAttempts() const
    {
        return std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &entry) {
            return entry.second.sent;
        });
    }

    const std::string m_oldVersion = "0123456789abcdefghij";
    const std::string m_newVersion = "ZYXWVUTSRQPONMLKJIHG";
    bool m_idempotent;
    int m_tokens;
    int m_initialTokens;
    Instant m_deadline;
    RequestPlan m_plan;
    Instant m_now = Begin;
    std::map<AttemptNumber, FakeAttempt> m_attempts;
    std::optional<FakeAttempt> m_forwarded;
    std::optional<Step> m_finalStep;
    std::string m_received;
    int m_runs = 0;
    bool m_callerGone = false;
};

RequestPlanSettings settingsFor(bool idempotent)
{
    RequestPlanSettings settings { .requestId = OwnId, .deadline = Deadline(Begin, Seconds(5)) };
    settings.idempotent = idempotent;
    settings.resumable = idempotent;
    settings.progressTimeout = Millis(500);
    return settings;
}

bool alwaysSpend()
{
    return true;
}

} // namespace

TEST_GROUP(RequestPlan) {};

// Guards against a request that runs twice, a caller that gets a partial response or another request's response, and an
// incorrect outcome NotRun.
TEST(RequestPlan, guaranteesHoldForEveryScheduleOfFaults)
{
    CHECK_TRUE(rc::check("guarantees hold", [] {
        constexpr int SchedulesPerCase = 50;
        for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
            RequestPlanSettings settings = settingsFor(*rc::gen::arbitrary<bool>());
            if (*rc::gen::arbitrary<bool>()) {
                settings.hedgeDelay = Millis(randomNumber(1, 300));
            }
            settings.seed = randomNumber<std::uint32_t>(1, 1'000);
            RequestSimulation simulation(settings, randomNumber(0, 6));
            simulation.run();
        }
    }));
}

// Guards against a non-idempotent request, such as the booking of a print run, that runs twice.
TEST(RequestPlan, nonIdempotentRequestIsNotSentAgainAfterReset)
{
    RequestPlan plan(settingsFor(false), alwaysSpend);
    plan.start();
    plan.onTargetSelected(0, 1, true, Begin);
    CHECK_TRUE(plan.onSending(0));
    const Steps steps = plan.onFailed(0, AttemptResult::Reset, Begin);
    CHECK_EQUAL(1, steps.size());
    CHECK_TRUE(steps[0].kind == StepKind::Respond);
    CHECK_TRUE(steps[0].error == ErrorKind::TargetReset);
    CHECK_TRUE(steps[0].outcome == Outcome::Unknown);
}

// Guards against failures that count against a healthy target because pooled connections became stale while idle.
TEST(RequestPlan, stalePooledConnectionIsReplacedOnceOnTheSameTarget)
{
    RequestPlan plan(settingsFor(true), [] {
        return false;
    });
    plan.start();
    plan.onTargetSelected(0, 3, true, Begin);
    CHECK_TRUE(plan.onSending(0));
    const Steps again = plan.onFailed(0, AttemptResult::Reset, Begin);
    CHECK_TRUE(again[0].kind == StepKind::Start);
    CHECK_TRUE(again[0].sameTarget == TargetIndex { 3 });
    plan.onTargetSelected(1, 3, true, Begin);
    const Steps failed = plan.onFailed(1, AttemptResult::Reset, Begin);
    CHECK_EQUAL(1, failed.size());
    CHECK_TRUE(failed[0].kind == StepKind::Respond);
}

// Guards against a request that is sent again to the target that has just shed it.
TEST(RequestPlan, shedRequestMovesToAnotherTargetAndRetryAfterIsForwarded)
{
    RequestPlanSettings settings = settingsFor(false);
    settings.maxAttempts = 2;
    RequestPlan plan(settings, alwaysSpend);
    plan.start();
    ResponseSummary shed;
    shed.body.status = 503;
    shed.notRun = true;
    shed.retryAfterSeconds = 7;
    shed.requestId = plan.attemptRequestId(0);
    plan.onTargetSelected(0, 2, false, Begin);
    CHECK_TRUE(plan.onSending(0));
    plan.onHeader(0, shed, Begin);
    CHECK_TRUE(plan.excluded() == std::vector<TargetIndex> { 2 });
    plan.onTimer(*plan.wakeAt());
    plan.onTargetSelected(1, 0, false, Begin);
    CHECK_TRUE(plan.onSending(1));
    shed.requestId = plan.attemptRequestId(1);
    const Steps last = plan.onHeader(1, shed, Begin);
    CHECK_TRUE(last.back().kind == StepKind::Respond);
    CHECK_TRUE(last.back().error == ErrorKind::TargetShed);
    CHECK_TRUE(last.back().outcome == Outcome::NotRun);
    CHECK_EQUAL(7, last.back().retryAfterSeconds);
}

// Guards against a second run after a refusal that may belong to another request.
TEST(RequestPlan, refusalWithoutAnIdDoesNotStartANonIdempotentRequestAgain)
{
    RequestPlan plan(settingsFor(false), alwaysSpend);
    plan.start();
    plan.onTargetSelected(0, 0, false, Begin);
    CHECK_TRUE(plan.onSending(0));
    ResponseSummary shed;
    shed.body.status = 503;
    shed.notRun = true;
    const Steps last = plan.onHeader(0, shed, Begin);
    CHECK_TRUE(last.back().kind == StepKind::Respond);
    CHECK_TRUE(last.back().error == ErrorKind::TargetMismatch);
    CHECK_TRUE(last.back().outcome == Outcome::Unknown);
}

// Guards against a caller that causes the ejection of healthy targets by sending deadlines of a millisecond.
TEST(RequestPlan, timeoutAtTheCallersDeadlineIsNotEvidenceAgainstTheTarget)
{
    RequestPlanSettings settings = settingsFor(false);
    settings.deadlineFromCaller = true;
    RequestPlan plan(settings, alwaysSpend);
    plan.start();
    plan.onTargetSelected(0, 0, false, Begin);
    CHECK_TRUE(plan.onSending(0));
    const Steps steps = plan.onTimer(settings.deadline.at());
    CHECK_TRUE(steps[0].kind == StepKind::Cancel);
    CHECK_TRUE(steps[0].result == AttemptResult::Cancelled);
}

// Guards against a connection that ends without a response, and against evidence of a fault that the target doesn't
// have.
TEST(RequestPlan, requestThatOutlastsTheProcessGetsAResponse)
{
    RequestPlan plan(settingsFor(false), alwaysSpend);
    plan.start();
    plan.onTargetSelected(0, 0, false, Begin);
    CHECK_TRUE(plan.onSending(0));
    const Steps steps = plan.onProcessEnds();
    CHECK_TRUE(steps.front().kind == StepKind::Cancel);
    CHECK_TRUE(steps.front().result == AttemptResult::Cancelled);
    CHECK_TRUE(steps.back().kind == StepKind::Respond);
    CHECK_TRUE(steps.back().error == ErrorKind::TargetTimeout);
    CHECK_TRUE(steps.back().outcome == Outcome::Unknown);
    CHECK_TRUE(plan.onProcessEnds().empty());
}

TEST(RequestPlan, requestThatWasNotSentWhenTheProcessEndsMayBeRepeated)
{
    RequestPlan plan(settingsFor(false), alwaysSpend);
    plan.start();
    const Steps steps = plan.onProcessEnds();
    CHECK_TRUE(steps.back().kind == StepKind::Respond);
    CHECK_TRUE(steps.back().error == ErrorKind::Draining);
    CHECK_TRUE(steps.back().outcome == Outcome::NotRun);
    CHECK_TRUE(steps.back().repeatIsSafe);
}

TEST(RequestPlan, slowCallerIsNotMistakenForStalledTarget)
{
    RequestPlan plan(settingsFor(true), alwaysSpend);
    plan.start();
    plan.onTargetSelected(0, 0, false, Begin);
    CHECK_TRUE(plan.onSending(0));
    ResponseSummary header;
    header.body.length = 10;
    header.requestId = plan.attemptRequestId(0);
    plan.onHeader(0, header, Begin);
    CHECK_EQUAL(5, plan.onBody(0, 5));
    CHECK_TRUE(plan.onTimer(Begin + Seconds(2)).empty());
    plan.onForwarded(0, Begin + Seconds(2));
    const Steps stalled = plan.onTimer(Begin + Millis(2'500));
    CHECK_TRUE(stalled[0].result == AttemptResult::Stalled);
}
