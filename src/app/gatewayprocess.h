#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <boost/asio/signal_set.hpp>

#include "mulberryplank/app/gatewaysettings.h"
#include "mulberryplank/net/adminserver.h"
#include "mulberryplank/net/budgetmessages.h"
#include "mulberryplank/net/discoveryclient.h"
#include "mulberryplank/net/fleetregistry.h"
#include "mulberryplank/net/gatewayserver.h"
#include "mulberryplank/net/memberservice.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/net/reportbatch.h"
#include "mulberryplank/net/seedpublisher.h"
#include "mulberryplank/policy/ingresschoice.h"
#include "mulberryplank/policy/peerchoice.h"
#include "mulberryplank/policy/placement.h"
#include "mulberryplank/policy/retryallowanceshare.h"

#include "mulberryplank/net/clock.h"
#include "storeclient.h"

namespace mulberryplank
{

namespace internal
{

// What of the fleet's budget for extra attempts the gateways give themselves: those that have just started, or see
// other members than the rest, may together take more than their shares, and some requests count for the attempts but
// not for the budget.
inline constexpr double DistributedBudgetShare = 0.9;

// How long what can wait of the reports for other entries does so.
inline constexpr Duration MaxReportDelay = Millis(40);

// What an bootstrap keeps of its budget for its own requests when another one asks for some.
inline constexpr double LenderReserve = 3;

// How long another gateway that gave no answer isn't asked for news, nor one without a list of targets for that: the
// latter has it within an interval between reads.
inline constexpr Duration UnresponsivePeerLifetime = Seconds(2);
inline constexpr Duration MissingListLifetime = Millis(500);

} // namespace internal

// Wires one gateway together: a proxy whose routes, targets and fleet come from the platform's store. One thread runs
// everything: the VMs give a process a part of one core.
class GatewayProcess
{
public:
    using Reload = std::function<Result<GatewaySettings>()>;

    // Returns how many lines of the log were dropped so far.
    using LinesDropped = std::function<std::uint64_t()>;

    GatewayProcess(const GatewaySettings &settings, Reload reload, EventSink events, LinesDropped linesDropped);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Runs until the process has drained, and returns its exit code. Throws boost::system::system_error when an address
    // can't be bound.
    int run();

private:
    // Where to join: first the seeds of the own failure domain.
    struct Seeds {
        std::vector<Endpoint> peers;
        std::size_t sameDomain = 0; // so many of them are those
    };

    // gatewayprocess.cpp
    void setUpForwarding();
    ForwardService &service(const ServiceName &name);
    void configureTargets(const TargetDirectory &directory, bool fresh);
    boost::asio::awaitable<void> tickForever();
    void awaitSignal();
    void reloadSettings();
    void checkSettingsFile();
    boost::asio::awaitable<void> drain();
    void finish();

    // gatewayjoin.cpp: how the other gateways are found
    boost::asio::awaitable<void> joinFleetAndStart();
    void startPeers(const FleetBootstrap &bootstrap);
    void registerDatagramHandlers();
    void startMembers(const Seeds &seeds);
    void startDiscovery();
    void startSeedPublisher(std::vector<FleetSeed> seeds);
    FleetSeed ownSeed() const;
    Seeds otherSeeds(const std::vector<FleetSeed> &seeds) const;

    // gatewayfleet.cpp: the other gateways
    void applyMembers();
    void mergeReports(const std::vector<AttemptReport> &reports);
    void notePeerUnreadable(const PeerSender &sender, const Error &error);
    void shareSuccesses();
    void sendReports(const std::vector<AttemptReport> &reports);
    void awaitReportsDue();
    void requestBudget(const ServiceName &name);
    void lendBudget(const PeerSender &sender, const BudgetMessage &message);
    void borrowBudget(const BudgetMessage &message);
    void announceAsReader(const UpdateHint &hint);
    void announceInDomain(const UpdateHint &hint);
    std::vector<Member> othersInDomain() const;
    boost::asio::awaitable<Result<PeerUpdate>> queryPeer(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> queryPeerForList(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> queryReader(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> ask(Member peer, PeerUpdateRequest request, Duration timeout);
    bool isIngress() const;
    bool hasOtherReader() const; // the store, for this failure domain
    Member self() const;
    std::vector<Member> members() const;
    LocateResponse locate(const FailureDomain &callerDomain) const;

    // gatewayqueries.cpp: what others ask of the process
    boost::asio::awaitable<AdminResponse> handleReady(AdminRequest request);
    boost::asio::awaitable<AdminResponse> handleLocate(AdminRequest request);
    boost::asio::awaitable<void> awaitJoin();
    bool isReady() const;
    std::uint64_t versionInForce() const; // of the configuration; 0: none yet
    std::string dump() const;
    std::string metrics() const;
    void writeRequestMetrics(MetricsText &text) const;
    void writeServiceMetrics(MetricsText &text) const;

    GatewaySettings m_settings;
    Reload m_reload;
    EventSink m_events;
    LinesDropped m_linesDropped;
    Incarnation m_incarnation;
    std::mt19937_64 m_random;
    Worker m_worker;
    platform::StoreClient m_store;
    // Where what others tell of a target belongs.
    struct KnownTarget {
        ForwardService *service = nullptr;
        TargetName name;
    };

    std::map<ServiceName, std::unique_ptr<ForwardService>> m_services;
    std::unordered_map<TargetKey, KnownTarget> m_targetsByKey;
    GatewayContext m_gateway;
    std::unique_ptr<DiscoveryClient> m_discovery;
    std::unique_ptr<GatewayServer> m_server;
    AdminServer m_readyServer;
    AdminServer m_locateServer;
    std::unique_ptr<PeerTransport> m_peers; // from the moment on at which the fleet's key is known
    std::unique_ptr<MemberService> m_members; // likewise
    std::unique_ptr<SeedPublisher> m_seeds; // likewise
    std::size_t m_registeredSeeds = 0; // in the store, as of the start
    bool m_isFirstStart = false; // with the whole fleet, for the first time
    bool m_discoveryStarted = false;
    const Instant m_startedAt = Clock::now();
    ReportBatch m_reports; // for the other entries
    Timer m_reportsDue;
    bool m_awaitsReportsDue = false;
    RetryAllowanceShare m_retryAllowanceShare; // of the fixed part of each service's budget
    std::vector<Member> m_ingressMembers; // the gateways that callers are named
    std::optional<Member>
        m_designatedReader; // that reads the store for this failure domain; who knows the same members agrees
    bool m_readsConfiguration = false; // from the store
    RecentlyFailedPeers m_unresponsivePeers { internal::UnresponsivePeerLifetime };
    RecentlyFailedPeers m_peersWithoutList { internal::MissingListLifetime };
    std::shared_ptr<const std::vector<Member>> m_appliedMembers; // the members that m_ingressMembers were chosen from
    boost::asio::signal_set m_signals;
    std::filesystem::file_time_type m_fileTime {};
    Instant m_nextFileCheck {};
    bool m_draining = false;
    int m_exitCode = 0;
};

} // namespace mulberryplank
