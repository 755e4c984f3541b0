#include "mulberryplank/policy/atmostonceregistry.h"

#include <array>
#include <memory>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines new, so it is included last

using namespace mulberryplank;

namespace
{

const Instant Start = Instant(std::chrono::hours(1));
const ServiceName Tickets { "ticketdesk" };
constexpr std::uint64_t Fingerprint = 17;

int randomInt(int first, int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

// Small enough that schedules of a few hundred events reach every bound.
AtMostOnceSettings tightSettings()
{
    AtMostOnceSettings settings;
    settings.epochsValid = 2;
    settings.epochsKept = 1;
    settings.maxKeys = 6;
    settings.maxKeysPerAccount = 4;
    settings.maxResponseBytesPerAccount = 2 * StoredResponse { 200, {}, "answer 0" }.size();
    return settings;
}

// One process. Its registry is destroyed with it.
struct FakeProxy {
    Incarnation incarnation = 0;
    std::unique_ptr<AtMostOnceRegistry> registry;
};

// A key as known to its caller, and the actual outcome.
struct FakeKey {
    AccountName account;
    std::string text;
    int mayHaveRun = 0; // runs that can't be ruled out
    std::uint64_t fingerprint = 0; // of the request that ran
    std::string response; // of the run
};

struct FakeRun {
    Incarnation incarnation = 0;
    std::size_t key = 0;
};

// Simulates proxies that restart and pause, callers that repeat requests through any of them, lost forwards and
// responses, and wrong views of the membership.
class FakeFleet
{
public:
    FakeFleet()
    {
        for (FakeProxy &proxy : m_proxies) {
            restart(proxy);
        }
    }

    void runSchedule()
    {
        constexpr int Events = 150;
        for (int event = 0; event < Events; ++event) {
            runOneEvent();
            check();
        }
    }

private:
    void runOneEvent()
    {
        FakeProxy &proxy = m_proxies.at(static_cast<std::size_t>(randomInt(0, 3)));
        const int kind = randomInt(0, 20);
        if (kind < 4) {
            issueKey(proxy);
        } else if (kind < 13) {
            send(proxy);
        } else if (kind < 17) {
            finishOne();
        } else if (kind < 18) {
            restart(proxy);
        } else {
            // Pauses for up to more than the lifetime of a token.
            m_now += Seconds(randomInt(0, randomInt(0, 4) == 0 ? 400 : 40));
        }
    }

    void restart(FakeProxy &proxy)
    {
        proxy.incarnation = ++m_incarnations;
        proxy.registry =
            std::make_unique<AtMostOnceRegistry>(proxy.incarnation, m_now, tightSettings(), [](Incarnation) {
                return *rc::gen::arbitrary<bool>();
            });
    }

    void issueKey(const FakeProxy &proxy)
    {
        FakeKey key;
        key.account = AccountName(*rc::gen::arbitrary<bool>() ? "studio" : "rival");
        key.text = toString(proxy.registry->token(m_now)) + "/key" + std::to_string(randomInt(0, 3));
        for (const FakeKey &known : m_keys) {
            if (known.account == key.account && known.text == key.text) {
                return;
            }
        }
        m_keys.push_back(key);
    }

    void send(FakeProxy &proxy)
    {
        if (m_keys.empty()) {
            return;
        }
        const auto index = static_cast<std::size_t>(randomInt(0, static_cast<int>(m_keys.size())));
        const AtMostOnceDecision decision = beginAt(proxy, index, RequestSource::Caller);
        const bool forwardLost = randomInt(0, 4) == 0;
        if (decision.kind != AtMostOnceDecisionKind::ForwardTo || forwardLost) {
            return;
        }
        for (FakeProxy &owner : m_proxies) {
            if (owner.incarnation == decision.incarnation) {
                const AtMostOnceDecision there = beginAt(owner, index, RequestSource::Peer);
                RC_ASSERT(there.kind != AtMostOnceDecisionKind::ForwardTo);
            }
        }
    }

    AtMostOnceDecision beginAt(FakeProxy &proxy, std::size_t index, RequestSource source)
    {
        FakeKey &key = m_keys.at(index);
        const std::uint64_t fingerprint = randomInt(0, 10) == 0 ? Fingerprint + 1 : Fingerprint;
        AtMostOnceDecision decision = proxy.registry->begin(key.account, Tickets, key.text, fingerprint, m_now, source);
        if (decision.kind == AtMostOnceDecisionKind::Run) {
            ++key.mayHaveRun;
            key.fingerprint = fingerprint;
            m_runs.push_back({ proxy.incarnation, index });
        }
        if (decision.kind == AtMostOnceDecisionKind::Replay) {
            RC_ASSERT(fingerprint == key.fingerprint);
            RC_ASSERT(!key.response.empty());
            RC_ASSERT(decision.response->body == key.response);
        }
        if (decision.kind == AtMostOnceDecisionKind::Full) {
            RC_ASSERT(key.mayHaveRun == 0);
            RC_ASSERT(decision.retryAfter > Duration::zero());
        }
        return decision;
    }

    void finishOne()
    {
        if (m_runs.empty()) {
            return;
        }
        const auto index = static_cast<std::size_t>(randomInt(0, static_cast<int>(m_runs.size())));
        const FakeRun run = m_runs.at(index);
        m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(index));
        for (FakeProxy &proxy : m_proxies) {
            if (proxy.incarnation == run.incarnation) {
                finish(proxy, m_keys.at(run.key));
            }
        }
    }

    void finish(FakeProxy &proxy, FakeKey &key)
    {
        switch (randomInt(0, 4)) {
        case 0:
            --key.mayHaveRun;
            proxy.registry->finishFailed(key.account, key.text, Outcome::NotRun);
            break;
        case 1:
            proxy.registry->finishFailed(key.account, key.text, Outcome::Unknown);
            break;
        default:
            key.response = "answer " + std::to_string(randomInt(0, 10));
            proxy.registry->finishWithResponse(key.account, key.text, StoredResponse { 200, {}, key.response });
        }
    }

    void check() const
    {
        for (const FakeKey &key : m_keys) {
            RC_ASSERT(key.mayHaveRun <= 1);
        }
        for (const FakeProxy &proxy : m_proxies) {
            RC_ASSERT(proxy.registry->size() <= tightSettings().maxKeys);
            const std::size_t held = proxy.registry->responseBytes(AccountName("studio"));
            RC_ASSERT(held <= tightSettings().maxResponseBytesPerAccount);
        }
    }

    Instant m_now = Start;
    Incarnation m_incarnations = 0;
    std::array<FakeProxy, 3> m_proxies;
    std::vector<FakeKey> m_keys;
    std::vector<FakeRun> m_runs;
};

bool noOtherMembers(Incarnation)
{
    return false;
}

} // namespace

