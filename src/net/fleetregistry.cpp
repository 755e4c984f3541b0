#include "mulberryplank/net/fleetregistry.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

constexpr std::string_view KeyRecord = "key";
constexpr std::string_view VmPrefix = "vm/";

// What the store's records say.
struct Registered {
    std::string key;
    std::vector<Endpoint> peers;
    bool listsSelf = false;
    Offset next = 0;
};

Registered registered(const KeyedSnapshot &snapshot, const FleetRegistrySettings &settings)
{
    Registered result;
    result.next = snapshot.next;
    for (const KeyedRecord &record : snapshot.records) {
        if (record.key == KeyRecord) {
            result.key = *record.value;
        }
        const std::optional<Endpoint> peer = endpointFromString(*record.value);
        if (!record.key.starts_with(VmPrefix) || !peer) {
            continue;
        }
        if (*peer == settings.peer) {
            result.listsSelf = true;
        } else {
            result.peers.push_back(*peer);
        }
    }
    return result;
}

asio::awaitable<void> pauseFor(asio::io_context &context, Duration span)
{
    asio::steady_timer timer(context, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

} // namespace internal

asio::awaitable<FleetEntry> joinFleet(asio::io_context &context,
                                      KeyedStore store,
                                      FleetRegistrySettings settings,
                                      std::function<std::string()> randomKey,
                                      std::function<double()> spread)
{
    const KeyedRecord own { std::string(internal::VmPrefix) + settings.vm.value(), toString(settings.peer) };
    bool waited = false;
    Duration pause = settings.retryPause;
    while (true) {
        const Result<KeyedSnapshot> snapshot = co_await store.newest(KeyedTopic::Fleet);
        if (!snapshot) {
            co_await internal::pauseFor(context, pause);
            pause = std::min(pause * 2, settings.mostRetryPause);
            continue;
        }
        internal::Registered known = internal::registered(*snapshot, settings);
        if (known.key.empty() && !waited) {
            waited = true;
            const double share = spread();
            co_await internal::pauseFor(context, std::chrono::duration_cast<Duration>(settings.mostSpread * share));
            continue;
        }
        Result<void> written;
        if (known.key.empty()) {
            known.key = randomKey();
            const KeyedRecord key { std::string(internal::KeyRecord), known.key };
            std::vector<KeyedRecord> both;
            both.push_back(key);
            both.push_back(own);
            written = co_await store.append(KeyedTopic::Fleet, std::move(both), known.next);
        } else if (!known.listsSelf) {
            std::vector<KeyedRecord> alone(1, own);
            written = co_await store.append(KeyedTopic::Fleet, std::move(alone), std::nullopt);
        }
        if (written) {
            co_return FleetEntry { std::move(known.key), std::move(known.peers) };
        }
        co_await internal::pauseFor(context, pause);
        pause = std::min(pause * 2, settings.mostRetryPause);
    }
}

} // namespace mulberryplank
