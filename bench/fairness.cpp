// Measures how fairly a service is shared. Runs the policies on a virtual clock and compares them with first come first
// served and with static limits per proxy. Prints tables and writes them as JSON to the file given as --json FILE.
#include <cstdio>
#include <cstring>
#include <fstream>

#include <boost/json.hpp>

#include "fairnessmodel/limitmodel.h"
#include "fairnessmodel/metrics.h"
#include "fairnessmodel/requestcost.h"
#include "fairnessmodel/sharecost.h"
#include "fairnessmodel/simulation.h"

using namespace mulberryplank;
using namespace mulberryplank::fairnessmodel;
namespace json = boost::json;

namespace
{

constexpr double SmallRead = 0.02; // seconds
constexpr double LargeDownload = 2; // seconds
constexpr double OthersLoad = 0.8; // relative to their entitlement
constexpr double GreedyLoad = 100; // relative to its entitlement

enum class Spread {
    Even, // every account sends evenly to all proxies
    Skewed, // every account but the greedy one uses a single proxy, half of them the first
};

struct Scenario {
    const char *name;
    std::size_t accounts;
    Spread spread;
    double greedyCost;
};

// Account 0 is greedy. The weights of the other accounts cycle through 1, 2 and 3.
std::vector<Load> loadsOf(const Scenario &scenario, const Settings &settings)
{
    std::vector<Load> loads(scenario.accounts);
    double weights = 0;
    for (std::size_t account = 0; account < loads.size(); ++account) {
        loads[account].weight = static_cast<double>(1 + account % 3);
        weights += loads[account].weight;
    }
    for (std::size_t account = 0; account < loads.size(); ++account) {
        Load &load = loads[account];
        const double share = settings.slots * load.weight / weights;
        load.slots = share * (account == 0 ? GreedyLoad : OthersLoad);
        load.cost = account == 0 ? scenario.greedyCost : SmallRead;
        load.fixedCost = load.cost == LargeDownload;
        if (scenario.spread == Spread::Skewed && account != 0) {
            load.proxyShares.assign(settings.proxies, 0);
            load.proxyShares[account % 2 == 0 ? 0 : account % settings.proxies] = 1;
        }
    }
    return loads;
}

double soloResponseTime(const Scenario &scenario, Settings settings)
{
    settings.policy = Policy::FairQueue;
    std::vector<Load> loads = loadsOf(scenario, settings);
    for (std::size_t account = 0; account < loads.size(); ++account) {
        loads[account].slots = account == 1 ? std::max(loads[account].slots, 1.0) : 0;
    }
    return quantile(Simulation(settings, loads).run().accounts[1].responseTimes, 0.99);
}

json::object compare(const Scenario &scenario, Policy policy, double soloP99)
{
    Settings settings;
    settings.policy = policy;
    const std::vector<Load> loads = loadsOf(scenario, settings);
    const SimulationResult outcome = Simulation(settings, loads).run();
    std::vector<double> demands;
    std::vector<double> weights;
    for (std::size_t account = 0; account < loads.size(); ++account) {
        demands.push_back(outcome.accounts[account].offered);
        weights.push_back(loads[account].weight);
    }
    const std::vector<double> entitled = maxMinFairShares(demands, weights, settings.slots);
    std::vector<double> servedShares;
    std::vector<double> waits;
    std::vector<double> responseTimes;
    double servedOthers = 0;
    double entitledOthers = 0;
    double worst = 1e9;
    for (std::size_t account = 0; account < loads.size(); ++account) {
        const AccountResult &result = outcome.accounts[account];
        servedShares.push_back(result.served / entitled[account]);
        if (account != 0) {
            servedOthers += result.served;
            entitledOthers += entitled[account];
            worst = std::min(worst, servedShares.back());
            waits.insert(waits.end(), result.waits.begin(), result.waits.end());
            responseTimes.insert(responseTimes.end(), result.responseTimes.begin(), result.responseTimes.end());
        }
    }
    const double p99ResponseTime = quantile(responseTimes, 0.99);
    json::object row;
    row["scenario"] = scenario.name;
    row["accounts"] = scenario.accounts;
    row["policy"] = fairnessmodel::toString(policy);
    row["others_goodput_of_entitled"] = servedOthers / entitledOthers;
    row["worst_goodput_of_entitled"] = worst;
    row["greedy_goodput_of_entitled"] = servedShares[0];
    row["jain_weighted"] = jainIndex(servedShares);
    row["others_p99_wait_ms"] = quantile(waits, 0.99) * 1e3;
    row["others_p99_answer_ms"] = p99ResponseTime * 1e3;
    row["alone_p99_answer_ms"] = soloP99 * 1e3;
    row["p99_answer_to_alone"] = p99ResponseTime / soloP99;
    return row;
}

json::array compareAll()
{
    const std::vector<Scenario> scenarios {
        { "even", 2, Spread::Even, SmallRead },
        { "even", 20, Spread::Even, SmallRead },
        { "even", 200, Spread::Even, SmallRead },
        { "skewed", 2, Spread::Skewed, SmallRead },
        { "skewed", 20, Spread::Skewed, SmallRead },
        { "skewed", 200, Spread::Skewed, SmallRead },
        { "downloads", 2, Spread::Even, LargeDownload },
        { "downloads", 20, Spread::Even, LargeDownload },
        { "downloads", 200, Spread::Even, LargeDownload },
        { "skewed downloads", 20, Spread::Skewed, LargeDownload },
    };
    std::printf("One greedy account at 100x its share, the others at 0.8x of theirs; 40 slots, 4 proxies.\n");
    std::printf("%-17s %8s  %-23s %8s %8s %8s %6s %9s %9s %8s\n",
                "scenario",
                "accounts",
                "policy",
                "others",
                "worst",
                "greedy",
                "jain",
                "p99 wait",
                "p99 done",
                "to alone");
    json::array rows;
    for (const Scenario &scenario : scenarios) {
        const double soloP99 = soloResponseTime(scenario, Settings {});
        for (const Policy policy : { Policy::FairQueue, Policy::FirstComeFirstServed, Policy::StaticLimits }) {
            const json::object row = compare(scenario, policy, soloP99);
            std::printf("%-17s %8zu  %-23s %8.3f %8.3f %8.3f %6.3f %6.1f ms %6.1f ms %8.2f\n",
                        scenario.name,
                        scenario.accounts,
                        fairnessmodel::toString(policy),
                        row.at("others_goodput_of_entitled").as_double(),
                        row.at("worst_goodput_of_entitled").as_double(),
                        row.at("greedy_goodput_of_entitled").as_double(),
                        row.at("jain_weighted").as_double(),
                        row.at("others_p99_wait_ms").as_double(),
                        row.at("others_p99_answer_ms").as_double(),
                        row.at("p99_answer_to_alone").as_double());
            rows.push_back(row);
        }
    }
    return rows;
}

json::array compareLimits()
{
    std::printf("\nOne account's limit of 1,000 requests/s at 3x; demand moves from all proxies to one.\n");
    std::printf("%8s  %-23s %10s %10s %10s %10s %8s %9s\n",
                "proxies",
                "policy",
                "steady sum",
                "moving sum",
                "steady use",
                "moved use",
                "settle s",
                "reports/s");
    json::array rows;
    for (const std::size_t proxies : { 2U, 4U, 8U, 16U }) {
        for (const bool shared : { true, false }) {
            const LimitOutcome outcome = LimitModel(proxies, 1'000, shared).run();
            const char *policy = shared ? "fleet shares" : "static limit per proxy";
            std::printf("%8zu  %-23s %10.3f %10.3f %10.3f %10.3f %8.0f %9.2f\n",
                        proxies,
                        policy,
                        outcome.maxSteadyRate,
                        outcome.maxMovingRate,
                        outcome.steadyUtilization,
                        outcome.movedUtilization,
                        outcome.settleSeconds,
                        outcome.reportsPerSecond);
            json::object row;
            row["proxies"] = proxies;
            row["policy"] = policy;
            row["steady_sum_of_limit"] = outcome.maxSteadyRate;
            row["moving_sum_of_limit"] = outcome.maxMovingRate;
            row["steady_use_of_limit"] = outcome.steadyUtilization;
            row["moved_use_of_limit"] = outcome.movedUtilization;
            row["settle_s"] = outcome.settleSeconds;
            row["reports_per_s"] = outcome.reportsPerSecond;
            rows.push_back(row);
        }
    }
    return rows;
}

// Returns the mean goodput in [from, to): slot-time per second of requests that completed before their deadline.
double goodput(const SimulationResult &outcome, int from, int to)
{
    double sum = 0;
    for (int second = from; second < to; ++second) {
        sum += outcome.goodput[static_cast<std::size_t>(second)];
    }
    return sum / (to - from);
}

struct OverloadPhase {
    const char *name;
    double load; // relative to the capacity, in this phase
    double capacityShare; // of the slots, in this phase
};

constexpr int OverloadStart = 20;
constexpr int OverloadEnd = 40;
constexpr int RunEnd = 60;
constexpr double BaselineLoad = 0.7;
constexpr double RecoveredShare = 0.95;
constexpr double ShortWait = 0.1; // seconds

json::object measureOverload(const OverloadPhase &phase, Policy policy, bool honorRetryAfterHeader)
{
    Settings settings;
    settings.policy = policy;
    settings.seconds = RunEnd;
    settings.warmUp = 0;
    settings.deadline = 1;
    settings.retries = 3;
    settings.honorRetryAfter = honorRetryAfterHeader;
    settings.useOverloadControl = policy == Policy::FairQueue;
    const auto duringOverload = [](double second) {
        return second >= OverloadStart && second < OverloadEnd;
    };
    const int slots = settings.slots;
    settings.loadAt = [=](double second) {
        return duringOverload(second) ? phase.load : BaselineLoad;
    };
    settings.slotsAt = [=](double second) {
        return duringOverload(second) ? static_cast<int>(slots * phase.capacityShare) : slots;
    };
    std::vector<Load> loads(20);
    for (Load &load : loads) {
        load.slots = settings.slots / 20.0;
        load.cost = SmallRead;
    }
    const SimulationResult result = Simulation(settings, loads).run();
    const double baselineGoodput = goodput(result, 5, OverloadStart);
    const double overloadGoodput = goodput(result, OverloadStart + 2, OverloadEnd);
    const auto secondsUntil = [](const auto &recovered) {
        int second = OverloadEnd;
        while (second < RunEnd - 1 && !recovered(second)) {
            ++second;
        }
        return second - OverloadEnd;
    };
    const int fullGoodputAfter = secondsUntil([&](int second) {
        return goodput(result, second, second + 1) >= RecoveredShare * baselineGoodput;
    });
    const int shortWaitsAfter = secondsUntil([&](int second) {
        return result.waits[static_cast<std::size_t>(second)] <= ShortWait;
    });
    json::object row;
    row["spell"] = phase.name;
    row["policy"] = fairnessmodel::toString(policy);
    row["clients_heed_retry_after"] = honorRetryAfterHeader;
    row["goodput_of_capacity"] = overloadGoodput / (settings.slots * phase.capacityShare);
    row["full_goodput_after_s"] = fullGoodputAfter;
    row["short_waits_after_s"] = shortWaitsAfter;
    return row;
}

json::array measureOverloads()
{
    std::printf("\nOverload for 20 s, 20 accounts, time limit 1 s, up to 3 retries of what was refused.\n");
    std::printf(
        "%-22s %-23s %-12s %10s %10s %12s\n", "spell", "policy", "clients", "goodput", "full after", "waits after");
    const std::vector<OverloadPhase> phases {
        { "1x", 1, 1 },
        { "3x", 3, 1 },
        { "half of the targets", BaselineLoad, 0.5 },
        { "a quarter left", BaselineLoad, 0.25 },
    };
    json::array rows;
    for (const OverloadPhase &phase : phases) {
        for (const Policy policy : { Policy::FairQueue, Policy::FirstComeFirstServed }) {
            for (const bool honorRetryAfterHeader : { true, false }) {
                const json::object row = measureOverload(phase, policy, honorRetryAfterHeader);
                std::printf("%-22s %-23s %-12s %10.3f %8d s %10d s\n",
                            phase.name,
                            fairnessmodel::toString(policy),
                            honorRetryAfterHeader ? "heed" : "impatient",
                            row.at("goodput_of_capacity").as_double(),
                            static_cast<int>(row.at("full_goodput_after_s").as_int64()),
                            static_cast<int>(row.at("short_waits_after_s").as_int64()));
                rows.push_back(row);
            }
        }
    }
    return rows;
}

json::object measureCost()
{
    constexpr AccountIndex Accounts = 10'000;
    constexpr int Rounds = 50;
    FairQueueSettings settings;
    settings.totalQueue = 4 * Accounts;
    FairScheduler fair(settings);
    for (AccountIndex account = 0; account < Accounts; ++account) {
        fair.queue.setAccount(account, 1 + account % 5, {});
    }
    FifoScheduler fifo(settings.totalQueue);
    const double bytes = measureBytesPerAccount(Accounts);
    const double fifoCost = measureRequestCost(fifo, Accounts, Rounds).nanoseconds;
    const double fairCost = measureRequestCost(fair, Accounts, Rounds).nanoseconds;
    std::printf(
        "\nCost of a request with 10,000 accounts waiting: fair queue %.0f ns, first come first served %.0f ns, "
        "ratio %.1f; %.0f bytes per account\n",
        fairCost,
        fifoCost,
        fairCost / fifoCost,
        bytes);
    json::object row;
    row["accounts"] = Accounts;
    row["fair_ns_per_request"] = fairCost;
    row["fifo_ns_per_request"] = fifoCost;
    row["ratio"] = fairCost / fifoCost;
    row["bytes_per_account"] = bytes;
    return row;
}

json::array measureShareCosts()
{
    std::printf("\nSharing out one service's limits, per member and second; demand everywhere, varying by a fifth.\n");
    std::printf("%8s %9s %10s %10s %15s\n", "members", "accounts", "core us", "reports", "accounts named");
    json::array rows;
    for (const std::size_t members : { 4U, 8U }) {
        for (const AccountIndex accounts : { 10U, 60U, 200U }) {
            const ShareCost cost = measureShareCost(members, accounts);
            std::printf("%8zu %9u %10.0f %10.2f %15.1f\n",
                        members,
                        accounts,
                        cost.coreMicroseconds,
                        cost.reports,
                        cost.accountsPerSecond);
            json::object row;
            row["members"] = members;
            row["accounts"] = accounts;
            row["core_us_per_s"] = cost.coreMicroseconds;
            row["reports_per_s"] = cost.reports;
            row["accounts_named_per_s"] = cost.accountsPerSecond;
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    json::object result;
    result["sharing"] = compareAll();
    result["limits"] = compareLimits();
    result["overload"] = measureOverloads();
    result["cost"] = measureCost();
    result["shares"] = measureShareCosts();
    if (argc == 3 && std::strcmp(argv[1], "--json") == 0) {
        std::ofstream(argv[2]) << json::serialize(result) << '\n';
    }
    return 0;
}
