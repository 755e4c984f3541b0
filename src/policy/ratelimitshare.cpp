#include "mulberryplank/policy/ratelimitshare.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The least time between two turns of a process that isn't a holder. With more such processes it grows, so that about
// one of them has its turn at any time.
constexpr Duration MinTurnInterval = Seconds(4);
constexpr Duration TurnIntervalPerProcess = Seconds(1);

// Must differ from the seeds of other ranks by hash, so that the same processes don't get all roles.
constexpr XXH64_hash_t HolderSeed = 0x6c696d74;

XXH64_hash_t hashOf(const TargetName &target, const VmName &vm)
{
    const XXH64_hash_t seed = XXH64(target.value().data(), target.value().size(), HolderSeed);
    return XXH64(vm.value().data(), vm.value().size(), seed);
}

// Returns the number of holders of this limit among `candidates` processes.
std::size_t holderCount(double perSecond, std::size_t candidates)
{
    const double count =
        std::clamp(std::floor(perSecond), 1.0, static_cast<double>(std::max<std::size_t>(candidates, 1)));
    return static_cast<std::size_t>(count);
}

} // namespace

} // namespace internal

RateLimitShare rateLimitShare(const AnnouncedTarget &target, double perSecond, const RateLimitFleet &fleet)
{
    using Rank = std::tuple<bool, XXH64_hash_t, Incarnation>;
    const auto rankOf = [&target](const Member &member) {
        const bool isRemote = member.failureDomain != target.failureDomain;
        return Rank(isRemote, internal::hashOf(target.id, member.vm), member.incarnation);
    };
    const std::size_t holders = internal::holderCount(perSecond, fleet.ingressProxies.size());
    const std::size_t others = fleet.processes > holders ? fleet.processes - holders : 0;
    const auto self =
        std::find_if(fleet.ingressProxies.begin(), fleet.ingressProxies.end(), [&fleet](const Member &member) {
            return member.incarnation == fleet.self;
        });
    std::size_t before = holders;
    if (self != fleet.ingressProxies.end()) {
        const Rank own = rankOf(*self);
        before = static_cast<std::size_t>(std::count_if(
            fleet.ingressProxies.begin(), fleet.ingressProxies.end(), [&rankOf, &own](const Member &member) {
                return rankOf(member) < own;
            }));
    }
    RateLimitShare share;
    share.isHolder = before < holders || fleet.ingressProxies.empty();
    share.part = 1 / static_cast<double>(holders);
    share.turnInterval =
        std::max(internal::MinTurnInterval, internal::TurnIntervalPerProcess * static_cast<Duration::rep>(others));
    const XXH64_hash_t phase = XXH64(&fleet.self, sizeof(fleet.self), internal::hashOf(target.id, {}));
    share.phase = std::ldexp(static_cast<double>(phase >> 11U), -53);
    return share;
}

} // namespace mulberryplank
