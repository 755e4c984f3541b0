#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/asio/signal_set.hpp>

#include "mulberryplank/app/gatewaysettings.h"
#include "mulberryplank/net/adminserver.h"
#include "mulberryplank/net/allowancemessages.h"
#include "mulberryplank/net/budgetmessages.h"
#include "mulberryplank/net/discoveryclient.h"
#include "mulberryplank/net/domainloadmessages.h"
#include "mulberryplank/net/fleetregistry.h"
#include "mulberryplank/net/gatewayserver.h"
#include "mulberryplank/net/knowledgemessages.h"
#include "mulberryplank/net/memberservice.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/net/poisonguard.h"
#include "mulberryplank/net/ratelimitmessages.h"
#include "mulberryplank/net/reportbatch.h"
#include "mulberryplank/net/seedpublisher.h"
#include "mulberryplank/net/storehistory.h"
#include "mulberryplank/net/targetnoticemessages.h"
#include "mulberryplank/net/targettunnel.h"
#include "mulberryplank/policy/accountallowances.h"
#include "mulberryplank/policy/announcedversions.h"
#include "mulberryplank/policy/drainplan.h"
#include "mulberryplank/policy/ingresschoice.h"
#include "mulberryplank/policy/peerchoice.h"
#include "mulberryplank/policy/placement.h"
#include "mulberryplank/policy/ratelimitshare.h"
#include "mulberryplank/policy/retryallowanceshare.h"

#include "mulberryplank/net/clock.h"
#include "storeclient.h"

namespace mulberryplank
{

namespace internal
{

// Part of the fleet's retry budget that the gateways distribute among themselves. The rest is a reserve: gateways that
// have just started or see different members may together use more than their shares, and some requests count as
// attempts but don't add to the budget.
inline constexpr double DistributedBudgetShare = 0.9;

// Maximum delay of reports to other ingress gateways that aren't urgent.
inline constexpr Duration MaxReportDelay = Millis(40);

// Attempts of its budget that an ingress gateway reserves for its own requests when another gateway requests a loan.
inline constexpr double LenderReserve = 3;

// How long a gateway that gave no response isn't queried for updates, and how long one without a list of targets isn't
// queried for the list. The latter is shorter because such a gateway gets the list within one interval between reads.
inline constexpr Duration UnresponsivePeerLifetime = Seconds(2);
inline constexpr Duration MissingListLifetime = Millis(500);

// How long a gateway that couldn't be used as a relay isn't selected again.
inline constexpr Duration FailedRelayLifetime = Seconds(2);

} // namespace internal

// Assembles a gateway: a proxy that gets its routes, targets and fleet members from the platform's store. Everything
// runs on one thread, because the VMs give a process only a part of one core.
class GatewayProcess
{
public:
    using Reload = std::function<Result<GatewaySettings>()>;

    // Returns the total number of dropped log lines.
    using LinesDropped = std::function<std::uint64_t()>;

    GatewayProcess(const GatewaySettings &settings, Reload reload, EventSink events, LinesDropped linesDropped);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Runs until the process has drained, and returns its exit code. Throws boost::system::system_error when an address
    // can't be bound.
    int run();

private:
    // Peers through which the process joins the fleet.
    struct Seeds {
        std::vector<Endpoint> peers;
        std::size_t sameDomain = 0; // number of leading `peers` in the own failure domain
    };

    // gatewayprocess.cpp
    void setUpForwarding();
    ForwardService &service(const ServiceName &name);
    void configureTargets(const TargetDirectory &directory, bool fresh);
    boost::asio::awaitable<void> tickForever();
    void awaitSignal();
    void applyBufferSize();
    void reloadSettings();
    void checkSettingsFile();
    void stop(int signal);
    boost::asio::awaitable<void> drain();
    void finish(std::uint64_t aborted);

    // gatewayjoin.cpp: joining the fleet
    boost::asio::awaitable<void> joinFleetAndStart();
    void startPeers(const FleetBootstrap &bootstrap);
    void registerDatagramHandlers();
    void startMembers(const Seeds &seeds);
    void startDiscovery();
    void startSeedPublisher(std::vector<FleetSeed> seeds);
    void handleStoreWentBack();
    void handleKeyFound(const std::string &key);
    boost::asio::awaitable<void> signWithFoundKey(std::string key);
    FleetSeed ownSeed() const;
    Seeds otherSeeds(const std::vector<FleetSeed> &seeds) const;