TEST_GROUP(AtMostOnceRegistry) {};

// Guards against filing a crash report twice.
TEST(AtMostOnceRegistry, keyRunsAtMostOnceForEverySchedule)
{
    CHECK_TRUE(rc::check("key runs at most once", [] {
        constexpr int SchedulesPerCase = 10;
        for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
            FakeFleet fleet;
            fleet.runSchedule();
        }
    }));
}

// Guards against assigning a fix twice after a proxy was replaced.
TEST(AtMostOnceRegistry, keyOfAReplacedProcessIsUnknownAndNotRun)
{
    AtMostOnceRegistry before(1, Start, {}, noOtherMembers);
    const std::string key = toString(before.token(Start)) + "/fix-7";
    CHECK_TRUE(before.begin(AccountName("studio"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Run);
    AtMostOnceRegistry after(2, Start, {}, noOtherMembers);
    CHECK_TRUE(after.begin(AccountName("studio"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Unknown);
}

// Guards against one request occupying two proxies until its deadline.
TEST(AtMostOnceRegistry, forwardedKeyIsNeverForwardedAgain)
{
    AtMostOnceRegistry restarted(2, Start, {}, [](Incarnation) {
        return true;
    });
    const std::string key = toString(IdempotencyToken { 1, 0 }) + "/fix-7";
    const AccountName account("studio");
    const auto fromCaller = restarted.begin(account, Tickets, key, Fingerprint, Start);
    CHECK_TRUE(fromCaller.kind == AtMostOnceDecisionKind::ForwardTo);
    const auto fromPeer = restarted.begin(account, Tickets, key, Fingerprint, Start, RequestSource::Peer);
    CHECK_TRUE(fromPeer.kind == AtMostOnceDecisionKind::Unknown);
}

// Guards against a repeat running again after a quarter of an hour.
TEST(AtMostOnceRegistry, repeatAfterTheTimeWindowIsUnknownAndNotRun)
{
    const AtMostOnceSettings settings;
    AtMostOnceRegistry registry(1, Start, settings, noOtherMembers);
    const AccountName account("studio");
    const std::string key = toString(registry.token(Start)) + "/crash-1";
    CHECK_TRUE(registry.begin(account, Tickets, key, Fingerprint, Start).kind == AtMostOnceDecisionKind::Run);
    registry.finishWithResponse(account, key, StoredResponse { 201, {}, "filed" });
    const Instant last = Start + settings.epoch * (settings.epochsValid + 1 + settings.epochsKept) - Millis(1);
    CHECK_TRUE(registry.begin(account, Tickets, key, Fingerprint, last).kind == AtMostOnceDecisionKind::Replay);
    CHECK_TRUE(registry.begin(account, Tickets, key, Fingerprint, last + Millis(1)).kind
               == AtMostOnceDecisionKind::Unknown);
    CHECK_EQUAL(0, registry.size());
}

// Guards against one account filling the memory for years.
TEST(AtMostOnceRegistry, tokenOfAFutureEpochIsRejected)
{
    AtMostOnceRegistry registry(1, Start, {}, noOtherMembers);
    const std::string key = toString(IdempotencyToken { 1, 1'000'000 }) + "/k";
    const AtMostOnceDecision decision = registry.begin(AccountName("studio"), Tickets, key, Fingerprint, Start);
    CHECK_TRUE(decision.kind == AtMostOnceDecisionKind::KeyRequired);
}

TEST(AtMostOnceRegistry, sameKeyOfAnotherAccountIsADifferentKey)
{
    AtMostOnceRegistry registry(1, Start, {}, noOtherMembers);
    const std::string key = toString(registry.token(Start)) + "/booking";
    registry.begin(AccountName("studio"), Tickets, key, Fingerprint, Start);
    registry.finishWithResponse(AccountName("studio"), key, StoredResponse { 200, {}, "studio's" });
    CHECK_TRUE(registry.begin(AccountName("rival"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Run);
}

// Two accepted spellings of one key could run twice.
TEST(AtMostOnceRegistry, onlyTheIssuedSpellingOfAKeyIsAccepted)
{
    const std::string token = toString(IdempotencyToken { 0xabc, 0x1f });
    STRCMP_EQUAL("0000000000000abc.1f", token.c_str());
    CHECK_TRUE(parseIdempotencyKey(token + "/k").has_value());
    CHECK_FALSE(parseIdempotencyKey("abc.1f/k").has_value());
    CHECK_FALSE(parseIdempotencyKey("0000000000000ABC.1f/k").has_value());
    CHECK_FALSE(parseIdempotencyKey("0000000000000abc.01f/k").has_value());
    CHECK_FALSE(parseIdempotencyKey(token + "/").has_value());
    CHECK_FALSE(parseIdempotencyKey(token + "/a b").has_value());
    CHECK_FALSE(parseIdempotencyKey("k").has_value());
}
