#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/logclient.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/policy/logposition.h"
#include "mulberryplank/state/configstate.h"

namespace mulberryplank
{

// The reason why a proxy is ready or isn't.
enum class ConfigPhase : std::uint8_t {
    Starting, // neither the log nor a peer has responded yet
    NoSource, // neither can be reached: the proxy waits instead of assuming a configuration
    NoSnapshot, // the log's records have expired, and neither a snapshot nor a peer replaces them
    InForce, // has a configuration
};

std::string_view toString(ConfigPhase phase);

// The state of a proxy's configuration, for operators, for readiness and for the choice of proxies that callers are
// directed to.
struct ConfigStatus {
    ConfigPhase phase = ConfigPhase::Starting;
    Offset applied = 0;
    Offset newest = 0; // the highest offset that the log or a peer has reported
    bool behind = false; // has been behind `newest` for longer than BehindLimit
    bool readsLog = false; // whether this proxy reads the log on behalf of others
    bool logReachable = false;
    bool logWentBack = false; // the log isn't the one that was applied; its edits are ignored until that one is back
    std::string detail; // for operators

    bool ready() const
    {
        return phase == ConfigPhase::InForce;
    }
};

// Access to the log. Errors: PlatformUnavailable.
struct LogAccess {
    std::function<boost::asio::awaitable<Result<LogPage>>(
        std::string stream, Offset from, std::size_t maxRecords, Millis wait)>
        read;
    std::function<boost::asio::awaitable<Result<Offset>>(std::string stream, std::string record)> append;
};

// Access to other proxies.
struct ConfigPeerAccess {
    std::function<Result<void>(const Endpoint &to, std::string_view payload)> push; // may be lost
    std::function<boost::asio::awaitable<Result<std::string>>(Endpoint to, std::string payload)> pull;
};

LogAccess accessTo(LogClient &client);
ConfigPeerAccess accessTo(PeerTransport &transport, Duration timeout);

// Distributes every accepted edit to this process and to other proxies. A few proxies of each failure domain read the
// log and push new records to a few peers, which push them on. Each second every proxy sends its position to one random
// peer, and a proxy that is behind pulls. A proxy that no peer reaches reads the log itself. An older configuration is
// never applied.
//
// Everything runs on one io_context that a single thread runs, including status(), edits in progress and peers'
// messages.
class ConfigSync
{
public:
    struct Settings {
        VmName self;
        std::size_t pollersPerDomain = 2;
        std::size_t pushFanout = 4; // peers that each proxy pushes new records to
        std::size_t maxPush = 1'000; // bytes of records in a datagram
        std::size_t pageRecords = 64; // records read from the log at once
        Millis pollWait { 2'000 }; // how long a read of the log waits for new records
        Duration gossipInterval = Seconds(1);
        // A proxy reads the log itself after receiving nothing current from peers for this long.
        Duration peerTimeout = Seconds(5);
        Duration verifyInterval = Seconds(10); // between checks that the log is still the same
        Duration snapshotCheckInterval = Seconds(5);
        Duration retryInterval = Millis(200); // between two attempts to append an edit
        SnapshotSchedule::Settings snapshots;
        std::uint64_t seed = 1;
    };

    using Members = std::function<std::vector<Member>()>; // returns all known members, with or without this process
    using Clock = std::function<Instant()>;

    ConfigSync(boost::asio::io_context &context,
               ConfigState &state,
               Settings settings,
               LogAccess log,
               ConfigPeerAccess peers,
               Members members,
               EventSink events,
               Clock clock = &mulberryplank::Clock::now);
    ConfigSync(const ConfigSync &) = delete;
    ConfigSync &operator=(const ConfigSync &) = delete;

    // Registers the handlers of peers' messages at `transport`. Must be called before its start().
    void attach(PeerTransport &transport);

    // Starts to read, push and pull.
    void start();

    // Stops reading, pushing and pulling. The object must outlive the operations that the io_context still runs.
    void stop();

    // Loads the configuration from a snapshot that an operator provides, for a fleet that was restarted as a whole
    // during a log outage. If this process already has a newer configuration, it puts that one in force. Errors:
    // BadConfiguration; Conflict when the snapshot comes from another log.
    Result<void> loadLastKnown(std::string_view snapshot);

