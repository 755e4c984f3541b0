// A fleet of processes that share accounts' limits, played on virtual time with callers, messages and faults.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mulberryplank/policy/accountallowances.h"

namespace mulberryplank::allowancefleet
{

inline constexpr Instant Start { Seconds(1'000) };
inline constexpr Duration Step = Millis(1);
inline constexpr Duration MaxWait = Millis(60); // of a request for a loan
inline constexpr Duration DetectionTime = Seconds(3); // until the other processes know that one is dead
inline constexpr Duration JoinTime = Millis(500); // until a started process knows the others and they know it

struct Settings {
    int ingressProxies = 6;
    int otherProcesses = 4;
    LimitHolderSettings holders;
    double loss = 0.01; // of messages
    Duration maxJoinTime = JoinTime; // at least JoinTime; each two processes take another time up to this
    Duration minLatency = Millis(1);
    Duration maxLatency = Millis(3);
    std::uint64_t seed = 1;
};

// One account's load: its limit, its requests per second over the whole fleet, and the part of them that arrives at a
// process.
struct Load {
    ClientAccount account;
    double perSecond = 0;
    std::function<double(int process, Instant now)> part;
    std::uint32_t priority = 0; // of its requests; several loads may have the same account
};

struct LoadOutcome {
    std::vector<Instant> admitted;
    std::vector<Instant> refused;
};

// What callers got of one account.
struct AccountResult {
    double mostUsed = 0; // in any 5 s, as a share of what the limit allows in them
    double served = 0; // share of the requests
    double servedPerSecond = 0;
};

class Fleet
{
public:
    Fleet(const Settings &settings, std::vector<Load> loads)
        : m_settings(settings)
        , m_loads(std::move(loads))
        , m_random(settings.seed)
        , m_outcomes(m_loads.size())
    {
        for (int number = 0; number < settings.ingressProxies + settings.otherProcesses; ++number) {
            m_processes.push_back(std::make_unique<Process>(vmOf(number), settings.holders, m_now - JoinTime));
        }
    }

    Instant now() const
    {
        return m_now;
    }

    std::vector<Load> &loads()
    {
        return m_loads;
    }

    void run(Duration span)
    {
        const Instant end = m_now + span;
        while (m_now < end) {
            updateViews();
            deliver();
            arrive();
            serveWaiting();
            m_now += Step;
        }
    }

    // Ends a process. Its requests are lost.
    void kill(int number)
    {
        at(number).diedAt = m_now;
        at(number).waiting.clear();
    }

    // Starts a killed process again, which knows nothing.
    void start(int number)
    {
        m_processes[static_cast<std::size_t>(number)] =
            std::make_unique<Process>(vmOf(number), m_settings.holders, m_now);
    }

    // Cuts a process off from all others. Its callers reach it.
    void cut(int number)
    {
        at(number).cutAt = m_now;
    }

    void rejoin(int number)
    {
        at(number).cutAt.reset();
    }

    // Returns what the account's callers got from that time on.
    AccountResult result(std::size_t load, Instant from) const
    {
        constexpr Duration Window = Seconds(5);
        const LoadOutcome &outcome = m_outcomes[load];
        const AccountLimit &limit = m_loads[load].account.limit;
        const double allowed = limit.perSecond * toSeconds(Window) + std::max(limit.burst, 1.0);
        AccountResult result;
        // Loads of other priorities use the same limit.
        std::vector<Instant> admitted;
        for (std::size_t other = 0; other < m_loads.size(); ++other) {
            if (m_loads[other].account.name == m_loads[load].account.name) {
                admitted.insert(admitted.end(), m_outcomes[other].admitted.begin(), m_outcomes[other].admitted.end());
            }
        }
        std::sort(admitted.begin(), admitted.end());
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] > Window) {
                ++first;
            }
            if (admitted[first] >= from) {
                result.mostUsed = std::max(result.mostUsed, static_cast<double>(last - first + 1) / allowed);
            }
        }
        const auto countFrom = [from](const std::vector<Instant> &times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [from](Instant time) {
                return time >= from;
            }));
        };
        const double served = countFrom(outcome.admitted);
        const double total = served + countFrom(outcome.refused);
        result.served = total == 0 ? 1 : served / total;
        result.servedPerSecond = served / std::max(toSeconds(m_now - from), 1e-3);
        return result;
    }

    std::uint64_t messages() const
    {
        return m_messages;
    }

