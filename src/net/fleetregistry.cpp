#include "mulberryplank/net/fleetregistry.h"

#include <algorithm>
#include <map>

#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

constexpr std::string_view KeyRecord = "key";
constexpr std::string_view SeedPrefix = "vm/";
constexpr std::string_view QuarantinePrefix = "quarantine/";
constexpr std::string_view QuarantineValue = "crashes-targets"; // a record without a value would be a removal
constexpr char DomainSeparator = ' ';

// The contents of the store's records and the offset at which they end.
struct FleetRecords {
    FleetBootstrap bootstrap;
    StorePosition next;
    bool historyExpired = false; // the records are no longer kept: only the newest of each key can be read
};

std::string seedRecord(const VmName &vm)
{
    return std::string(SeedPrefix) + vm.value();
}

// The value is the address, a blank and the failure domain. Earlier versions wrote only the address.
KeyedRecord recordOf(const FleetSeed &seed)
{
    return { seedRecord(seed.vm), toString(seed.peer) + DomainSeparator + seed.failureDomain.value() };
}

std::optional<FleetSeed> seedOf(std::string_view key, std::string_view value)
{
    const std::size_t blank = std::min(value.find(DomainSeparator), value.size());
    const std::optional<Endpoint> peer = endpointFromString(value.substr(0, blank));
    if (!key.starts_with(SeedPrefix) || !peer) {
        return std::nullopt;
    }
    const std::string_view domain = value.substr(std::min(blank + 1, value.size()));
    return FleetSeed { VmName(std::string(key.substr(SeedPrefix.size()))), *peer, FailureDomain(std::string(domain)) };
}

std::optional<RequestFingerprint> quarantinedOf(std::string_view key)
{
    return key.starts_with(QuarantinePrefix) ? requestFingerprintFromString(key.substr(QuarantinePrefix.size()))
                                             : std::nullopt;
}

KeyedRecord quarantineRecord(RequestFingerprint request, std::optional<std::string> value)
{
    return { std::string(QuarantinePrefix) + toString(request), std::move(value) };
}

FleetBootstrap bootstrapOf(const std::vector<KeyedRecord> &records)
{
    std::map<std::string, std::optional<std::string>> newest;
    for (const KeyedRecord &record : records) {
        newest[record.key] = record.value;
    }
    FleetBootstrap bootstrap;
    for (const auto &[key, value] : newest) {
        if (!value) {
            continue;
        }
        if (key == KeyRecord) {
            bootstrap.key = *value;
        }
        const std::optional<FleetSeed> seed = seedOf(key, *value);
        if (seed) {
            bootstrap.seeds.push_back(*seed);
        }
        const std::optional<RequestFingerprint> quarantined = quarantinedOf(key);
        if (quarantined) {
            bootstrap.quarantined.push_back(*quarantined);
        }
    }
    return bootstrap;
}

asio::awaitable<Result<FleetRecords>> newestRecords(KeyedStore store)
{
    const Result<KeyedSnapshot> snapshot = co_await store.newest(KeyedTopic::Fleet);
    if (!snapshot) {
        co_return tl::make_unexpected(snapshot.error());
    }
    co_return FleetRecords { bootstrapOf(snapshot->records), snapshot->next };
}

// Waits for the first records from `from` on.
asio::awaitable<Result<FleetRecords>> firstRecords(KeyedStore store, StorePosition from, Millis wait)
{
    const Result<KeyedPage> page = co_await store.read(KeyedTopic::Fleet, from, wait);
    if (!page) {
        co_return tl::make_unexpected(page.error());
    }
    co_return FleetRecords { bootstrapOf(page->records), page->next, page->historyExpired };
}

// Appends the key and the first seed, unless another process has appended first.
asio::awaitable<Result<void>> createKey(KeyedStore store, std::string key, FleetSeed self, StorePosition end)
{
    std::vector<KeyedRecord> records;
    records.push_back({ std::string(KeyRecord), std::move(key) });
    records.push_back(recordOf(self));
    co_return co_await store.append(KeyedTopic::Fleet, std::move(records), end);
}

} // namespace

} // namespace internal

asio::awaitable<FleetBootstrap> joinFleet(asio::io_context &context,
                                          KeyedStore store,
                                          FleetRegistrySettings settings,
                                          std::function<std::string()> randomKey,
                                          std::function<double()> jitter)
{
    bool waitsForKey = settings.firstStart;
    StorePosition end;
    Duration interval = settings.retryInterval;
    while (true) {
        Result<internal::FleetRecords> current = failure(ErrorKind::PlatformUnavailable, "not read");
        if (waitsForKey) {
            const Millis wait = std::chrono::duration_cast<Millis>(settings.maxStartJitter * jitter());
            current = co_await internal::firstRecords(store, end, wait);
        } else {
            current = co_await internal::newestRecords(store);
        }
        Result<void> written;
        if (current && !current->bootstrap.key.empty()) {
            co_return std::move(current->bootstrap);
        }
        if (current && (current->historyExpired || !waitsForKey)) {
            waitsForKey = !current->historyExpired;
            end = current->next;
            continue;
        }
        if (current) {
            std::string key = randomKey();
            written = co_await internal::createKey(store, key, settings.self, current->next);
            if (written) {
                FleetBootstrap created;
                created.key = std::move(key);
                created.seeds.push_back(settings.self);
                co_return created;
            }
            waitsForKey = false;
        }
        if (!current || written.error().kind != ErrorKind::Conflict) {
            co_await sleepFor(context, interval);
            interval = std::min(interval * 2, settings.maxRetryInterval);
        }
    }
}

asio::awaitable<Result<FleetBootstrap>> readFleet(KeyedStore store)
{
    Result<internal::FleetRecords> current = co_await internal::newestRecords(store);
    if (!current) {
        co_return tl::make_unexpected(current.error());
    }
    current->bootstrap.end = current->next;
    co_return std::move(current->bootstrap);
}

asio::awaitable<Result<void>> restoreKey(KeyedStore store, std::string key, FleetSeed seed, StorePosition end)
{
    return internal::createKey(std::move(store), std::move(key), std::move(seed), end);
}

asio::awaitable<Result<void>> registerSeed(KeyedStore store, FleetSeed seed, std::vector<VmName> removed)
{
    std::vector<KeyedRecord> records;
    records.push_back(internal::recordOf(seed));
    for (const VmName &vm : removed) {
        records.push_back({ internal::seedRecord(vm), std::nullopt });
    }
    co_return co_await store.append(KeyedTopic::Fleet, std::move(records), std::nullopt);
}

asio::awaitable<Result<void>> recordQuarantined(KeyedStore store,
                                                std::vector<RequestFingerprint> added,
                                                std::vector<RequestFingerprint> removed)
{
    std::vector<KeyedRecord> records;
    for (const RequestFingerprint request : added) {
        records.push_back(internal::quarantineRecord(request, std::string(internal::QuarantineValue)));
    }
    for (const RequestFingerprint request : removed) {
        records.push_back(internal::quarantineRecord(request, std::nullopt));
    }
    co_return co_await store.append(KeyedTopic::Fleet, std::move(records), std::nullopt);
}

} // namespace mulberryplank