    // Appends the edit and waits until its outcome is read back from the log. If the response to an append is lost, the
    // edit is appended again with the same id; the table decides it only once. Errors: BadConfiguration (nothing was
    // appended); PlatformUnavailable: the edit isn't known to be accepted yet, and may be submitted again with the same
    // id.
    boost::asio::awaitable<Result<EditOutcome>> submit(Edit edit, Duration timeout);

    ConfigStatus status() const;

    // The steps that start() repeats. Public for tests.

    // Reads the log to its end and applies what follows the current position. Waits up to `wait` for new records when
    // already at the end. Returns false if the log can't be reached or followed.
    boost::asio::awaitable<bool> readLog(Millis wait);

    // Sends this proxy's position to one random peer.
    void gossip();

    // Pulls from a peer that is ahead, if one is known, or from any peer while there is no configuration yet.
    boost::asio::awaitable<void> repair();

    // Publishes a snapshot if one is due.
    boost::asio::awaitable<void> maintainSnapshots();

    // Handles a peer's datagram.
    void onPush(const PeerSender &sender, std::string_view payload);

    // Handles a peer's call and returns the response.
    Result<std::string> onPull(const PeerSender &sender, std::string_view payload);

    // Returns whether this proxy should read the log itself.
    bool shouldReadLog() const;

private:
    using Step = std::function<boost::asio::awaitable<void>()>;

    // The log.
    boost::asio::awaitable<Result<LogFinding>> fetch();
    boost::asio::awaitable<Result<LogFinding>> catchUp();
    boost::asio::awaitable<void> loadNewestSnapshot();
    boost::asio::awaitable<Result<LogPage>> newestSnapshotRecords(std::size_t maxRecords);
    boost::asio::awaitable<void> notePublishedSnapshots();
    boost::asio::awaitable<void> publishSnapshot();
    void noteLog(const Result<LogPage> &page);
    void noteFinding(const LogCheckResult &judgement);
    boost::asio::awaitable<void> readBack(Offset appended, Instant deadline);

    // The peers.
    void forward(Offset from);
    void pushTo(const Endpoint &peer, Offset from);
    Endpoint endpointOf(const PeerSender &sender) const;
    std::vector<Member> peers() const;
    std::optional<Member> randomPeer(Offset minApplied);
    boost::asio::awaitable<void> pullFrom(Endpoint peer);
    void notePeerProgress(Offset applied);

    // Common to both.
    bool applyUpdate(const ConfigUpdate &update, std::string_view source);
    void reportDifferentLog(const std::string &detail);
    bool load(ConfigTable table, std::string_view source);
    void markInForce(const std::string &detail);
    void noteNewest(Offset newest);
    void noteProgress();
    boost::asio::awaitable<void> repeat(Duration interval, Step step);
    boost::asio::awaitable<void> gossipAndRepair();
    boost::asio::awaitable<void> pollLoop();
    boost::asio::awaitable<void> sleep(Duration duration);
    void spawn(boost::asio::awaitable<void> task);

    boost::asio::io_context &m_context;
    ConfigState &m_state;
    Settings m_settings;
    LogAccess m_log;
    ConfigPeerAccess m_peers;
    Members m_members;
    EventSink m_events;
    Clock m_clock;
    std::mt19937_64 m_random;
    SnapshotSchedule m_snapshots;
    std::vector<Timer *> m_timers; // of the sleeps in progress, for stop()
    bool m_running = false;

    ConfigPhase m_phase = ConfigPhase::Starting;
    std::string m_detail;
    bool m_logReachable = false;
    bool m_logTried = false;
    bool m_logWentBack = false;
    bool m_peersTried = false;
    bool m_pulling = false;
    LogPage m_logExtent; // without records
    Offset m_newest = 0;
    // End of the log at its first read; the configuration is in force from there on.
    std::optional<Offset> m_firstLogEnd;
    bool m_snapshotTried = false;
    bool m_snapshotMissing = false;
    Offset m_behindTarget = 0;
    std::optional<Instant> m_behindSince; // when m_behindTarget was first reported
    bool m_behindReported = false;
    std::optional<Instant> m_lastCurrentPeerAt; // last contact with a peer that isn't behind this proxy
    std::optional<Instant> m_lastVerified;
};

} // namespace mulberryplank
