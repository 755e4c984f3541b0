#pragma once

#include <ctime>
#include <string>

#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/policy/configmodel.h"

// Shared by the benchmarks of the control plane: the design size, its items and members, and a processor-time clock.
namespace mulberryplank::plansize
{

inline constexpr std::size_t Domains = 6;
inline constexpr std::size_t Services = 3'500;
inline constexpr std::size_t Targets = 58'000;
inline constexpr std::size_t Rows = 220'000; // one for each client account
inline constexpr std::size_t RoutesPerService = 5; // 19,000 in all
inline constexpr std::size_t TypicalTargets = 17; // of one service
inline const std::string FleetKey(48, 'k');
inline const Instant Begin = Instant(std::chrono::hours(1));

inline double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Returns the microseconds of processor time that one call of `action` takes.
template<typename Action>
double microseconds(int repeats, Action action)
{
    const double begin = processorSeconds();
    for (int count = 0; count < repeats; ++count) {
        action();
    }
    return (processorSeconds() - begin) * 1e6 / repeats;
}

// Prevents the compiler from optimizing away unused results.
inline volatile std::size_t optimizerSink = 0;

inline Member memberOf(std::size_t number)
{
    Member member;
    member.vm = VmName("vm-" + std::to_string(10'000 + number));
    member.incarnation = number + 1;
    member.failureDomain = FailureDomain("hall-" + std::to_string(number % Domains));
    const std::string host = "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1);
    member.peer = Endpoint { host, 8'082 };
    member.caller = Endpoint { host, 8'080 };
    member.ready = true;
    return member;
}

inline std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(1'000'000 + number);
}

inline ServiceName serviceName(std::size_t number)
{
    return ServiceName(numbered("service-", number));
}

inline Service serviceOf(std::size_t number)
{
    Service service;
    service.name = serviceName(number);
    for (std::size_t route = 0; route < RoutesPerService; ++route) {
        const std::string name = "part-" + std::to_string(route);
        service.routes.push_back({ name, "GET", "/" + name + "/", true, Millis(2'000), Millis(1'000) });
    }
    return service;
}

inline Target targetOf(std::size_t number)
{
    const FailureDomain domain("hall-" + std::to_string(number % Domains));
    return Target {
        TargetName(numbered("target-", number)), serviceName(number % Services), "10.100.200.30", 8'080, domain, 0
    };
}

inline Account accountOf(std::size_t number)
{
    Account account;
    account.name = AccountName(numbered("account-", number));
    account.secretDigest.fill(1);
    return account;
}

inline Row rowOf(std::size_t number)
{
    return Row { accountOf(number).name, serviceName(number % Services), 3, { 100, 8, 32 }, 0 };
}

inline PeerTransportSettings keyedTransportSettings()
{
    PeerTransportSettings settings;
    settings.listen = Endpoint { "127.0.0.1", 0 };
    settings.vm = VmName("vm-10000");
    settings.incarnation = 1;
    settings.fleetKeys = { FleetKey };
    return settings;
}

} // namespace mulberryplank::plansize
