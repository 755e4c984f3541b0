#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mulberryplank/policy/fairqueue.h"
#include "mulberryplank/policy/fleetshares.h"

namespace mulberryplank::fairnessmodel
{

// How well one account's fleet-wide rate limit was kept while its demand moved. Rates and utilizations are
// fractions of the limit.
struct LimitOutcome {
    double maxSteadyRate = 0; // maximum admitted in one second of steady demand
    double maxMovingRate = 0; // maximum admitted in one second after the demand moved
    double steadyUtilization = 0; // mean admitted rate with steady demand at all proxies
    double movedUtilization = 0; // mean admitted rate with all demand at one proxy, once settled
    double settleSeconds = 0; // from the move until 95% of the limit is admitted
    double reportsPerSecond = 0; // sent by one proxy
};

// Simulates demand of three times a rate limit: first evenly at all proxies, then at one only. Reports take 2 ms to
// arrive.
class LimitModel
{
public:
    LimitModel(std::size_t proxies, double limit, bool shared)
        : m_limit(limit)
        , m_shared(shared)
        , m_random(1)
    {
        std::vector<VmName> members;
        for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
            members.emplace_back("vm" + std::to_string(proxy));
        }
        for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
            FleetSharesSettings settings;
            settings.self = members[proxy];
            settings.incarnation = proxy + 1;
            m_shares.push_back(std::make_unique<FleetShares>(settings, m_now));
            m_shares.back()->setMembers(members, m_now);
            Row row;
            row.account = AccountName("account");
            row.limits.requestsPerSecond = limit;
            m_shares.back()->setAccount(0, row);
            m_queues.push_back(std::make_unique<FairQueue>(FairQueueSettings {}));
            const double even = limit / static_cast<double>(proxies);
            m_queues.back()->setAccount(0, 1, Limits { shared ? even * 0.05 : even, 0, 0 });
        }
    }

    LimitOutcome run()
    {
        constexpr int SteadyStart = 10;
        constexpr int Move = 30;
        constexpr int SettledStart = 40;
        constexpr int End = 60;
        LimitOutcome outcome;
        std::vector<double> admitted;
        for (int second = 0; second < End; ++second) {
            admitted.push_back(runSecond(second >= Move) / m_limit);
            if (second >= SteadyStart && second < Move) {
                outcome.maxSteadyRate = std::max(outcome.maxSteadyRate, admitted.back());
                outcome.steadyUtilization += admitted.back() / (Move - SteadyStart);
            } else if (second >= Move && second < SettledStart) {
                outcome.maxMovingRate = std::max(outcome.maxMovingRate, admitted.back());
            } else if (second >= SettledStart) {
                outcome.maxSteadyRate = std::max(outcome.maxSteadyRate, admitted.back());
                outcome.movedUtilization += admitted.back() / (End - SettledStart);
            }
        }
        while (outcome.settleSeconds < End - Move
               && admitted[static_cast<std::size_t>(Move + outcome.settleSeconds)] < 0.949) {
            ++outcome.settleSeconds;
        }
        outcome.reportsPerSecond =
            static_cast<double>(m_reports) / static_cast<double>(m_queues.size()) / static_cast<double>(End);
        return outcome;
    }

private:
    static constexpr double Overload = 3;

    // Returns the number of requests admitted within one second.
    double runSecond(bool toOneProxy)
    {
        double admitted = 0;
        std::exponential_distribution<double> gap(m_limit * Overload);
        const Instant end = m_now + Seconds(1);
        Instant nextTick = m_now;
        while (m_now < end) {
            m_now += fromSeconds(gap(m_random));
            for (; nextTick <= m_now; nextTick += Millis(50)) {
                tick(nextTick);
            }
            FairQueue &queue = *m_queues[toOneProxy ? 0 : m_random() % m_queues.size()];
            const RequestId id = ++m_lastRequest;
            if (queue.enqueue(id, 0, 0, m_now + Seconds(10), m_now)) {
                ++admitted;
                queue.next(m_now);
                queue.finished(id, Millis(1), m_now);
            }
        }
        return admitted;
    }

    void tick(Instant now)
    {
        for (std::size_t proxy = 0; m_shared && proxy < m_shares.size(); ++proxy) {
            FleetShares &shares = *m_shares[proxy];
            if (now >= shares.nextReport()) {
                shares.observe(m_queues[proxy]->takeDemand(now));
                const DemandReport report = shares.report(now);
                ++m_reports;
                for (const auto &other : m_shares) {
                    other->merge(VmName("vm" + std::to_string(proxy)), proxy + 1, report, now + Millis(2));
                }
            }
        }
        for (std::size_t proxy = 0; m_shared && proxy < m_shares.size(); ++proxy) {
            m_queues[proxy]->setLocalLimits(0, m_shares[proxy]->localLimits(0, now));
        }
    }

    double m_limit;
    bool m_shared;
    std::mt19937_64 m_random;
    Instant m_now = Instant {} + Seconds(1'000);
    std::vector<std::unique_ptr<FleetShares>> m_shares;
    std::vector<std::unique_ptr<FairQueue>> m_queues;
    std::uint64_t m_reports = 0;
    RequestId m_lastRequest = 0;
};

} // namespace mulberryplank::fairnessmodel
