// The retry budget of a whole fleet on virtual time, while its processes restart.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/retryallowanceshare.h"
#include "mulberryplank/policy/windowbudget.h"

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Duration Step = Millis(10);
constexpr Duration Window = Seconds(10);
// The budget that the users set. The fleet distributes nine tenths of it.
constexpr double Ratio = 0.2;
constexpr double FixedAllowance = 56;
constexpr double DistributedShare = 0.9;

constexpr std::size_t Domains = 3;
constexpr std::size_t ProcessesPerDomain = 4;
constexpr int MaxExtraAttempts = 3; // of one request
// How long after a start or an end the other processes know of it. An end without notice has to be detected.
constexpr Duration JoinTime = Millis(500);
constexpr Duration LeaveTime = Millis(300);
constexpr Duration DetectionTime = Seconds(3);

struct Load {
    double requestsPerSecond = 46;
    double ratio = Ratio;
    double fixedAllowance = FixedAllowance;
};

// Ingress proxies of one service, one in each failure domain: the first of the domain's processes that runs. Requests
// need as many extra attempts as the budget allows while `hasTrouble`.
class Fleet
{
public:
    Fleet(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
    {
        for (std::size_t index = 0; index < Domains * ProcessesPerDomain; ++index) {
            m_processes.emplace_back(m_load, Start);
        }
    }

    Instant now() const
    {
        return m_now;
    }

    std::uint64_t draw(std::uint64_t count)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(m_random);
    }

    // Ends a process, with notice to the others if `isPlanned`, and starts its successor after `pause`.
    void restart(std::size_t index, bool isPlanned, Duration pause)
    {
        Process &process = m_processes[index];
        if (!process.isRunning) {
            return;
        }
        process.isRunning = false;
        process.unseenAt = m_now + (isPlanned ? LeaveTime : DetectionTime);
        process.startsAt = m_now + pause;
    }

    void restartAll(Duration pause)
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            restart(index, false, pause);
        }
    }

    void run(Duration span)
    {
        const Instant end = m_now + span;
        while (m_now < end) {
            m_now += Step;
            startSuccessors();
            updateShares();
            std::poisson_distribution<int> arrivals(m_load.requestsPerSecond * toSeconds(Step));
            for (int count = arrivals(m_random); count > 0; --count) {
                request();
            }
        }
    }

    // Returns by how much the extra attempts of the worst window exceed the users' budget, or a number below zero. The
    // requests are those of the window, the one before it or the one half a window before it.
    double worstExcess() const
    {
        double worst = -m_load.fixedAllowance;
        for (const Instant begin : m_spent) {
            const auto count = [begin](const std::vector<Instant> &times, Duration before) {
                const auto first = std::lower_bound(times.begin(), times.end(), begin - before);
                return std::lower_bound(first, times.end(), begin - before + Window) - first;
            };
            const auto requests =
                std::max({ count(m_requests, {}), count(m_requests, Window / 2), count(m_requests, Window) });
            const double allowed = m_load.ratio * static_cast<double>(requests) + m_load.fixedAllowance;
            worst = std::max(worst, static_cast<double>(count(m_spent, {})) - allowed);
        }
        return worst;
    }

    bool hasTrouble = false;

