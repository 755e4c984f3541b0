#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/base/eventthrottle.h"
#include "mulberryplank/net/asyncmutex.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/dataexecutor.h"
#include "mulberryplank/net/keyedstore.h"
#include "mulberryplank/net/updatemessages.h"
#include "mulberryplank/policy/configurationsender.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/storeretry.h"
#include "mulberryplank/policy/targetdirectory.h"

namespace mulberryplank
{

struct DiscoverySettings {
    // How long a read waits for a new configuration. Each read is billed; a connection that goes silent meanwhile is
    // noticed by its keepalive probes and by what other processes say they have.
    Millis configurationWait { 25'000 };
    // Between two questions for the configuration by a process that another one reads for, and that wasn't told of a
    // new one meanwhile.
    Duration configurationInterval = Seconds(10);
    Duration firstInterval = Seconds(1); // the same for a process that has no configuration yet
    // Between two reads of the targets' records, while requests come. A target's leaving has to be known within two
    // seconds, of which this leaves half for a read that fails and is made again.
    Duration targetsInterval = Millis(800);
    // A list that was read from the store longer ago is read anew before a request goes by it: what leaves must get no
    // requests two seconds later.
    Duration maxTargetsAge = Millis(1'700);
    // The age at which a list that came by way of others is read again, if that is sooner than the next read would be.
    // Two processes that give no answer may be asked until the two seconds are over.
    Duration targetsRenewalAge = Millis(1'200);
    // How long after the last request targets are still followed. Processes without requests cost no reads.
    Duration targetsFollowedFor = Seconds(8);
    Duration targetsWait = Millis(400); // that the first request after a pause waits for the list
    Duration routesWait = Seconds(1); // from the start, that requests wait for the first configuration
    // How often another process is asked for the list of targets that it is reading itself, and the pause in between.
    int listTries = 8;
    Duration listInterval = Millis(40);
    Duration listTimeout = Millis(200); // after which somebody else is asked for the list as well
    Duration retryInterval = Millis(250); // after a failed read, before anybody is asked again
    StoreRetrySettings storeRetry; // how soon that is the store itself
    Duration hintLifetime = Seconds(1); // after which a hint no longer explains that the store was found again
    Duration returnGrace = Seconds(2); // within which live targets are listed again after the store's return
    Duration catchUpDelay = Millis(150); // for a read under way to bring what another process has already
};

// What the update are used for, and where else they come from.
struct DiscoveryHooks {
    std::string configurationKey; // of the configuration's record
    std::function<Result<RouteTable>(std::string_view)> decodeRoutes;
    std::function<Result<AnnouncedTarget>(std::string_view id, std::string_view)> decodeTarget;
    std::function<void(RouteTablePtr)> routesChanged;
    std::function<void(const TargetDirectory &, bool fresh)> targetsRead; // after each read
    // Asks some other process for what it has; PeerLost when there is none or it doesn't answer.
    std::function<boost::asio::awaitable<Result<PeerUpdate>>(PeerUpdateRequest)> queryPeer;
    // Asks the process that reads for the others of its failure domain; PeerLost when that is this one.
    std::function<boost::asio::awaitable<Result<PeerUpdate>>(PeerUpdateRequest)> queryReader;
    // Says whether there is such a process, other than this one.
    std::function<bool()> hasReader;
    // Says whether this process reads the configuration from the store although another one reads the targets for it: a
    // store that gives no answer to one of them tells the others through it.
    std::function<bool()> readsConfiguration;
    // Returns how many processes of this failure domain follow the store, this one among them.
    std::function<std::size_t()> followersInDomain;
    // The list of targets has changed, as read from the store.
    std::function<void()> listChanged;
    // The store has stopped answering this process, or answers again. `firstToRecover`: it answers again, the reader
    // isn't known to be served, and nobody has told this process, so that it may be the first to find out.
    std::function<void(bool firstToRecover)> storeChanged;
};

// Keeps up with the configuration and the targets: from the store, and from other processes where the store doesn't
// answer this one. Nothing that it brings ever goes back: an older version, an older list or a stale read is dropped.
// Everything belongs to the thread that runs the io_context, which must outlive it.
class DiscoveryClient
{
public:
    // `self` is this process's incarnation, which marks its versions of the list.
    DiscoveryClient(boost::asio::io_context &context,
                    KeyedStore store,
                    DiscoverySettings settings,
                    DiscoveryHooks hooks,
                    Incarnation self,
                    EventSink events);
    DiscoveryClient(const DiscoveryClient &) = delete;
    DiscoveryClient &operator=(const DiscoveryClient &) = delete;

    // Begins to follow the configuration and the targets. To be called once, when the others are known as far as they
    // can be: a process that knows nobody reads everything from the store.
    void start();

    // Returns the configuration in force, or nullptr.
    RouteTablePtr routes() const;

    // Waits until there are routes, for a moment after the start at most: a request that comes before them is then
    // served, where its caller would otherwise have to come again, if it does.
    DataAwaitable<void> awaitRoutes();

    // Says that a request needs the targets now: they are followed from here on, and a list that is too old is read
    // first. Returns false if there is no list at all.
    DataAwaitable<bool> ensureTargets();

    // Another process has this version of the configuration. If this one lacks it, it asks: at once if another one
    // reads for it, else after a moment.
    void noteRemoteVersion(std::uint64_t version);

    // The process that reads for this one, or the first that was served by the store again, has update: this one asks
    // for them at once. With the version of the configuration there it asks for that only if it is newer.
    void noteRemoteUpdate(std::uint64_t version = 0);

    // Returns what this process has, for another that can't reach the store.
    PeerUpdate respondToPeer(const PeerUpdateRequest &request);

    const TargetDirectory &directory() const;

    // Returns when the list of targets was read from the store, here or elsewhere, or nothing before it was.
    std::optional<Instant> targetsReadAt() const;
    bool storeResponds() const;

private:
    using Query = std::function<boost::asio::awaitable<Result<PeerUpdate>>(PeerUpdateRequest)>;

    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<void> followTargets();
    boost::asio::awaitable<void> catchUp();
    boost::asio::awaitable<Result<void>> readConfigurationFromStore();
    boost::asio::awaitable<Result<void>> readNextConfigurations();
    boost::asio::awaitable<Result<void>> readNewestExclusively();
    boost::asio::awaitable<Result<void>> readConfiguration();
    boost::asio::awaitable<void> awaitNewVersion();
    boost::asio::awaitable<Result<PeerUpdate>> fetchConfiguration(const Query &query, std::string_view source);
    bool isBehind() const; // others have a version that is newer and isn't known to be unreadable
    std::uint64_t versionInForce() const; // 0: none
    boost::asio::awaitable<Result<void>> readNewestConfiguration();
    boost::asio::awaitable<bool> renewTargets();
    boost::asio::awaitable<bool> fetchTargetsFromStore();
    boost::asio::awaitable<bool> fetchTargetsFrom(const Query &query, std::string_view source, int maxTries);
    boost::asio::awaitable<Result<void>> readAllTargets();
    boost::asio::awaitable<Result<void>> readTargetsFromStore();
    boost::asio::awaitable<Result<PeerUpdate>> runQuery(KeyedTopic topic,
                                                        const Query &query,
                                                        std::string_view source,
                                                        PeerUpdateRequest request);
    void noteFailure(KeyedTopic topic, std::string_view source, Instant startedAt, const Error &error);
    bool applyPeerUpdate(const PeerUpdate &update);
    std::optional<bool> applyList(const PeerUpdate &update, Instant now);
    void addList(const PeerUpdateRequest &request, PeerUpdate &update);
    const std::string &compressedList();
    PeerUpdateRequest configurationRequest() const;
    PeerUpdateRequest targetsRequest() const;
    DataAwaitable<void> waitUntil(std::function<bool()> done, Instant limit);
    void applyPiece(const ConfigurationPiece &piece);
    void applyConfiguration(const std::string &bytes, std::string_view source);
    bool applyTarget(const KeyedRecord &record, Instant now);
    std::optional<AnnouncedTarget> parseTarget(const KeyedRecord &record);
    void noteUnreadable(KeyedTopic topic, const std::string &detail);
    void noteRecordsWithoutKey(KeyedTopic topic, std::size_t records);
    boost::asio::awaitable<Result<void>> runStoreRead(KeyedTopic topic, boost::asio::awaitable<Result<void>> read);
    void noteStore(const Result<void> &result, KeyedTopic topic);
    void finishTargetUpdate(bool changed, std::string_view source, Duration age, bool upToDate);
    bool followsTargets(Instant now) const;
    Duration nextListDelay(Instant now) const;

    boost::asio::io_context &m_context;
    KeyedStore m_store;
    DiscoverySettings m_settings;
    DiscoveryHooks m_hooks;
    const Incarnation m_self;
    EventSink m_events;

    RouteTablePtr m_routes;
    ConfigurationSender m_offer; // the configuration in force, as it stands in the store, for other processes
    Offset m_configurationNext = 0;
    const Instant m_createdAt = Clock::now();
    bool m_configurationKnown = false; // m_configurationNext holds
    std::uint64_t m_remoteVersion = 0;
    std::uint64_t m_unreadableVersion = 0; // the newest that came from another process and can't be used here
    bool m_catchingUp = false;
    bool m_hinted = true; // to query for the configuration at once, whatever its version
    ConfigurationTransfer m_transfer; // from other processes
    bool m_readerLacksStore = false; // the store turned the reader away when it was asked last

    TargetDirectory m_directory;
    Offset m_targetsNext = 0;
    bool m_targetsKnown = false;
    bool m_targetsChanged = false; // as another process says; what was read before is too old
    bool m_readsTargets = false; // from the store, now
    bool m_targetsUnavailable = false; // nobody gave a list when one was asked for last
    Instant m_targetsReadAt {}; // from the store, here or elsewhere
    std::uint64_t m_listOwner = 0; // who gave the list: this process or another
    std::uint64_t m_listVersion = 0;
    std::string m_compressedList; // for those who query for all of it
    std::uint64_t m_compressedVersion = 0; // as TargetDirectory::changes() counts
    std::uint64_t m_targetReads = 0;
    Instant m_lastNeededAt {};
    StoreRetry m_storeRetry;
    Instant m_hintedAt {};
    int m_storeFailures = 0;
    Instant m_storeFailedAt {};
    EventThrottle m_failures;
    Timer m_nextConfiguration; // cancelled when there is a new one
    Timer m_nextTargets; // cancelled when targets are needed at once
    AsyncMutex m_peerTransfer; // of the configuration
    AsyncMutex m_newestRead; // of the configuration, from the store
};

} // namespace mulberryplank
