// Measures how limits of accounts are divided among gateways, on virtual time, and what it costs to find an account by
// its key. Prints tables.
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "../tests/allowancefleet.h"

using namespace mulberryplank;
using namespace mulberryplank::allowancefleet;

namespace
{

constexpr Duration Settled = Seconds(10); // after the start of a fleet
constexpr double TotalPerSecond = 590; // requests of all accounts

// A way to divide limits: the least number of requests that a holder may admit at once.
struct Variant {
    const char *name;
    double requestsPerHolder;
};

constexpr Variant Variants[] {
    { "one holder for each limit", 1e12 },
    { "holders of three requests each", 3 },
    { "all ingress proxies", 1e-6 },
};

Settings settingsOf(const Variant &variant, int processes)
{
    Settings settings;
    settings.ingressProxies = processes;
    settings.holders.requestsPerHolder = variant.requestsPerHolder;
    return settings;
}

// Returns the share of the accounts' requests that is served from a time on, as a mean over the accounts.
double meanServed(const Fleet &fleet, std::size_t loads, Instant from)
{
    double served = 0;
    for (std::size_t load = 0; load < loads; ++load) {
        served += fleet.result(load, from).served / static_cast<double>(loads);
    }
    return served;
}

double mostUsed(const Fleet &fleet, std::size_t loads)
{
    double most = 0;
    for (std::size_t load = 0; load < loads; ++load) {
        most = std::max(most, fleet.result(load, Start).mostUsed);
    }
    return most;
}

// Plays usual loads, then kills a third of the processes.
void printUsual(const Variant &variant, int processes, int accounts)
{
    Fleet fleet(settingsOf(variant, processes), usualLoads(accounts, TotalPerSecond, processes));
    const std::size_t loads = fleet.loads().size();
    fleet.run(Seconds(25));
    const double served = meanServed(fleet, loads, Start + Settled);
    const double messages = static_cast<double>(fleet.messages()) / 25 / processes;
    for (int process = 0; process < processes / 3; ++process) {
        fleet.kill(process);
    }
    const Instant killedAt = fleet.now();
    fleet.run(Seconds(10));
    std::printf("| %s | %d | %d | %.3f | %.1f | %.3f | %.2f |\n",
                variant.name,
                processes,
                accounts,
                served,
                messages,
                meanServed(fleet, loads, killedAt),
                mostUsed(fleet, loads));
}

// Plays an account of 95% of its limit whose requests all arrive at one process, and then at another one.
void printMoved(const Variant &variant, double limit)
{
    Load load = evenLoad("press", limit, 0.95 * limit, 1);
    const Instant moveAt = Start + Seconds(20);
    load.part = [moveAt](int process, Instant now) {
        return process == (now < moveAt ? 0 : 3) ? 1.0 : 0.0;
    };
    Fleet fleet(settingsOf(variant, 6), { load });
    fleet.run(Seconds(24));
    std::printf("| %s | %.0f | %.3f | %.2f |\n",
                variant.name,
                limit,
                fleet.result(0, moveAt).served,
                fleet.result(0, Start).mostUsed);
}

void printLookup(int count)
{
    using Wall = std::chrono::steady_clock;
    ClientAccounts accounts;
    for (int number = 0; number < count; ++number) {
        ClientAccount account;
        account.name = AccountName("account-" + std::to_string(number));
        const std::string one = "key-one-of-account-" + std::to_string(number);
        const std::string other = "key-two-of-account-" + std::to_string(number);
        accounts.add(account, { one, other });
    }
    if (!accounts.seal()) {
        return;
    }
    constexpr int Lookups = 200'000;
    const auto begin = Wall::now();
    int found = 0;
    for (int lookup = 0; lookup < Lookups; ++lookup) {
        found += accounts.find("key-two-of-account-" + std::to_string(lookup % count)) != nullptr ? 1 : 0;
    }
    const double nanos = std::chrono::duration<double, std::nano>(Wall::now() - begin).count() / Lookups;
    std::printf("| %d | %.0f | %d of %d |\n", count, nanos, found, Lookups);
}

} // namespace

int main()
{
    std::printf(
        "| limits divided among | gateways | accounts | served | messages a gateway and second | served in 10 s "
        "after a third was killed | most used in 5 s |\n|---|---|---|---|---|---|---|\n");
    constexpr std::pair<int, int> Sizes[] { { 3, 85 }, { 6, 85 }, { 60, 85 }, { 6, 1'000 } };
    for (const auto &[processes, accounts] : Sizes) {
        for (const Variant &variant : Variants) {
            printUsual(variant, processes, accounts);
        }
    }
    std::printf(
        "\n| limits divided among | limit per second | served in 4 s after the demand has moved | most used in 5 s "
        "|\n|---|---|---|---|\n");
    for (const double limit : { 3.0, 100.0 }) {
        for (const Variant &variant : Variants) {
            printMoved(variant, limit);
        }
    }
    std::printf("\n| accounts with two keys | ns a look-up | found |\n|---|---|---|\n");
    for (const int count : { 85, 220'000 }) {
        printLookup(count);
    }
    return 0;
}
