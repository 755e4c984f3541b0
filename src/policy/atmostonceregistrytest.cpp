#include "mulberryplank/policy/atmostonceregistry.h"

#include <array>
#include <memory>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines new, so it comes last

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

// Small enough that schedules of a few hundred events meet every bound.
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

// One process: its registry dies with it.
struct FakeProxy {
    Incarnation incarnation = 0;
    std::unique_ptr<AtMostOnceRegistry> registry;
};

// A key as its caller knows it, and what truly became of it.
struct FakeKey {
    AccountName account;
    std::string text;
    int mayHaveRun = 0; // runs that can't be ruled out
    std::uint64_t fingerprint = 0; // of the request that was let run
    std::string answer; // of the run
};

struct FakeRun {
    Incarnation incarnation = 0;
    std::size_t key = 0;
};

// Proxies that are restarted and paused, callers that repeat through any of them, forwards and answers that are lost,
// views of the membership that are wrong.
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
            // Up to a pause of more than the whole life of a token.
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
            RC_ASSERT(!key.answer.empty());
            RC_ASSERT(decision.answer->body == key.answer);
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
            key.answer = "answer " + std::to_string(randomInt(0, 10));
            proxy.registry->finishWithResponse(key.account, key.text, StoredResponse { 200, {}, key.answer });
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

// Failure: a crash report is filed twice.
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

// Failure: a fix is assigned twice after a proxy was replaced.
TEST(AtMostOnceRegistry, keyOfProcessThatIsGoneIsUnknownAndNotRun)
{
    AtMostOnceRegistry before(1, Start, {}, noOtherMembers);
    const std::string key = toString(before.token(Start)) + "/fix-7";
    CHECK_TRUE(before.begin(AccountName("studio"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Run);
    AtMostOnceRegistry after(2, Start, {}, noOtherMembers);
    CHECK_TRUE(after.begin(AccountName("studio"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Unknown);
}

// Failure: one request occupies two proxies until its deadline.
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

// Failure: a repeat runs again after a quarter of an hour.
TEST(AtMostOnceRegistry, repeatBehindTheTimeWindowIsUnknownAndNotRun)
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

// Failure: one account fills the memory for years.
TEST(AtMostOnceRegistry, tokenOfEpochToComeIsRefused)
{
    AtMostOnceRegistry registry(1, Start, {}, noOtherMembers);
    const std::string key = toString(IdempotencyToken { 1, 1'000'000 }) + "/k";
    const AtMostOnceDecision decision = registry.begin(AccountName("studio"), Tickets, key, Fingerprint, Start);
    CHECK_TRUE(decision.kind == AtMostOnceDecisionKind::KeyRequired);
}

TEST(AtMostOnceRegistry, keyOfOneAccountIsAnotherKeyForEveryOtherAccount)
{
    AtMostOnceRegistry registry(1, Start, {}, noOtherMembers);
    const std::string key = toString(registry.token(Start)) + "/booking";
    registry.begin(AccountName("studio"), Tickets, key, Fingerprint, Start);
    registry.finishWithResponse(AccountName("studio"), key, StoredResponse { 200, {}, "studio's" });
    CHECK_TRUE(registry.begin(AccountName("rival"), Tickets, key, Fingerprint, Start).kind
               == AtMostOnceDecisionKind::Run);
}

// Two spellings of one key would be two runs.
TEST(AtMostOnceRegistry, onlyTheSpellingThatWasHandedOutIsKey)
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
