#include "gatewayprocess.h"

#include <iostream>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include "configdecoder.h"
#include "directoryapi.h"
#include "headers.h"
#include "mulberryplank/app/eventlog.h"
#include "mulberryplank/app/gateway.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

constexpr Duration TickInterval = Millis(500); // of tasks that aren't urgent: members, files, expiries
constexpr Duration FileCheckInterval = Seconds(2);
constexpr Duration DrainPollInterval = Millis(50);
// The process finishes this long before the end of the grace period and aborts the remaining requests, so that the
// system doesn't have to kill it.
constexpr Duration FinishMargin = Millis(600);
// How long the process waits until the remaining requests have their responses.
constexpr Duration ResponseMargin = Millis(100);
// The process stops accepting requests this long before the middle of the grace period. A request that is accepted
// later may not be finished, and the time is checked only once in an interval.
constexpr Duration AcceptanceMargin = 2 * DrainPollInterval;
// Added to the lifetime of a locate response, because some callers keep a response slightly longer.
constexpr Duration LifetimeMargin = Seconds(1);

TargetPool::Settings poolSettings()
{
    TargetPool::Settings settings;
    settings.idleLimit = Seconds(8);
    settings.nonIdempotentIdleLimit = Seconds(4);
    settings.idlePerTarget = 16;
    return settings;
}

Incarnation randomIncarnation()
{
    std::random_device device;
    return (static_cast<Incarnation>(device()) << 32U) | device();
}

} // namespace

} // namespace internal

GatewayProcess::GatewayProcess(const GatewaySettings &settings,
                               Reload reload,
                               EventSink events,
                               LinesDropped linesDropped)
    : m_settings(settings)
    , m_reload(std::move(reload))
    , m_events(std::move(events))
    , m_linesDropped(std::move(linesDropped))
    , m_incarnation(internal::randomIncarnation())
    , m_random(m_incarnation)
    , m_worker(internal::poolSettings())
    , m_store(m_worker.context, settings.store, platform::StoreTimeouts {})
    , m_storeHistory(
          m_store.keyedStore(),
          [this] {
              handleStoreWentBack();
          },
          m_events)
    , m_gateway { {}, WeightedSplit(m_incarnation), {}, {}, {} }
    , m_poison(makePoisonGuard())
    , m_crashes(m_worker,
                {},
                { [this](RequestFingerprint request) {
                     return m_poison->hasSucceeded(request);
                 },
                  [this](const CrashReport &report) {
                      m_poison->recordCrash(report);
                  },
                  [this] {
                      return isIsolated();
                  },
                  [this](TargetName target) {
                      return connectThroughRelay(std::move(target));
                  } },
                m_events)
    , m_readyServer(
          m_worker.context,
          settings.ready,
          {},
          { platform::ReadyPath, "/metrics" },
          [this](AdminRequest request) {
              return handleReady(std::move(request));
          },
          m_events)
    , m_locateServer(
          m_worker.context,
          settings.locate,
          {},
          { platform::LocatePath },
          [this](AdminRequest request) {
              return handleLocate(std::move(request));
          },
          m_events)
    , m_tunnels(m_worker.context,
                {},
                { [this](const TargetName &target) {
                     return locateForTunnel(target);
                 },
                  [this](const TargetName &target, bool reached, Instant openedAt) {
                      const auto found = m_targetsByKey.find(targetKey(target));
                      if (found != m_targetsByKey.end()) {
                          noteConnection(found->second.serviceName, target, reached, openedAt);
                      }
                  } })
    , m_limitHolders(settings.vm, {})
    , m_allowances(m_limitHolders, { settings.accountWindow })
    , m_reports(internal::MaxReportDelay)
    , m_reportsDue(m_worker.context)
    , m_retryAllowanceShare({ settings.retrySlack * internal::DistributedBudgetShare, settings.retryWindow })
    , m_signals(m_worker.context, SIGTERM, SIGINT, SIGHUP)
{
    m_signals.add(SIGUSR1);
    setUpForwarding();
    setUpCrashHandling();
    setUpAccounts();
    setUpKnowledge();
    setUpRateLimits();
    setUpTargetNotices();
    setUpPaths();
    m_server = std::make_unique<GatewayServer>(m_gateway, m_settings.caller);
}

GatewayProcess::~GatewayProcess() = default;

