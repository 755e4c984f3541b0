#pragma once

#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>

#include "mulberryplank/policy/fleetshares.h"
#include "mulberryplank/policy/overload.h"
#include "scheduler.h"
#include "settings.h"

namespace mulberryplank::fairnessmodel
{

// Simulates clients, proxies with one scheduler each, and the targets of one service, on a virtual clock.
class Simulation
{
public:
    Simulation(Settings settings, std::vector<Load> loads)
        : m_settings(std::move(settings))
        , m_loads(std::move(loads))
        , m_random(m_settings.seed)
    {
        m_result.accounts.resize(m_loads.size());
        m_result.goodput.resize(static_cast<std::size_t>(m_settings.seconds) + 1);
        m_result.waits.resize(m_result.goodput.size());
        m_used.resize(m_settings.proxies);
        m_capacityShares.assign(m_settings.proxies, 1.0 / static_cast<double>(m_settings.proxies));
        for (std::size_t proxy = 0; proxy < m_settings.proxies; ++proxy) {
            addProxy();
        }
        for (std::size_t proxy = 0; proxy < m_settings.proxies; ++proxy) {
            for (std::size_t account = 0; account < m_loads.size(); ++account) {
                scheduleArrival(account, proxy);
            }
        }
        tick();
    }

    SimulationResult run()
    {
        const Instant end = start() + fromSeconds(m_settings.seconds);
        while (!m_events.empty() && m_events.top().at < end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return std::move(m_result);
    }

private:
    static constexpr double TickSeconds = 0.1;
    static constexpr double MaxReadCost = 0.2; // mean slot-time in seconds; accounts above it use another route
    static constexpr double NetworkDelay = 0.002;

    struct Event {
        Instant at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct Request {
        std::size_t account;
        std::size_t proxy;
        Instant first; // arrival of the first attempt
        Instant arrived;
        Instant deadline;
        double cost;
        int retriesLeft;
    };

    static Instant start()
    {
        return Instant {} + Seconds(1'000);
    }

    double second() const
    {
        return toSeconds(m_now - start());
    }

    bool measured() const
    {
        return second() >= m_settings.warmUp;
    }

    double measuredSeconds() const
    {
        return m_settings.seconds - m_settings.warmUp;
    }

    int slots() const
    {
        return m_settings.slotsAt ? m_settings.slotsAt(second()) : m_settings.slots;
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    void at(Instant when, std::function<void()> action)
    {
        m_events.push({ when, ++m_order, std::move(action) });
    }

    void after(double seconds, std::function<void()> action)
    {
        at(m_now + fromSeconds(seconds), std::move(action));
    }

    void addProxy()
    {
        const std::size_t proxy = m_schedulers.size();
        if (m_settings.policy == Policy::FairQueue) {
            addFairProxy(proxy);
            return;
        }
        auto scheduler = std::make_unique<FifoScheduler>(m_settings.totalQueue);
        if (m_settings.policy == Policy::StaticLimits) {
            double weights = 0;
            for (const Load &load : m_loads) {
                weights += load.weight;
            }
            for (std::size_t account = 0; account < m_loads.size(); ++account) {
                const Load &load = m_loads[account];
                const double share = m_settings.slots * load.weight / weights;
                const double rate = share / load.cost / static_cast<double>(m_settings.proxies);
                scheduler->limit(static_cast<AccountIndex>(account), rate, m_now);
            }
        }
        m_schedulers.push_back(std::move(scheduler));
    }

    void addFairProxy(std::size_t proxy)
    {
        FairQueueSettings settings;
        settings.totalQueue = m_settings.totalQueue;
        auto scheduler = std::make_unique<FairScheduler>(settings);
        FleetSharesSettings shareSettings;
        shareSettings.self = vmNameOf(proxy);
        shareSettings.incarnation = proxy + 1;
        auto shares = std::make_unique<FleetShares>(shareSettings, m_now);
        std::vector<VmName> members;
        for (std::size_t member = 0; member < m_settings.proxies; ++member) {
            members.push_back(vmNameOf(member));
        }
        shares->setMembers(members, m_now);
        for (std::size_t account = 0; account < m_loads.size(); ++account) {
            Row row;
            row.account = AccountName("account" + std::to_string(account));
            row.weight = static_cast<std::uint32_t>(m_loads[account].weight);
            shares->setAccount(static_cast<AccountIndex>(account), row);
            scheduler->queue.setAccount(static_cast<AccountIndex>(account), row.weight, {});
        }
        m_fairQueues.push_back(&scheduler->queue);
        m_schedulers.push_back(std::move(scheduler));
        m_shares.push_back(std::move(shares));
        m_overload.emplace_back(OverloadSettings {});
    }

    static VmName vmNameOf(std::size_t proxy)
    {
        return VmName("vm" + std::to_string(proxy));
    }

    void scheduleArrival(std::size_t account, std::size_t proxy)
    {
        const Load &load = m_loads[account];
        const double factor = m_settings.loadAt ? m_settings.loadAt(second()) : 1;
        const double proxyShare =
            load.proxyShares.empty() ? 1 / static_cast<double>(m_settings.proxies) : load.proxyShares[proxy];
        const double rate = load.slots / load.cost * proxyShare * factor;
        if (rate <= 0) {
            return;
        }
        after(exponential(1 / rate), [this, account, proxy] {
            arrive(account, proxy);
            scheduleArrival(account, proxy);
        });
    }

    void arrive(std::size_t account, std::size_t proxy)
    {
        const Load &load = m_loads[account];
        const double cost = load.fixedCost ? load.cost : exponential(load.cost);
        if (measured()) {
            m_result.accounts[account].offered += cost / measuredSeconds();
        }
        const Instant deadline = m_now + fromSeconds(m_settings.deadline);
        offer({ account, proxy, m_now, m_now, deadline, cost, m_settings.retries });
    }

    void offer(const Request &request)
    {
        const RequestId id = ++m_lastRequest;
        const auto route = static_cast<std::uint16_t>(m_loads[request.account].cost > MaxReadCost ? 1 : 0);
        const auto account = static_cast<AccountIndex>(request.account);
        if (m_schedulers[request.proxy]->offer(id, account, route, request.deadline, m_now)) {
            m_requests.emplace(id, request);
            dispatchAll();
        } else {
            onRejected(request);
        }
    }

    // A client whose request was not executed retries with a new, full deadline. This is the behavior of a client that
    // doesn't limit its total time.
    void onRejected(Request request)
    {
        if (request.retriesLeft == 0) {
            return;
        }
        --request.retriesLeft;
        double delay = m_settings.retryDelay;
        if (m_settings.honorRetryAfter) {
            const auto account = static_cast<AccountIndex>(request.account);
            delay = std::max(delay, toSeconds(m_schedulers[request.proxy]->retryAfter(account, m_now)));
        }
        after(delay, [this, request]() mutable {
            request.arrived = m_now;
            request.deadline = m_now + fromSeconds(m_settings.deadline);
            offer(request);
        });
    }

    bool hasFreeSlot() const
    {
        return m_usedTotal < slots();
    }

    bool withinShare(std::size_t proxy) const
    {
        return m_used[proxy] < m_capacityShares[proxy] * slots();
    }

    // Proxies that use less than their share of the slots take free slots first. The other proxies take the rest.
    void dispatchAll()
    {
        const bool sharesCapacity = m_settings.policy == Policy::FairQueue && m_settings.shareCapacity;
        for (const bool withinShareOnly : { true, false }) {
            if (withinShareOnly && !sharesCapacity) {
                continue;
            }
            for (std::size_t offset = 0; offset < m_schedulers.size(); ++offset) {
                dispatch((offset + m_nextProxy) % m_schedulers.size(), withinShareOnly);
            }
        }
        m_nextProxy = (m_nextProxy + 1) % m_schedulers.size();
    }

    void dispatch(std::size_t proxy, bool withinShareOnly)
    {
        Scheduler &scheduler = *m_schedulers[proxy];
        for (const RequestId id : scheduler.expired(m_now)) {
            shed(id);
        }
        while (scheduler.waiting() > 0 && hasFreeSlot() && (!withinShareOnly || withinShare(proxy))) {
            const std::optional<RequestId> id = scheduler.next(m_now);
            if (!id) {
                break;
            }
            begin(*id);
        }
    }

    void shed(RequestId id)
    {
        const Request request = m_requests.at(id);
        m_requests.erase(id);
        onRejected(request);
    }

    void begin(RequestId id)
    {
        const Request &request = m_requests.at(id);
        ++m_used[request.proxy];
        ++m_usedTotal;
        const double wait = toSeconds(m_now - request.arrived);
        if (measured()) {
            m_result.accounts[request.account].waits.push_back(wait);
        }
        double &longest = m_result.waits[static_cast<std::size_t>(second())];
        longest = std::max(longest, wait);
        const Instant startTime = m_now;
        after(request.cost, [this, id, startTime] {
            end(id, startTime);
        });
    }

    void end(RequestId id, Instant startTime)
    {
        const Request request = m_requests.at(id);
        m_requests.erase(id);
        --m_used[request.proxy];
        --m_usedTotal;
        m_schedulers[request.proxy]->finished(id, m_now - startTime, m_now);
        const bool inTime = m_now <= request.deadline;
        if (inTime) {
            m_result.goodput[static_cast<std::size_t>(second())] += request.cost;
        }
        if (measured() && inTime) {
            AccountResult &result = m_result.accounts[request.account];
            result.served += request.cost / measuredSeconds();
            result.responseTimes.push_back(toSeconds(m_now - request.arrived));
        }
        dispatchAll();
    }

    // The periodic work of the proxies: send reports, apply shares, bound the queue.
    void tick()
    {
        for (std::size_t proxy = 0; proxy < m_shares.size(); ++proxy) {
            report(proxy);
            m_fairQueues[proxy]->setCapacity(m_capacityShares[proxy] * slots());
            if (m_settings.useOverloadControl) {
                const double ownSlots = m_capacityShares[proxy] * slots();
                const Duration cost = m_fairQueues[proxy]->costModel().averageCost();
                m_fairQueues[proxy]->setTotalQueue(m_overload[proxy].update(ownSlots, cost, m_now));
            }
        }
        dispatchAll();
        after(TickSeconds, [this] {
            tick();
        });
    }

    void report(std::size_t proxy)
    {
        FleetShares &shares = *m_shares[proxy];
        if (m_now < shares.nextReport() || !m_settings.shareCapacity) {
            return;
        }
        const std::vector<AccountDemand> demands = m_fairQueues[proxy]->takeDemand(m_now);
        shares.observe(demands);
        const DemandReport report = shares.report(m_now);
        ++m_result.reports;
        m_capacityShares[proxy] = shares.capacityShare(slots());
        m_fairQueues[proxy]->setTypicalCost(shares.typicalCost());
        for (const AccountDemand &demand : demands) {
            m_fairQueues[proxy]->setLocalWeight(demand.account, shares.localWeight(demand.account));
        }
        after(NetworkDelay, [this, proxy, report] {
            for (std::size_t other = 0; other < m_shares.size(); ++other) {
                m_shares[other]->merge(vmNameOf(proxy), proxy + 1, report, m_now);
            }
        });
    }

    Settings m_settings;
    std::vector<Load> m_loads;
    std::mt19937_64 m_random;
    SimulationResult m_result;
    Instant m_now = start();
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Scheduler>> m_schedulers;
    std::vector<FairQueue *> m_fairQueues;
    std::vector<std::unique_ptr<FleetShares>> m_shares;
    std::vector<OverloadControl> m_overload;
    std::vector<int> m_used; // slots by proxy
    std::vector<double> m_capacityShares; // of the slots by proxy
    int m_usedTotal = 0;
    std::size_t m_nextProxy = 0;
    RequestId m_lastRequest = 0;
    std::unordered_map<RequestId, Request> m_requests;
};

} // namespace mulberryplank::fairnessmodel
