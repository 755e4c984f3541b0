#include "mulberryplank/policy/onceregistry.h"

#include <array>
#include <memory>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines new, so it comes last

using namespace mulberryplank;

namespace
{

const Instant Begin = Instant(std::chrono::hours(1));
const ServiceName Tickets { "ticketdesk" };
constexpr std::uint64_t Print = 17;

int chosen(int first, int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

// Small enough that schedules of a few hundred events meet every bound.
OnceSettings tightSettings()
{
    OnceSettings settings;
    settings.epochsValid = 2;
    settings.epochsKept = 1;
    settings.mostKeys = 6;
    settings.mostKeysPerAccount = 4;
    settings.mostAnswerBytesPerAccount = 2 * StoredAnswer { 200, {}, "answer 0" }.size();
    return settings;
}

// One process: its registry dies with it.
struct FakeProxy {
    Incarnation incarnation = 0;
    std::unique_ptr<OnceRegistry> registry;
};

// A key as its caller knows it, and what truly became of it.
struct FakeKey {
    AccountName account;
    std::string text;
    int mayHaveRun = 0; // runs that can't be ruled out
    std::uint64_t print = 0; // of the request that was let run
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

    void play()
    {
        constexpr int Events = 150;
        for (int event = 0; event < Events; ++event) {
            playOne();
            check();
        }
    }

private:
    void playOne()
    {
        FakeProxy &proxy = m_proxies.at(static_cast<std::size_t>(chosen(0, 3)));
        const int kind = chosen(0, 20);
        if (kind < 4) {
            issue(proxy);
        } else if (kind < 13) {
            send(proxy);
        } else if (kind < 17) {
            finishOne();
        } else if (kind < 18) {
            restart(proxy);
        } else {
            // Up to a pause of more than the whole life of a token.
            m_now += Seconds(chosen(0, chosen(0, 4) == 0 ? 400 : 40));
        }
    }

    void restart(FakeProxy &proxy)
    {
        proxy.incarnation = ++m_incarnations;
        proxy.registry = std::make_unique<OnceRegistry>(proxy.incarnation, m_now, tightSettings(), [](Incarnation) {
            return *rc::gen::arbitrary<bool>();
        });
    }

    void issue(const FakeProxy &proxy)
    {
        FakeKey key;
        key.account = AccountName(*rc::gen::arbitrary<bool>() ? "studio" : "rival");
        key.text = toString(proxy.registry->token(m_now)) + "/key" + std::to_string(chosen(0, 3));
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
        const auto index = static_cast<std::size_t>(chosen(0, static_cast<int>(m_keys.size())));
        const OnceDecision decision = beginAt(proxy, index, OnceSource::Caller);
        const bool forwardLost = chosen(0, 4) == 0;
        if (decision.kind != OnceDecisionKind::ForwardTo || forwardLost) {
            return;
        }
        for (FakeProxy &owner : m_proxies) {
            if (owner.incarnation == decision.incarnation) {
                const OnceDecision there = beginAt(owner, index, OnceSource::Peer);
                RC_ASSERT(there.kind != OnceDecisionKind::ForwardTo);
            }
        }
    }

    OnceDecision beginAt(FakeProxy &proxy, std::size_t index, OnceSource source)
    {
        FakeKey &key = m_keys.at(index);
        const std::uint64_t print = chosen(0, 10) == 0 ? Print + 1 : Print;
        OnceDecision decision = proxy.registry->begin(key.account, Tickets, key.text, print, m_now, source);
        if (decision.kind == OnceDecisionKind::Run) {
            ++key.mayHaveRun;
            key.print = print;
            m_runs.push_back({ proxy.incarnation, index });
        }
        if (decision.kind == OnceDecisionKind::Replay) {
            RC_ASSERT(print == key.print);
            RC_ASSERT(!key.answer.empty());
            RC_ASSERT(decision.answer->body == key.answer);
        }
        if (decision.kind == OnceDecisionKind::Full) {
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
        const auto index = static_cast<std::size_t>(chosen(0, static_cast<int>(m_runs.size())));
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
        switch (chosen(0, 4)) {
        case 0:
            --key.mayHaveRun;
            proxy.registry->finishFailed(key.account, key.text, Outcome::NotRun);
            break;
        case 1:
            proxy.registry->finishFailed(key.account, key.text, Outcome::Unknown);
            break;
        default:
            key.answer = "answer " + std::to_string(chosen(0, 10));
            proxy.registry->finishAnswered(key.account, key.text, StoredAnswer { 200, {}, key.answer });
        }
    }

    void check() const
    {
        for (const FakeKey &key : m_keys) {
            RC_ASSERT(key.mayHaveRun <= 1);
        }
        for (const FakeProxy &proxy : m_proxies) {
            RC_ASSERT(proxy.registry->size() <= tightSettings().mostKeys);
            const std::size_t held = proxy.registry->answerBytes(AccountName("studio"));
            RC_ASSERT(held <= tightSettings().mostAnswerBytesPerAccount);
        }
    }

    Instant m_now = Begin;
    Incarnation m_incarnations = 0;
    std::array<FakeProxy, 3> m_proxies;
    std::vector<FakeKey> m_keys;
    std::vector<FakeRun> m_runs;
};

bool nobodyIsMember(Incarnation)
{
    return false;
}

} // namespace

TEST_GROUP(OnceRegistry) {};

// Failure: a crash report is filed twice.
TEST(OnceRegistry, keyRunsAtMostOnceForEverySchedule)
{
    CHECK_TRUE(rc::check("key runs at most once", [] {
        constexpr int SchedulesPerCase = 10;
        for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
            FakeFleet fleet;
            fleet.play();
        }
    }));
}

// Failure: a fix is assigned twice after a proxy was replaced.
TEST(OnceRegistry, keyOfProcessThatIsGoneIsUnknownAndNotRun)
{
    OnceRegistry before(1, Begin, {}, nobodyIsMember);
    const std::string key = toString(before.token(Begin)) + "/fix-7";
    CHECK_TRUE(before.begin(AccountName("studio"), Tickets, key, Print, Begin).kind == OnceDecisionKind::Run);
    OnceRegistry after(2, Begin, {}, nobodyIsMember);
    CHECK_TRUE(after.begin(AccountName("studio"), Tickets, key, Print, Begin).kind == OnceDecisionKind::Unknown);
}

// Failure: one request occupies two proxies until its deadline.
TEST(OnceRegistry, forwardedKeyIsNeverForwardedAgain)
{
    OnceRegistry restarted(2, Begin, {}, [](Incarnation) {
        return true;
    });
    const std::string key = toString(OnceToken { 1, 0 }) + "/fix-7";
    const AccountName account("studio");
    const auto fromCaller = restarted.begin(account, Tickets, key, Print, Begin);
    CHECK_TRUE(fromCaller.kind == OnceDecisionKind::ForwardTo);
    const auto fromPeer = restarted.begin(account, Tickets, key, Print, Begin, OnceSource::Peer);
    CHECK_TRUE(fromPeer.kind == OnceDecisionKind::Unknown);
}

// Failure: a repeat runs again after a quarter of an hour.
TEST(OnceRegistry, repeatBehindTheTimeWindowIsUnknownAndNotRun)
{
    const OnceSettings settings;
    OnceRegistry registry(1, Begin, settings, nobodyIsMember);
    const AccountName account("studio");
    const std::string key = toString(registry.token(Begin)) + "/crash-1";
    CHECK_TRUE(registry.begin(account, Tickets, key, Print, Begin).kind == OnceDecisionKind::Run);
    registry.finishAnswered(account, key, StoredAnswer { 201, {}, "filed" });
    const Instant last = Begin + settings.epoch * (settings.epochsValid + 1 + settings.epochsKept) - Millis(1);
    CHECK_TRUE(registry.begin(account, Tickets, key, Print, last).kind == OnceDecisionKind::Replay);
    CHECK_TRUE(registry.begin(account, Tickets, key, Print, last + Millis(1)).kind == OnceDecisionKind::Unknown);
    CHECK_EQUAL(0, registry.size());
}

// Failure: one account fills the memory for years.
TEST(OnceRegistry, tokenOfEpochToComeIsRefused)
{
    OnceRegistry registry(1, Begin, {}, nobodyIsMember);
    const std::string key = toString(OnceToken { 1, 1'000'000 }) + "/k";
    const OnceDecision decision = registry.begin(AccountName("studio"), Tickets, key, Print, Begin);
    CHECK_TRUE(decision.kind == OnceDecisionKind::KeyRequired);
}

TEST(OnceRegistry, keyOfOneAccountIsAnotherKeyForEveryOtherAccount)
{
    OnceRegistry registry(1, Begin, {}, nobodyIsMember);
    const std::string key = toString(registry.token(Begin)) + "/booking";
    registry.begin(AccountName("studio"), Tickets, key, Print, Begin);
    registry.finishAnswered(AccountName("studio"), key, StoredAnswer { 200, {}, "studio's" });
    CHECK_TRUE(registry.begin(AccountName("rival"), Tickets, key, Print, Begin).kind == OnceDecisionKind::Run);
}

// Two spellings of one key would be two runs.
TEST(OnceRegistry, onlyTheSpellingThatWasHandedOutIsKey)
{
    const std::string token = toString(OnceToken { 0xabc, 0x1f });
    STRCMP_EQUAL("0000000000000abc.1f", token.c_str());
    CHECK_TRUE(parseOnceKey(token + "/k").has_value());
    CHECK_FALSE(parseOnceKey("abc.1f/k").has_value());
    CHECK_FALSE(parseOnceKey("0000000000000ABC.1f/k").has_value());
    CHECK_FALSE(parseOnceKey("0000000000000abc.01f/k").has_value());
    CHECK_FALSE(parseOnceKey(token + "/").has_value());
    CHECK_FALSE(parseOnceKey(token + "/a b").has_value());
    CHECK_FALSE(parseOnceKey("k").has_value());
}