void GatewayProcess::setUpForwarding()
{
    m_gateway.forward.worker = &m_worker;
    applyBufferSize();
    m_gateway.forward.codec = platform::headerCodec();
    m_gateway.forward.events = m_events;
    m_gateway.forward.service = [this](const ServiceName &name) -> ForwardService & {
        return service(name);
    };
    m_gateway.forward.share = [this](const AttemptReport &report) {
        sendReports(m_reports.add(report, Clock::now()));
        awaitReportsDue();
    };
    m_gateway.forward.requestBudget = [this](const ServiceName &name) {
        return requestBudget(name);
    };
    DiscoveryHooks hooks;
    hooks.configurationKey = platform::ConfigurationKey;
    hooks.decodeRoutes = platform::decodeConfiguration;
    hooks.decodeTarget = platform::decodeTarget;
    hooks.routesChanged = [this](const RouteTablePtr &routes) {
        if (m_readsConfiguration) {
            announceInDomain({ routes->version });
        }
    };
    hooks.targetsRead = [this](const TargetDirectory &directory, bool fresh) {
        configureTargets(directory, fresh);
    };
    hooks.queryPeer = [this](PeerUpdateRequest request) {
        return queryPeer(request);
    };
    hooks.queryReader = [this](PeerUpdateRequest request) {
        return queryReader(request);
    };
    hooks.hasReader = [this] {
        return hasOtherReader();
    };
    hooks.readsConfiguration = [this] {
        return m_readsConfiguration;
    };
    hooks.followersInDomain = [this] {
        return othersInDomain().size() + 1;
    };
    hooks.storeChanged = [this](bool firstToRecover) {
        if (firstToRecover) {
            announceInDomain({});
        } else {
            announceAsReader({});
        }
    };
    hooks.listChanged = [this] {
        announceAsReader({ versionInForce() });
    };
    m_discovery = std::make_unique<DiscoveryClient>(
        m_worker.context, m_storeHistory, DiscoverySettings {}, std::move(hooks), m_incarnation, m_events);
    m_gateway.routes = [this] {
        return m_discovery->routes();
    };
    m_gateway.awaitRoutes = [this] {
        return m_discovery->awaitRoutes();
    };
    m_gateway.ensureTargets = [this] {
        return m_discovery->ensureTargets();
    };
}

ForwardService &GatewayProcess::service(const ServiceName &name)
{
    std::unique_ptr<ForwardService> &slot = m_services[name];
    if (!slot) {
        BalancerSettings balancer;
        balancer.ownDomain = m_settings.failureDomain;
        balancer.heartbeat = m_settings.heartbeat;
        balancer.stayShare = m_settings.stayInDomain / 100;
        WindowBudgetSettings budget;
        budget.ratio = m_settings.retryRatio * internal::DistributedBudgetShare;
        budget.window = m_settings.retryWindow;
        budget.fixedAllowance = 0;
        const auto reportSuspicion = [this, name](const SuspicionChange &change) {
            m_events(change.suspected ? Event::TargetSuspected : Event::TargetReturned,
                     { { "service", name.value() },
                       { "target", change.id.value() },
                       { "failure_domain", change.failureDomain.value() },
                       { "belief", change.faultProbability },
                       { "evidence", std::string(toString(change.evidence)) } });
        };
        const auto dropConnections = [this](const Endpoint &endpoint) {
            m_worker.pool.closeIdle(endpoint);
        };
        const auto shareOf = [this](const AnnouncedTarget &target, double perSecond) {
            return rateLimitShareOf(target, perSecond);
        };
        slot.reset(new ForwardService { TargetBalancer(balancer, m_random(), reportSuspicion, dropConnections, shareOf),
                                        WindowBudget(budget) });
        applyMembers();
    }
    return *slot;
}

void GatewayProcess::configureTargets(const TargetDirectory &directory, bool fresh)
{
    std::map<ServiceName, std::vector<ListedTarget>> byService;
    for (const auto &[id, listed] : directory.targets()) {
        byService[listed.target.service].push_back(listed);
    }
    for (const auto &[name, listed] : byService) {
        service(name);
    }
    m_targetsByKey.clear();
    for (auto &[name, known] : m_services) {
        known->balancer.configure(byService[name]);
        known->balancer.setListFresh(fresh);
        for (const ListedTarget &listed : byService[name]) {
            m_targetsByKey[targetKey(listed.target.id)] = {
                known.get(), name, listed.target.id, listed.target.endpoint
            };
        }
    }
}

asio::awaitable<void> GatewayProcess::tickForever()
{
    while (true) {
        co_await sleepFor(m_worker.context, internal::TickInterval);
        applyMembers();
        updateDomainShares();
        shareSuccesses();
        announceRateLimits();
        checkLostPaths();
        closeObsoleteTunnels();
        m_poison->tick();
        m_allowances.prune(Clock::now());
        if (Clock::now() >= m_nextFileCheck) {
            m_nextFileCheck = Clock::now() + internal::FileCheckInterval;
            checkSettingsFile();
        }
    }
}

// Reloads the settings if the settings file has changed, which can happen without a signal.
void GatewayProcess::checkSettingsFile()
{
    if (m_settings.file.empty()) {
        return;
    }
    std::error_code error;
    const auto changed = std::filesystem::last_write_time(m_settings.file, error);
    if (error) {
        m_events(Event::SettingsRefused,
                 { { "vm", m_settings.vm.value() }, { "detail", m_settings.file + ": " + error.message() } });
        return;
    }
    if (changed == m_fileTime) {
        return;
    }
    const bool first = m_fileTime == std::filesystem::file_time_type {};
    m_fileTime = changed;
    if (!first) {
        reloadSettings();
    }
}

