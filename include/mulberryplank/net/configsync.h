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

// Why a proxy is ready, or isn't.
enum class ConfigPhase : std::uint8_t {
    Starting, // neither the log nor a peer has answered yet
    NoSource, // neither can be reached: waiting rather than guessing
    NoSnapshot, // the log has expired records, and neither a snapshot nor a peer makes up for them
    InForce, // has a configuration
};

std::string_view toString(ConfigPhase phase);

// The state of a proxy's configuration, for operators, readiness and the choice of proxies that are named to callers.
struct ConfigStatus {
    ConfigPhase phase = ConfigPhase::Starting;
    Offset applied = 0;
    Offset newest = 0; // the highest offset that the log or a peer was heard to have
    bool behind = false; // has been behind `newest` for longer than BehindLimit
    bool readsLog = false; // one of those that read the log for the others
    bool logReachable = false;
    bool logWentBack = false; // the log isn't the one that was applied: edits aren't followed until it is again
    std::string detail; // for people

    bool ready() const
    {
        return phase == ConfigPhase::InForce;
    }
};

// How ConfigSync reaches the log. Errors: PlatformUnavailable.
struct LogAccess {
    std::function<boost::asio::awaitable<Result<LogPage>>(
        std::string stream, Offset from, std::size_t maxRecords, Millis wait)>
        read;
    std::function<boost::asio::awaitable<Result<Offset>>(std::string stream, std::string record)> append;
};

// How ConfigSync reaches other proxies.
struct ConfigPeerAccess {
    std::function<Result<void>(const Endpoint &to, std::string_view payload)> push; // may be lost
    std::function<boost::asio::awaitable<Result<std::string>>(Endpoint to, std::string payload)> pull;
};

LogAccess accessTo(LogClient &client);
ConfigPeerAccess accessTo(PeerTransport &transport, Duration timeout);

// Brings every accepted edit to this process and on to others. In each failure domain a few proxies read the log; what
// is new they push to a few peers, who push it on; each second every proxy tells one random peer how far it is, and
// whoever finds itself behind pulls. A proxy that no peer reaches reads the log itself. Nothing older is ever applied.
//
// All of it runs on one io_context that one thread runs; edits under way, peers' messages and status() too.
class ConfigSync
{
public:
    struct Settings {
        VmName self;
        std::size_t pollersPerDomain = 2;
        std::size_t pushFanout = 4; // peers that each proxy pushes update to
        std::size_t maxPush = 1'000; // bytes of records in a datagram
        std::size_t pageRecords = 64; // records read from the log at once
        Millis pollWait { 2'000 }; // how long a read of the log waits for update
        Duration gossipInterval = Seconds(1);
        Duration peerTimeout = Seconds(5); // without update of peers for so long, a proxy reads the log itself
        Duration verifyInterval = Seconds(10); // how often it is checked that the log is still the same
        Duration snapshotCheckInterval = Seconds(5);
        Duration retryInterval = Millis(200); // between two tries to append an edit
        SnapshotSchedule::Settings snapshots;
        std::uint64_t seed = 1;
    };

    using Members = std::function<std::vector<Member>()>; // all known members, with or without this process
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

    // Takes over what peers send through `transport`. To be called before its start().
    void attach(PeerTransport &transport);

    // Begins to read, push and pull.
    void start();

    // Ends it. The object must live until the io_context has run what is under way.
    void stop();

    // Takes the configuration from a snapshot that an operator hands in, for a fleet that was restarted as a whole
    // while the log is away. Where something newer is known already, that is put in force. Errors: BadConfiguration;
    // Conflict when it comes from another log.
    Result<void> loadLastKnown(std::string_view snapshot);

    // Appends the edit and waits until its outcome is read back from the log. A lost answer is followed by an append
    // with the same id, which the table decides once. Errors: BadConfiguration (nothing was appended);
    // PlatformUnavailable: the edit isn't known to be accepted yet, and may be submitted again with the same id.
    boost::asio::awaitable<Result<EditOutcome>> submit(Edit edit, Duration timeout);

    ConfigStatus status() const;

    // The steps that start() repeats, for tests and for start().

    // Reads the log to its end, waiting up to `wait` for update when it has been there already, and applies what
    // follows on. Returns false if the log can't be reached or followed now.
    boost::asio::awaitable<bool> readLog(Millis wait);

    // Tells one random peer how far this proxy is.
    void gossip();

    // Pulls from a peer that is further, if one is known, or from any while there is no configuration yet.
    boost::asio::awaitable<void> repair();

    // Publishes a snapshot if one is due.
    boost::asio::awaitable<void> maintainSnapshots();

    // Takes a peer's datagram.
    void onPush(const PeerSender &sender, std::string_view payload);

    // Answers a peer's call.
    Result<std::string> onPull(const PeerSender &sender, std::string_view payload);

    // Returns true if this proxy should read the log now.
    bool shouldReadLog() const;

private:
    using Step = std::function<boost::asio::awaitable<void>()>;

    // Log side.
    boost::asio::awaitable<Result<LogFinding>> fetch();
    boost::asio::awaitable<Result<LogFinding>> catchUp();
    boost::asio::awaitable<void> loadNewestSnapshot();
    boost::asio::awaitable<Result<LogPage>> newestSnapshotRecords(std::size_t maxRecords);
    boost::asio::awaitable<void> notePublishedSnapshots();
    boost::asio::awaitable<void> publishSnapshot();
    void noteLog(const Result<LogPage> &page);
    void noteFinding(const LogCheckResult &judgement);
    boost::asio::awaitable<void> readBack(Offset appended, Instant deadline);

    // Peers' side.
    void forward(Offset from);
    void pushTo(const Endpoint &peer, Offset from);
    Endpoint endpointOf(const PeerSender &sender) const;
    std::vector<Member> peers() const;
    std::optional<Member> randomPeer(Offset minApplied);
    boost::asio::awaitable<void> pullFrom(Endpoint peer);
    void notePeerProgress(Offset applied);

    // Both.
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
    std::vector<Timer *> m_timers; // of the pauses under way, for stop()
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
    std::optional<Offset> m_firstLogEnd; // the end of the log when it was first read: in force from there on
    bool m_snapshotTried = false;
    bool m_snapshotMissing = false;
    Offset m_behindTarget = 0;
    std::optional<Instant> m_behindSince; // when m_behindTarget was heard of
    bool m_behindReported = false;
    std::optional<Instant> m_lastCurrentPeerAt; // from a peer that is at minApplied as far
    std::optional<Instant> m_lastVerified;
};

} // namespace mulberryplank
