#include "proxyprocess.h"

#include "mulberryplank/net/clock.h"

#include <csignal>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr Duration TickInterval = Millis(100);
constexpr Duration LogTimeout = Seconds(2);
constexpr Duration VmListTimeout = Seconds(2);
constexpr Duration VmListInterval = Seconds(1);
constexpr std::size_t VmListReaders = 32; // reads of the list per second, over the whole fleet

// Returns the interval at which each process reads the VM list, so that the rate of reads doesn't grow with the fleet.
// The processes of a larger fleet learn of leaving VMs from these VMs first.
Duration vmListInterval(std::size_t members)
{
    const std::size_t intervals = std::max<std::size_t>(1, (members + VmListReaders - 1) / VmListReaders);
    return intervals * VmListInterval;
}

// Returns an incarnation from the system's random numbers, because a restarted process must never be mistaken for the
// process before it.
Incarnation randomIncarnation()
{
    std::random_device device;
    return (static_cast<Incarnation>(device()) << 32U) | device();
}

} // namespace internal

ProxyProcess::ProxyProcess(const Settings &settings, ProxyKeys keys, EventSink events)
    : m_settings(settings)
    , m_events(std::move(events))
    , m_incarnation(internal::randomIncarnation())
    , m_started(Clock::now())
    , m_atMostOnceState(m_incarnation,
                        m_started,
                        AtMostOnceSettings {},
                        [this](Incarnation incarnation) {
                            return m_callers.memberAddress(incarnation).has_value();
                        })
    , m_adminServer(
          m_control,
          settings.admin,
          std::move(keys.operators),
          { "/-/ready" },
          [this](AdminRequest request) {
              return handleOperatorRequest(std::move(request));
          },
          m_events)
    , m_log(m_control, settings.log, internal::LogTimeout)
    , m_vmList(m_control, settings.vmList, internal::VmListTimeout)
    , m_signals(m_control, SIGTERM, SIGINT, SIGUSR1)
{
    for (std::size_t index = 0; index < settings.threads; ++index) {
        m_workers.push_back(std::make_unique<Worker>(TargetPool::Settings {}));
    }
    setUpCallers();
    setUpConfiguration(std::move(keys.fleet));
    setUpFleet();
    m_callerServer = std::make_unique<CallerServer>(m_workers, m_callers, settings.caller);
}

ProxyProcess::~ProxyProcess()
{
    stopWorkers();
}

void ProxyProcess::setUpCallers()
{
    m_callers.incarnation = m_incarnation;
    m_callers.events = m_events;
    m_callers.atMostOnceState = &m_atMostOnceState;
    m_callers.accountDigest = [this](const AccountName &account) {
        return m_config.accountDigest(account);
    };
    m_callers.findService = [this](const ServiceName &service) {
        return findService(service);
    };
    m_callers.locate = [this](const ServiceName &service, const AccountName &account) {
        return locate(service, account);
    };
    m_callers.memberAddress = [this](Incarnation incarnation) -> std::optional<Endpoint> {
        for (const Member &member : members()) {
            if (member.incarnation == incarnation && member.status != MemberStatus::Dead) {
                return member.caller;
            }
        }
        return std::nullopt;
    };
    m_callers.recordLatency = [this](Duration total, Duration timeAtTarget) {
        m_metrics.record(total, timeAtTarget);
    };
}

void ProxyProcess::startWorkers()
{
    for (const std::unique_ptr<Worker> &worker : m_workers) {
        m_threads.emplace_back([&worker] {
            worker->run();
        });
    }
}

void ProxyProcess::stopWorkers()
{
    for (const std::unique_ptr<Worker> &worker : m_workers) {
        worker->stop();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

asio::awaitable<void> ProxyProcess::tickForever()
{
    Timer timer(m_control);
    while (true) {
        timer.expires_after(internal::TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const Instant now = Clock::now();
        applyConfiguration();
        m_evidence->tick(now);
        m_shares->tick(now);
        m_prober->tick(now);
        for (const ServedService &served : m_services.all()) {
            deliverAll(served.state->tick(now));
        }
    }
}

asio::awaitable<void> ProxyProcess::pollVmList()
{
    Timer timer(m_control);
    while (true) {
        const Result<std::vector<ListedVm>> listed = co_await m_vmList.read();
        if (listed.has_value() != m_vmListReachable) {
            m_vmListReachable = listed.has_value();
            m_events(m_vmListReachable ? Event::PlatformBack : Event::PlatformDown,
                     { { "address", toString(m_settings.vmList) },
                       { "detail", listed ? "VM list" : listed.error().detail } });
        }
        if (listed) {
            std::unordered_map<VmName, VmHint> hints;
            std::vector<std::string> leavingHosts;
            for (const ListedVm &vm : *listed) {
                hints[vm.vm] = vm.leaving ? VmHint::Leaving : VmHint::Live;
                if (vm.leaving) {
                    leavingHosts.push_back(vm.address);
                }
            }
            m_members->setVmHints(std::move(hints));
            for (const ServedService &served : m_services.all()) {
                served.state->setLeavingHosts(leavingHosts);
            }
        }
        timer.expires_after(internal::vmListInterval(m_members->snapshot()->size()));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ProxyProcess::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGUSR1) {
            m_events(Event::StateDumped, { { "vm", m_settings.vm.value() }, { "dump", dump() } });
        } else {
            stop(signal == SIGINT ? StopRequest::Operator : StopRequest::Platform);
        }
        awaitSignal();
    });
}

int ProxyProcess::run()
{
    m_callerServer->start();
    m_adminServer.start();
    m_events(Event::ProcessStarted,
             { { "vm", m_settings.vm.value() },
               { "incarnation", m_incarnation },
               { "listen", toString(m_settings.caller) },
               { "admin", toString(m_settings.admin) },
               { "peer", toString(m_settings.peer) } });
    startWorkers();
    awaitSignal();
    m_peers->start();
    m_members->start();
    loadLastKnown();
    m_configSync->start();
    asio::co_spawn(m_control, tickForever(), asio::detached);
    asio::co_spawn(m_control, pollVmList(), asio::detached);
    m_control.run();
    stopWorkers();
    return m_exitCode;
}

} // namespace mulberryplank