void GatewayProcess::applyBufferSize()
{
    constexpr double Megabyte = 1024 * 1024; // bytes
    m_gateway.forward.buffers.setTotal(static_cast<std::size_t>(m_settings.bufferMegabytes * Megabyte));
}

// Applies the settings that can change while the process runs. Addresses and names are the process's identity, so
// changes to them take effect after a restart.
void GatewayProcess::reloadSettings()
{
    const Result<GatewaySettings> read = m_reload();
    if (!read) {
        m_events(Event::SettingsRefused, { { "vm", m_settings.vm.value() }, { "detail", read.error().detail } });
        return;
    }
    m_settings.grace = read->grace;
    m_settings.locateLifetime = read->locateLifetime;
    m_settings.retrySlack = read->retrySlack;
    m_retryAllowanceShare.setTotal(m_settings.retrySlack * internal::DistributedBudgetShare);
    m_settings.entriesPerDomain = read->entriesPerDomain;
    m_settings.bufferMegabytes = read->bufferMegabytes;
    applyBufferSize();
    applyMembers();
    m_events(Event::SettingsReloaded, { { "detail", m_settings.file } });
}

void GatewayProcess::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGUSR1) {
            m_events(Event::StateDumped, { { "vm", m_settings.vm.value() }, { "dump", dump() } });
        } else if (signal == SIGHUP) {
            reloadSettings();
        } else {
            stop(signal);
        }
        awaitSignal();
    });
}

// Starts the drain, which a repeated SIGTERM doesn't change. A further SIGINT, which a person sends, ends the requests
// in progress at once, each with a response.
void GatewayProcess::stop(int signal)
{
    if (!m_draining) {
        m_draining = true;
        asio::co_spawn(m_worker.context, drain(), asio::detached);
        return;
    }
    m_endsEarly = m_endsEarly || signal == SIGINT;
    m_events(Event::StopRepeated,
             { { "vm", m_settings.vm.value() },
               { "in_flight", m_gateway.inFlight },
               { "detail", m_endsEarly ? "ends now" : "goes on" } });
}

// Responses during a drain request that callers connect to another gateway.
asio::awaitable<void> GatewayProcess::drain()
{
    m_gateway.draining = true;
    const DrainSettings settings { m_settings.locateLifetime + internal::LifetimeMargin,
                                   m_settings.grace / 2 - internal::AcceptanceMargin,
                                   m_settings.grace - internal::FinishMargin };
    const DrainPlan plan(settings, Clock::now());
    m_events(Event::DrainStarted,
             { { "vm", m_settings.vm.value() },
               { "in_flight", m_gateway.inFlight },
               { "limit_ms", std::chrono::duration_cast<Millis>(m_settings.grace).count() } });
    if (m_members) {
        asio::co_spawn(m_worker.context, m_members->announceLeave(), asio::detached);
    }
    while (!m_endsEarly
           && !plan.isFinished({ m_gateway.inFlight, m_gateway.connections, m_tunnels.count() }, Clock::now())) {
        if (plan.isClosing(Clock::now())) {
            m_gateway.forward.closing = true;
            m_worker.idleCallers.endDelivered();
        }
        co_await sleepFor(m_worker.context, internal::DrainPollInterval);
    }
    const std::uint64_t aborted = m_gateway.inFlight;
    m_gateway.forward.closing = true;
    if (aborted > 0) {
        m_worker.running.endAll();
        co_await sleepFor(m_worker.context, internal::ResponseMargin);
    }
    finish(aborted);
}

// `aborted`: the requests that were ended before their targets' responses.
void GatewayProcess::finish(std::uint64_t aborted)
{
    m_events(Event::DrainFinished,
             { { "vm", m_settings.vm.value() },
               { "in_flight", aborted },
               { "cut", aborted },
               { "connections", m_gateway.connections },
               { "tunnels", m_tunnels.count() },
               { "late_attempts", m_gateway.forward.counters.attemptsWhileClosing } });
    m_exitCode = aborted == 0 ? 0 : 1;
    m_worker.stop();
}

int GatewayProcess::run()
{
    m_server->start();
    m_readyServer.start();
    m_locateServer.start();
    m_events(Event::ProcessStarted,
             { { "vm", m_settings.vm.value() },
               { "incarnation", m_incarnation },
               { "listen", toString(m_settings.caller) },
               { "admin", toString(m_settings.ready) },
               { "peer", toString(m_settings.peer) } });
    awaitSignal();
    asio::co_spawn(m_worker.context, joinFleetAndStart(), asio::detached);
    asio::co_spawn(m_worker.context, tickForever(), asio::detached);
    m_worker.run();
    return m_exitCode;
}

int runGateway(const GatewaySettings &settings, const std::function<Result<GatewaySettings>()> &reload)
{
    EventLogSettings logSettings;
    logSettings.descriptor = STDOUT_FILENO;
    logSettings.threshold = severityFromString(settings.logLevel).value_or(Severity::Info);
    EventLog log(logSettings);
    try {
        GatewayProcess process(settings, reload, log.sink(), [&log] {
            return log.linesDropped();
        });
        return process.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "gateway " << settings.vm.value() << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace mulberryplank