    // gatewayfleet.cpp: communication with other gateways
    void applyMembers();
    void mergeReports(const std::vector<AttemptReport> &reports);
    void notePeerUnreadable(const PeerSender &sender, const Error &error);
    void shareSuccesses();
    void sendReports(const std::vector<AttemptReport> &reports);
    void awaitReportsDue();
    void updateRetryAllowance(Instant now);
    bool requestBudget(const ServiceName &name);
    void lendBudget(const PeerSender &sender, const BudgetMessage &message);
    void borrowBudget(const BudgetMessage &message);
    void announceAsReader(const UpdateHint &hint);
    void announceInDomain(const UpdateHint &hint);
    std::vector<Member> aliveOtherIngressMembers() const;
    std::vector<Member> liveOthers() const;
    std::vector<Member> othersInDomain() const;
    boost::asio::awaitable<Result<PeerUpdate>> queryPeer(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> queryPeerForList(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> queryReader(PeerUpdateRequest request);
    boost::asio::awaitable<Result<PeerUpdate>> queryMember(Member peer, PeerUpdateRequest request, Duration timeout);
    bool isIngress(Incarnation incarnation) const;
    bool hasOtherReader() const; // true: another gateway is the designated reader of this failure domain
    Member self() const;
    std::vector<Member> members() const;
    LocateResponse locate(const FailureDomain &callerDomain) const;

    // gatewaycrashes.cpp: requests that crash their targets
    std::unique_ptr<PoisonGuard> makePoisonGuard();
    void setUpCrashHandling();
    void handleQuarantined(const PeerSender &sender, const std::vector<QuarantinedRequest> &requests);
    void requestQuarantined(const Seeds &seeds);
    void sendQuarantined(const std::vector<QuarantinedRequest> &requests, const std::vector<Member> &receivers);
    std::vector<Member> crashReceivers() const;
    std::vector<Member> randomMembers(std::size_t count);
    std::vector<Member> nextMember() const;
    bool writesQuarantine() const;

    // gatewayaccounts.cpp: limits of client accounts
    void setUpAccounts();
    DataAwaitable<std::optional<Duration>> admit(const ClientAccount &account, std::uint32_t priority);
    void queryAllowance(const ClientAccount &account, std::uint32_t priority);
    void lendAllowance(const PeerSender &sender, const AllowanceMessage &message);
    void borrowAllowance(const AllowanceMessage &message);

    // gatewayknowledge.cpp: knowledge of targets from other gateways
    struct KnowledgeState {
        Instant learnedAt {};
        Instant askedAt {};
    };
    void setUpKnowledge();
    bool hasOwnKnowledge(Instant now) const;
    DataAwaitable<void> ensureKnowledge(const ServiceName &name);
    bool queryKnowledge(const ServiceName &name, KnowledgeState &state, Instant now);
    void tellKnowledge(const PeerSender &sender, const KnowledgeMessage &query);
    void learn(const KnowledgeMessage &message);

    // gatewaydomains.cpp: demand that leaves a failure domain
    void updateDomainsWithProxies();
    void updateDomainShares();
    bool mustReportLoad(const DomainLoad &own, const DomainShares &reports, Instant now) const;
    void sendDomainLoads(const DomainLoadMessage &message);
    void mergeDomainLoads(const PeerSender &sender, const DomainLoadMessage &message);
    void writeDomainMetrics(MetricsText &text) const;
    void logDomainShare(const ServiceName &name, const DomainShares &shares);

    // gatewayratelimits.cpp: rate limits that targets name
    void setUpTargetNotices();
    void handleTargetNotice(const ServiceName &name,
                            const TargetName &target,
                            const TargetNotice &notice,
                            Incarnation relay);
    void mergeTargetNotice(const TargetNoticeReport &report);
    TargetNotice applyTargetNotice(const ServiceName &name,
                                   const TargetName &target,
                                   const TargetNotice &notice,
                                   std::string_view source);
    void setUpRateLimits();
    RateLimitShare rateLimitShareOf(const AnnouncedTarget &target, double perSecond) const;
    void updateRateLimitShares();
    void handleRateLimit(const ServiceName &name, const TargetName &target, const RateLimitNotice &notice);
    void mergeRateLimits(const std::vector<RateLimitReport> &reports);
    void announceRateLimits();
    std::vector<Member> targetNewsReceivers();
    void logRateLimit(const ServiceName &name,
                      const TargetName &target,
                      const RateLimitNotice &notice,
                      std::string_view source) const;

    // gatewaypaths.cpp: paths to targets, and relays while they are lost
    void setUpPaths();
    bool isIsolated() const; // true: no target was reached since several services were lost
    bool usesRelays(const ServiceName &name);
    bool hasRelay() const;
    std::optional<Member> chooseOwnRelay();
    void noteConnection(const ServiceName &name, const TargetName &target, bool reached, Instant openedAt);
    void handlePathLost(const ServiceName &name);
    void handlePathRestored(const ServiceName &name);
    void checkPath(const ServiceName &name);
    void checkPaths(const std::vector<ServiceName> &names);
    void checkLostPaths();
    std::vector<ServiceName> randomServices(bool lost);
    DataAwaitable<void> checkTarget(ServiceName name, TargetName target, Endpoint endpoint);
    DataAwaitable<Result<TargetConnectionPtr>> connectThroughRelay(TargetName target);
    Result<TargetConnectionPtr> adoptTunnel(const OpenedTunnel &tunnel, Incarnation relay);
    Result<Endpoint> locateForTunnel(const TargetName &target);
    void closeConnections(const ServiceName &name);
    void closeObsoleteTunnels();

    // gatewayqueries.cpp: readiness, locate, metrics and dumps
    boost::asio::awaitable<AdminResponse> handleReady(AdminRequest request);
    boost::asio::awaitable<AdminResponse> handleLocate(AdminRequest request);
    boost::asio::awaitable<void> awaitJoin();
    bool isReady() const;
    bool isSelectable() const; // true: callers may be directed to this process
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
    StoreHistory m_storeHistory;
    // The target that a report of another gateway refers to.
    struct KnownTarget {
        ForwardService *service = nullptr;
        ServiceName serviceName;
        TargetName name;
        Endpoint endpoint;
    };

    std::map<ServiceName, std::unique_ptr<ForwardService>> m_services;
    std::unordered_map<TargetKey, KnownTarget> m_targetsByKey;
    GatewayContext m_gateway;
    std::unique_ptr<PoisonGuard> m_poison;
    CrashDetector m_crashes;
    std::unique_ptr<DiscoveryClient> m_discovery;
    std::unique_ptr<GatewayServer> m_server;
    AdminServer m_readyServer;
    AdminServer m_locateServer;
    std::unique_ptr<PeerTransport> m_peers; // set once the fleet's key is known
    std::unique_ptr<MemberService> m_members; // likewise
    std::unique_ptr<SeedPublisher> m_seeds; // likewise
    std::string m_fleetKey; // signs the messages between gateways
    std::size_t m_registeredSeeds = 0; // number of seeds in the store when the process started
    bool m_isFirstStart = false; // the whole fleet is starting for the first time
    bool m_discoveryStarted = false;
    const Instant m_startedAt = Clock::now();
    TunnelServer m_tunnels; // of other gateways, to targets
    std::set<ServiceName> m_lostPaths; // services whose targets this process can't reach
    Instant m_lastPathLost {}; // when the newest of them was lost
    Instant m_lastReached {}; // when a target of a service whose path is not lost was last connected to
    RecentlyFailedPeers m_failedRelays { internal::FailedRelayLifetime };
    std::map<ServiceName, KnowledgeState> m_knowledge; // from other gateways
    std::uint64_t m_domainLoadBytes = 0; // of DomainLoad messages sent to other failure domains
    std::map<ServiceName, double> m_loggedDomainShares;
    std::optional<Instant> m_ingressSince; // while this process is an ingress gateway
    LimitHolders m_limitHolders;
    AccountAllowances m_allowances;
    RateLimitAnnouncer m_rateLimits; // changes for the other ingress gateways
    ReportBatch m_reports; // for the other ingress gateways
    Timer m_reportsDue;
    bool m_awaitsReportsDue = false;
    RetryAllowanceShare m_retryAllowanceShare; // this gateway's share of each service's fixed retry allowance
    double m_loggedRetryAllowance = 0;
    std::size_t m_liveMembers = 1; // including this one
    std::vector<Member> m_ingressMembers; // the gateways that callers are directed to
    // Reads the store for this failure domain. Gateways that know the same members choose the same reader.
    std::optional<Member> m_designatedReader;
    bool m_readsConfiguration = false; // from the store
    AnnouncedVersions m_announcedVersions; // by other gateways, of the configuration
    RecentlyFailedPeers m_unresponsivePeers { internal::UnresponsivePeerLifetime };
    // Several gateways are queried for a list at short intervals, each time another one.
    RecentlyFailedPeers m_peersWithoutList { internal::MissingListLifetime, Duration {} };
    std::shared_ptr<const std::vector<Member>> m_appliedMembers; // the members that m_ingressMembers were chosen from
    boost::asio::signal_set m_signals;
    std::filesystem::file_time_type m_fileTime {};
    Instant m_nextFileCheck {};
    bool m_draining = false;
    bool m_endsEarly = false; // the drain doesn't wait for the requests in progress
    int m_exitCode = 0;
};

} // namespace mulberryplank
