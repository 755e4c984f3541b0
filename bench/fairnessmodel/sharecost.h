#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mulberryplank/policy/fleetshares.h"

namespace mulberryplank::fairnessmodel
{

// The cost for one member of dividing the limits of one service among the members.
struct ShareCost {
    double coreMicroseconds = 0; // of processor time per second
    double reports = 0; // sent per second, to each other member
    double accountsPerSecond = 0; // listed in those reports
};

// Runs `members` members for a minute of virtual time. Each of the `accounts` accounts has a limit and demand at every
// member. The demand varies by a fifth from second to second.
inline ShareCost measureShareCost(std::size_t members, AccountIndex accounts)
{
    constexpr int RunSeconds = 60;
    Instant now = Instant {} + Seconds(1'000);
    std::mt19937 random(1);
    std::vector<VmName> names;
    for (std::size_t member = 0; member < members; ++member) {
        names.emplace_back("vm" + std::to_string(member));
    }
    std::vector<std::unique_ptr<FleetShares>> shares;
    for (std::size_t member = 0; member < members; ++member) {
        FleetSharesSettings settings;
        settings.self = names[member];
        settings.incarnation = member + 1;
        shares.push_back(std::make_unique<FleetShares>(settings, now));
        shares.back()->setMembers(names, now);
        for (AccountIndex account = 0; account < accounts; ++account) {
            Row row;
            row.account = AccountName("account-number-" + std::to_string(account));
            row.limits = Limits { 100, 40, 40 };
            shares.back()->setAccount(account, row);
        }
    }
    ShareCost cost;
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    const Instant end = now + Seconds(RunSeconds);
    const auto startTime = std::chrono::steady_clock::now();
    for (; now < end; now += Millis(50)) {
        for (std::size_t member = 0; member < members; ++member) {
            if (now < shares[member]->nextReport()) {
                continue;
            }
            std::vector<AccountDemand> demands;
            for (AccountIndex account = 0; account < accounts; ++account) {
                const double rate = 20 * factor(random);
                demands.push_back({ account, Seconds(1), rate, rate / 50, 1, 1, 2, 2 });
            }
            shares[member]->observe(demands);
            const DemandReport report = shares[member]->report(now);
            cost.reports += 1.0 / RunSeconds / static_cast<double>(members);
            cost.accountsPerSecond +=
                static_cast<double>(report.accounts.size()) / RunSeconds / static_cast<double>(members);
            for (const auto &other : shares) {
                other->merge(names[member], member + 1, report, now);
            }
        }
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - startTime;
    cost.coreMicroseconds = elapsed.count() / RunSeconds / static_cast<double>(members);
    return cost;
}

} // namespace mulberryplank::fairnessmodel
