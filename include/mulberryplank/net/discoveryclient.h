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
#include "mulberryplank/net/storehistory.h"
#include "mulberryplank/net/updatemessages.h"
#include "mulberryplank/policy/configurationsender.h"
#include "mulberryplank/policy/routetable.h"
#include "mulberryplank/policy/storeretry.h"
#include "mulberryplank/policy/targetdirectory.h"

namespace mulberryplank
{

struct DiscoverySettings {
    // How long a read waits for a new configuration, in a process that reads it for others. A connection that becomes
    // unresponsive during the wait is detected half a second after it: the connections of all processes that read the
    // configuration may become so at once, and a new version has to be in force within two seconds.
    Millis readerConfigurationWait { 1'000 };
    // The same in all other processes, of which there may be many. Each read is billed. An unresponsive connection is
    // detected by its keepalive probes and by the versions that other processes report.
    Millis configurationWait { 25'000 };
    // Interval between queries for the configuration. Applies to a process that has a designated reader and has
    // received no hint of a new version.
    Duration configurationInterval = Seconds(10);
    Duration firstInterval = Seconds(1); // the same for a process that has no configuration yet
    // Interval between reads of the targets' records while requests arrive. A process must learn within two seconds
    // that a target leaves. This interval leaves half of that time for a failed read and its repetition.
    Duration targetsInterval = Millis(800);
    // If the list was read from the store longer ago than this, it is read again before a request uses it. A target
    // must get no requests two seconds after it left.
    Duration maxTargetsAge = Millis(1'700);
    // The age at which a list received from another process is read again, if that is sooner than the next regular
    // read. Two unresponsive processes can be queried before the two seconds are over.
    Duration targetsRenewalAge = Millis(1'200);
    // How long targets are followed after the last request. A process without requests costs no reads.
    Duration targetsFollowedFor = Seconds(8);
    Duration targetsWait = Millis(400); // how long the first request after an idle period waits for the list
    Duration routesWait = Seconds(1); // how long after the start requests wait for the first configuration
    // How many times a process that is still reading its own first list is queried for it, and the interval between
    // these queries.
    int listTries = 8;
    Duration listInterval = Millis(40);
    Duration listTimeout = Millis(200); // after which another process is queried as well
    // How long the last of several sources of a list may take before all are tried anew. The store has half a second to
    // begin its response.
    Duration lastListTimeout = Millis(600);
    // After a failed read, before any source is queried again. A version that the queried processes don't have yet is
    // awaited for as long before the store is read.
    Duration retryInterval = Millis(250);
    StoreRetrySettings storeRetry; // when the store itself may be called again
    Duration hintLifetime = Seconds(1); // time after a hint for which the store's recovery counts as known
    Duration returnGrace = Seconds(2); // how long live targets have after the store's recovery to be listed again
    Duration catchUpDelay = Millis(150); // for a read in progress to return what another process already has
    // After which another process is queried as well for a piece of the configuration. A piece takes 50 ms on the
    // slowest VMs' links when these are idle.
    Duration pieceTimeout = Millis(300);
    Duration behindReportDelay = Seconds(1); // after which it is logged that a newer version has not arrived
};

// Callbacks for updates, and access to other processes.
struct DiscoveryHooks {
    std::string configurationKey; // key of the configuration's record
    std::function<Result<RouteTable>(std::string_view)> decodeRoutes;
    std::function<Result<AnnouncedTarget>(std::string_view id, std::string_view)> decodeTarget;
    std::function<void(RouteTablePtr)> routesChanged;
    std::function<void(const TargetDirectory &, bool fresh)> targetsRead; // called after each read
    // Queries some other process. Errors: PeerLost when there is none or it doesn't respond.
    std::function<boost::asio::awaitable<Result<PeerUpdate>>(PeerUpdateRequest)> queryPeer;
    // Queries the designated reader of the failure domain. Errors: PeerLost when that is this process.
    std::function<boost::asio::awaitable<Result<PeerUpdate>>(PeerUpdateRequest)> queryReader;
    // Returns whether there is a designated reader other than this process.
    std::function<bool()> hasReader;
    // Returns whether this process reads the configuration from the store although another process reads the targets
    // for it. If the store doesn't respond to one of the two, the remaining one still provides the configuration to
    // other processes.
    std::function<bool()> readsConfiguration;
    // Returns how many processes of this failure domain follow the store, including this one.
    std::function<std::size_t()> followersInDomain;
    // Called when the list of targets, as read from the store, has changed.
    std::function<void()> listChanged;
    // Called when the store has stopped responding to this process or responds again. `firstToRecover` is true if this
    // process may be the first to detect the recovery: the store responds again, the reader isn't known to be served,
    // and no hint has been received.
    std::function<void(bool firstToRecover)> storeChanged;
};

// Fetches the configuration and the list of targets from the store, and from other processes where the store doesn't
// respond to this one. Never regresses: an older version, an older list or a stale read is dropped. Must be used on the
// thread that runs the io_context, which must outlive it.
class DiscoveryClient
{
public:
    // `self` is this process's incarnation, which identifies its versions of the list. `history` must outlive the
    // client and its io_context's handlers.
    DiscoveryClient(boost::asio::io_context &context,
                    StoreHistory &history,
                    DiscoverySettings settings,
                    DiscoveryHooks hooks,
                    Incarnation self,
                    EventSink events);
    DiscoveryClient(const DiscoveryClient &) = delete;
    DiscoveryClient &operator=(const DiscoveryClient &) = delete;

    // Starts to follow the configuration and the targets. Must be called only once, when as many members as possible
    // are known: a process that knows no other member reads everything from the store.
    void start();

    // Returns the configuration in force, or nullptr.
    RouteTablePtr routes() const;

    // Waits until there are routes, but only for a short time after the start. A request that arrives before the first
    // routes is then served; otherwise its caller would have to send it again, which not every caller does.
    DataAwaitable<void> awaitRoutes();

    // Must be called for a request that needs the targets. Starts to follow them, and first reads the list again if it
    // is too old. Returns false if there is no list at all.
    DataAwaitable<bool> ensureTargets();

    // Must be called when another process reports this version of the configuration. If this process lacks that
    // version, it queries for it: at once if it has a designated reader, else after a short delay.
    void noteRemoteVersion(std::uint64_t version);

    // Must be called when the members have changed, which may make this process one that reads the configuration.
    void noteReaders();

    // Must be called when the designated reader, or the first process that the store serves again, has an update. This
    // process queries for it at once. If `version` is given, it queries for the configuration only if that version is
    // newer.
    void noteRemoteUpdate(std::uint64_t version = 0);

    // Returns the response to a query of another process, which doesn't read the store or can't reach it.
    PeerUpdate respondToPeer(const PeerUpdateRequest &request);

    const TargetDirectory &directory() const;

    // Returns when the list of targets was read from the store, by this process or another one, or nothing if there is
    // none yet.
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
    boost::asio::awaitable<bool> fetchConfigurationFromOthers();
    boost::asio::awaitable<void> awaitNewVersion();
    bool followsReader() const;
    boost::asio::awaitable<Result<PeerUpdate>> fetchConfiguration(const Query &query, std::string_view source);
    boost::asio::awaitable<Result<PeerUpdate>> fetchPiece(const Query &query, std::string_view source);
    boost::asio::awaitable<Result<PeerUpdate>> queryForPiece(const Query &query, std::string_view source);
    bool isBehind() const; // another process has a newer version that isn't known to be unreadable
    void noteBehind();
    Duration behindFor(Instant now) const;
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
    bool applyPeerUpdate(const PeerUpdate &update, Instant requestedAt);
    void noteEraOfList(StoreEra era, std::string_view source);
    std::optional<bool> applyList(const PeerUpdate &update, Instant now);
    void addList(const PeerUpdateRequest &request, PeerUpdate &update);
    const std::string &compressedList();
    PeerUpdateRequest configurationRequest() const;
    PeerUpdateRequest targetsRequest() const;
    DataAwaitable<void> waitUntil(std::function<bool()> done, Instant limit);
    // How a configuration arrived, for the log.
    struct Arrival {
        std::string_view source;
        std::size_t received = 0; // bytes
        std::uint64_t base = 0; // digest of the configuration that these are the difference from; 0: none
        Instant requestedAt {};
    };

    void applyPiece(const ConfigurationPiece &piece);
    void applyConfiguration(const std::string &bytes, const Arrival &arrival);
    ConfigurationPiece pieceFor(const PeerUpdateRequest &request);
    bool applyTarget(const KeyedRecord &record, Instant now);
    std::optional<AnnouncedTarget> parseTarget(const KeyedRecord &record);
    void noteUnreadable(KeyedTopic topic, const std::string &detail);
    void noteRecordsWithoutKey(KeyedTopic topic, std::size_t records);
    boost::asio::awaitable<Result<void>> runStoreRead(KeyedTopic topic, boost::asio::awaitable<Result<void>> read);
    void noteStore(const Result<void> &result, KeyedTopic topic);
    void noteReturn(Instant now);
    void finishTargetUpdate(bool changed, std::string_view source, Instant readAt, bool upToDate);
    bool followsTargets(Instant now) const;
    Duration nextListDelay(Instant now) const;
    Duration sourceTimeout(Instant now) const;

    boost::asio::io_context &m_context;
    StoreHistory &m_history;
    KeyedStore m_store;
    DiscoverySettings m_settings;
    DiscoveryHooks m_hooks;
    const Incarnation m_self;
    EventSink m_events;

    RouteTablePtr m_routes;
    ConfigurationSender m_offer; // the configuration in force as stored, for other processes
    StorePosition m_configurationNext;
    const Instant m_createdAt = Clock::now();
    bool m_configurationKnown = false; // whether m_configurationNext is valid
    std::uint64_t m_remoteVersion = 0;
    std::uint64_t m_unreadableVersion = 0; // the newest one from another process that can't be used here
    bool m_catchingUp = false;
    std::string_view m_configurationSource; // the process that is being queried for a configuration
    std::optional<Instant> m_behindSince; // when another process first reported a newer version than the one in force
    std::uint64_t m_behindVersion = 0; // the version in force at that time
    bool m_hinted = true; // whether to query for the configuration at once, whatever its version
    ConfigurationTransfer m_transfer; // from other processes
    Instant m_transferStartedAt {};
    bool m_readerLacksStore = false; // the reader reported that the store rejects it

    TargetDirectory m_directory;
    StorePosition m_targetsNext;
    bool m_targetsKnown = false;
    bool m_targetsChanged = false; // according to another process; lists read before that are too old
    bool m_readsTargets = false; // whether a read from the store is in progress
    bool m_targetsUnavailable = false; // no source returned a list at the last attempt
    Instant m_targetsReadAt {}; // from the store, by this process or another one
    std::uint64_t m_listOwner = 0; // the process that provided the list, which may be this one
    std::uint64_t m_listVersion = 0;
    std::string m_compressedList; // for processes that need all of it
    std::uint64_t m_compressedVersion = 0; // in terms of TargetDirectory::changes()
    std::uint64_t m_targetReads = 0;
    Instant m_lastNeededAt {};
    Instant m_followedSince {}; // start of the present period of following the list
    StoreRetry m_storeRetry;
    Instant m_hintedAt {};
    int m_storeFailures = 0;
    Instant m_storeFailedAt {};
    EventThrottle m_failures;
    EventThrottle m_behindReports;
    Timer m_nextConfiguration; // cancelled when there is a new one
    Timer m_nextTargets; // cancelled when targets are needed at once
    AsyncMutex m_peerTransfer; // of the configuration
    AsyncMutex m_newestRead; // of the configuration, from the store
};

} // namespace mulberryplank