private:
    struct Request {
        std::size_t load = 0;
        Instant giveUpAt {};
    };

    struct Process {
        Process(const VmName &name, const LimitHolderSettings &settings, Instant started)
            : vm(name)
            , startedAt(started)
            , holders(name, settings)
            , allowances(holders, {})
        {
        }

        VmName vm;
        Instant startedAt {};
        std::optional<Instant> diedAt;
        std::optional<Instant> cutAt;
        LimitHolders holders;
        AccountAllowances allowances;
        Instant nextUpdate {};
        std::vector<Request> waiting;
    };

    struct Message {
        Instant at {};
        int from = 0;
        int to = 0;
        bool isQuery = false;
        std::size_t load = 0;
        std::uint64_t number = 0;
        double least = 0;
        double amount = 0;
        std::uint32_t priority = 0;
    };

    static VmName vmOf(int number)
    {
        return VmName("vm-" + std::to_string(number));
    }

    Process &at(int number)
    {
        return *m_processes[static_cast<std::size_t>(number)];
    }

    // Returns how long after their start `process` learns of `other`.
    Duration joinTimeOf(const Process &process, const Process &other) const
    {
        const std::size_t hash = std::hash<std::string> {}(process.vm.value() + "/" + other.vm.value());
        return JoinTime + (m_settings.maxJoinTime - JoinTime) / 1'000 * static_cast<Duration::rep>(hash % 1'000);
    }

    // Returns whether `process` takes `other` for alive.
    bool appearsAlive(const Process &process, const Process &other) const
    {
        const Duration joinTime = joinTimeOf(process, other);
        const bool hasJoined = m_now - other.startedAt >= joinTime && m_now - process.startedAt >= joinTime;
        const auto isGone = [this](const std::optional<Instant> &since) {
            return since && m_now - *since >= DetectionTime;
        };
        return &process == &other
               || (hasJoined && !isGone(other.diedAt) && !isGone(other.cutAt) && !isGone(process.cutAt));
    }

    void updateViews()
    {
        for (const std::unique_ptr<Process> &process : m_processes) {
            if (process->diedAt || m_now < process->nextUpdate) {
                continue;
            }
            process->nextUpdate = m_now + Millis(500);
            std::vector<Member> members;
            std::vector<Member> ingress;
            for (std::size_t number = 0; number < m_processes.size(); ++number) {
                Member member;
                member.vm = m_processes[number]->vm;
                member.peer = { "10.0.0.1", static_cast<std::uint16_t>(number + 1) };
                if (!appearsAlive(*process, *m_processes[number])) {
                    continue;
                }
                members.push_back(member);
                if (ingress.size() < static_cast<std::size_t>(m_settings.ingressProxies)) {
                    ingress.push_back(member);
                }
            }
            process->holders.update(ingress, members, m_now);
        }
    }

    void send(Message message)
    {
        ++m_messages;
        if (std::bernoulli_distribution(m_settings.loss)(m_random)) {
            return;
        }
        const auto range = m_settings.maxLatency - m_settings.minLatency;
        message.at = m_now + m_settings.minLatency
                     + Duration(std::uniform_int_distribution<Duration::rep>(0, range.count())(m_random));
        m_inTransit.emplace(message.at, message);
    }

    void deliver()
    {
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
            const Message message = m_inTransit.begin()->second;
            m_inTransit.erase(m_inTransit.begin());
            Process &receiver = at(message.to);
            if (receiver.diedAt || receiver.cutAt || at(message.from).cutAt) {
                continue;
            }
            const ClientAccount &account = m_loads[message.load].account;
            if (message.isQuery) {
                Message response = message;
                std::swap(response.from, response.to);
                response.isQuery = false;
                response.amount = receiver.allowances.lend(
                    account, { {}, message.number, message.least, message.amount, message.priority }, m_now);
                send(response);
            } else {
                receiver.allowances.accept(account.name, message.number, message.amount, m_now);
            }
        }
    }

    void arrive()
    {
        for (std::size_t load = 0; load < m_loads.size(); ++load) {
            for (std::size_t number = 0; number < m_processes.size(); ++number) {
                const double part = m_loads[load].part(static_cast<int>(number), m_now);
                const double expected = m_loads[load].perSecond * part * toSeconds(Step);
                if (expected <= 0 || m_processes[number]->diedAt) {
                    continue;
                }
                const int count = std::poisson_distribution<int>(expected)(m_random);
                for (int request = 0; request < count; ++request) {
                    m_processes[number]->waiting.push_back({ load, m_now + MaxWait });
                }
            }
        }
    }

    void serveWaiting()
    {
        for (std::size_t number = 0; number < m_processes.size(); ++number) {
            std::vector<Request> waiting = std::move(m_processes[number]->waiting);
            m_processes[number]->waiting.clear();
            for (const Request &request : waiting) {
                if (!serve(static_cast<int>(number), request)) {
                    m_processes[number]->waiting.push_back(request);
                }
            }
        }
    }

    // Returns false if the request waits on.
    bool serve(int number, const Request &request)
    {
        const ClientAccount &account = m_loads[request.load].account;
        AccountAllowances &allowances = at(number).allowances;
        const std::uint32_t priority = m_loads[request.load].priority;
        if (account.limit.isUnlimited() || allowances.tryAdmit(account, priority, m_now)) {
            m_outcomes[request.load].admitted.push_back(m_now);
            return true;
        }
        const std::optional<AllowanceQuery> query = allowances.nextQuery(account, priority, m_now);
        if (query) {
            send({ {},
                   number,
                   query->lender.port - 1,
                   true,
                   request.load,
                   query->number,
                   query->least,
                   query->most,
                   query->priority });
        }
        if (m_now >= request.giveUpAt || !allowances.awaitsLoan(account, priority, m_now)) {
            allowances.refuse(account, priority, m_now);
            m_outcomes[request.load].refused.push_back(m_now);
            return true;
        }
        return false;
    }

    Settings m_settings;
    std::vector<Load> m_loads;
    std::mt19937_64 m_random;
    Instant m_now = Start;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::multimap<Instant, Message> m_inTransit;
    std::vector<LoadOutcome> m_outcomes;
    std::uint64_t m_messages = 0;
};

// Returns an account with that limit and a burst of one second's requests, whose requests arrive evenly at the first
// `processes` processes.
inline Load evenLoad(const std::string &name, double limit, double perSecond, int processes)
{
    Load load;
    load.account.name = AccountName(name);
    load.account.limit = { limit, limit };
    load.perSecond = perSecond;
    load.part = [processes](int process, Instant) {
        return process < processes ? 1.0 / processes : 0.0;
    };
    return load;
}

// Returns few large accounts and many small ones that together send `total` requests per second, with limits of 1.6
// times their load.
inline std::vector<Load> usualLoads(int accounts, double total, int processes)
{
    double sum = 0;
    for (int rank = 1; rank <= accounts; ++rank) {
        sum += 1.0 / rank;
    }
    std::vector<Load> loads;
    for (int rank = 1; rank <= accounts; ++rank) {
        const double perSecond = total / rank / sum;
        loads.push_back(evenLoad("account-" + std::to_string(rank), perSecond * 1.6, perSecond, processes));
    }
    return loads;
}

} // namespace mulberryplank::allowancefleet
