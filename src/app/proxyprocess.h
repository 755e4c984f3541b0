#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>

#include "assignedservices.h"
#include "mulberryplank/app/eventlog.h"
#include "mulberryplank/app/settings.h"
#include "mulberryplank/net/adminserver.h"
#include "mulberryplank/net/callerserver.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/configsync.h"
#include "mulberryplank/net/logclient.h"
#include "mulberryplank/net/memberservice.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/net/prober.h"
#include "mulberryplank/net/shareexchange.h"
#include "mulberryplank/net/vmlistclient.h"
#include "mulberryplank/state/configstate.h"
#include "mulberryplank/state/requestmetrics.h"
#include "mulberryplank/state/serviceregistry.h"

namespace mulberryplank
{

// The keys read from a proxy's key files.
struct ProxyKeys {
    std::vector<std::string> operators;
    std::vector<std::string> fleet; // the first key signs; each key can verify
};

// Assembles a proxy. Worker threads serve callers' requests. One control thread, the one that calls run(), does
// everything else: operators, the log, peers, ticks, signals.
class ProxyProcess
{
public:
    ProxyProcess(const Settings &settings, ProxyKeys keys, EventSink events);
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;

    // Runs until the process has drained, and returns its exit code. Throws boost::system::system_error when an address
    // can't be bound.
    int run();

private:
    // Who asks the process to stop.
    enum class StopRequest : std::uint8_t {
        Platform, // SIGTERM
        Operator, // SIGINT, or a call at the address for operators
    };

    // proxyprocess.cpp
    void setUpCallers();
    void startWorkers();
    void stopWorkers();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> pollVmList();
    void awaitSignal();

    // proxyconfig.cpp: the configuration and what depends on it
    void setUpConfiguration(std::vector<std::string> fleetKeys);
    void loadLastKnown();
    bool hasJoinedFleet() const;
    void applyConfiguration();
    void setUpFleet();
    void setAssignedPeers(const ServiceName &service,
                          const std::vector<AssignedPeer> &proxies,
                          bool assignedHere,
                          Instant now);
    MemberServiceSettings memberSettings() const;
    std::optional<ServiceAccess> findService(const ServiceName &name) const;
    Result<std::string> locate(const ServiceName &service, const AccountName &account) const;
    std::vector<Member> members() const;
    Member self() const;

    // proxyadmin.cpp: requests of operators
    boost::asio::awaitable<AdminResponse> handleOperatorRequest(AdminRequest request);
    boost::asio::awaitable<AdminResponse> handleEdit(AdminRequest request);
    std::optional<AdminResponse> handleQuery(const AdminRequest &request) const;
    std::string table() const;
    std::string dump() const;
    boost::json::object statusJson() const;
    bool isInForceEverywhere(Offset offset) const;
    std::string metrics() const;

    // proxydrain.cpp
    void stop(StopRequest request);
    boost::asio::awaitable<void> drain();
    void closeIdleCallers();
    void endRequests();
    void finishDrain(std::uint64_t aborted);

    Settings m_settings;
    EventSink m_events;
    Incarnation m_incarnation;
    Instant m_started;
    boost::asio::io_context m_control { 1 };
    ConfigState m_config;
    ServiceRegistry m_services;
    RequestMetrics m_metrics;
    AtMostOnceState m_atMostOnceState;
    CallerContext m_callers;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
    std::unique_ptr<CallerServer> m_callerServer;
    AdminServer m_adminServer;
    LogClient m_log;
    VmListClient m_vmList;
    std::unique_ptr<PeerTransport> m_peers;
    std::unique_ptr<ConfigSync> m_configSync;
    boost::asio::signal_set m_signals;
    std::unique_ptr<MemberService> m_members;
    std::unique_ptr<EvidenceExchange> m_evidence;
    std::unique_ptr<ShareExchange> m_shares;
    std::unique_ptr<Prober> m_prober;
    PlacementSettings m_placement;
    std::unique_ptr<AssignedServices> m_assignedServices;
    mutable std::atomic<std::uint64_t> m_locateSeed { 0 };
    bool m_vmListReachable = true;
    bool m_draining = false;
    bool m_endsEarly = false; // the drain doesn't wait for the requests in progress
    int m_exitCode = 0;
};

} // namespace mulberryplank