private:
    struct Process {
        Process(const Load &load, Instant now)
            : budget({ load.ratio * DistributedShare, Window, 0 })
            , share({ load.fixedAllowance * DistributedShare, Window })
            , startedAt(now)
        {
        }

        WindowBudget budget;
        RetryAllowanceShare share;
        Instant startedAt;
        bool isRunning = true;
        Instant unseenAt {}; // when the others know that it has ended
        Instant startsAt {}; // its successor
    };

    static bool isInDomain(std::size_t index, std::size_t domain)
    {
        return index / ProcessesPerDomain == domain;
    }

    void startSuccessors()
    {
        for (Process &process : m_processes) {
            if (!process.isRunning && m_now >= process.startsAt) {
                process = Process(m_load, m_now);
            }
        }
    }

    // Returns whether the process at `viewer` takes the one at `index` for running.
    bool isSeen(std::size_t viewer, std::size_t index) const
    {
        const Process &process = m_processes[index];
        if (viewer == index) {
            return true;
        }
        if (m_now < m_processes[viewer].startedAt + JoinTime && m_processes[viewer].startedAt != Start) {
            return false;
        }
        if (!process.isRunning) {
            return m_now < process.unseenAt;
        }
        return process.startedAt == Start || m_now >= process.startedAt + JoinTime;
    }

    std::optional<std::size_t> ingressOf(std::size_t viewer, std::size_t domain) const
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (isInDomain(index, domain) && isSeen(viewer, index)) {
                return index;
            }
        }
        return std::nullopt;
    }

    void updateShares()
    {
        for (std::size_t viewer = 0; viewer < m_processes.size(); ++viewer) {
            std::size_t ingressProxies = 0;
            bool isIngress = false;
            for (std::size_t domain = 0; domain < Domains; ++domain) {
                const std::optional<std::size_t> ingress = ingressOf(viewer, domain);
                ingressProxies += ingress ? 1 : 0;
                isIngress = isIngress || ingress == viewer;
            }
            Process &process = m_processes[viewer];
            process.share.update(ingressProxies, isIngress, m_now);
            process.budget.setFixedAllowance(process.share.fixedAllowance(m_now));
        }
    }

    // A caller connects to the first running process of a domain.
    void request()
    {
        const std::size_t domain = draw(Domains);
        m_requests.push_back(m_now);
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (isInDomain(index, domain) && m_processes[index].isRunning) {
                WindowBudget &budget = m_processes[index].budget;
                budget.onRequest(m_now);
                for (int attempt = 0; hasTrouble && attempt < MaxExtraAttempts && budget.trySpend(m_now); ++attempt) {
                    m_spent.push_back(m_now);
                }
                return;
            }
        }
    }

    Load m_load;
    std::mt19937_64 m_random;
    Instant m_now = Start;
    std::vector<Process> m_processes;
    std::vector<Instant> m_requests;
    std::vector<Instant> m_spent;
};

} // namespace

TEST_GROUP(RetryBudgetFleet) {};

TEST(RetryBudgetFleet, holdsItsBudgetWithoutRestarts)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet({}, seed);
        for (int spell = 0; spell < 6; ++spell) {
            fleet.hasTrouble = !fleet.hasTrouble;
            fleet.run(Millis(500 + 500 * fleet.draw(10)));
        }
        CHECK_TRUE(fleet.worstExcess() <= 0);
    }
}

// Guards against a budget that the ended processes had spent being spent again by those started in their place.
TEST(RetryBudgetFleet, holdsItsBudgetWhenAllProcessesRestartInASpellOfFailures)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet({}, seed);
        fleet.run(Seconds(25));
        fleet.hasTrouble = true;
        fleet.run(Millis(1'000 + 500 * fleet.draw(12)));
        fleet.restartAll(Seconds(1));
        fleet.run(Seconds(15));
        CHECK_TRUE(fleet.worstExcess() <= 0);
    }
}

// Guards against the same while ingress proxies are replaced one after the other.
TEST(RetryBudgetFleet, holdsItsBudgetInARollingRestartWithinASpellOfFailures)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet({}, seed);
        fleet.run(Seconds(25));
        fleet.hasTrouble = true;
        for (std::size_t index = 0; index < Domains * ProcessesPerDomain; ++index) {
            fleet.restart(index, true, Seconds(2));
            fleet.run(Millis(300 + 100 * fleet.draw(6)));
        }
        fleet.run(Seconds(15));
        CHECK_TRUE(fleet.worstExcess() <= 0);
    }
}

// Guards against the same with restarts and failures at any time.
TEST(RetryBudgetFleet, holdsItsBudgetWithRandomRestarts)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Fleet fleet({}, seed);
        for (int step = 0; step < 30; ++step) {
            if (fleet.draw(3) == 0) {
                fleet.hasTrouble = !fleet.hasTrouble;
            }
            if (fleet.draw(2) == 0) {
                fleet.restart(fleet.draw(Domains * ProcessesPerDomain), fleet.draw(2) == 0, Seconds(1));
            }
            if (fleet.draw(20) == 0) {
                fleet.restartAll(Seconds(1));
            }
            fleet.run(Millis(200 + 100 * fleet.draw(30)));
        }
        CHECK_TRUE(fleet.worstExcess() <= 0);
    }
}
