// Measures placement: how many assignments move when a member leaves or joins, compared with modulo and a hash ring;
// how evenly services are distributed; the cost of full recomputation and of incremental updates; and whether widening
// a service's set of proxies by load helps a service whose load rises suddenly. Prints JSON:
// bench-placement [--out FILE]
#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <xxhash.h>

#include "mulberryplank/policy/placement.h"
#include "mulberryplank/policy/placementindex.h"

using namespace mulberryplank;

namespace
{

constexpr std::size_t FleetSize = 6'600;
constexpr std::size_t Domains = 6;
constexpr std::size_t Services = 3'500;
constexpr std::size_t ProxiesPerService = 12; // two in each failure domain
constexpr std::size_t SampledServices = 350; // for the comparison, which places each service many times
constexpr std::size_t RingPoints = 100; // per member

using PlacementFunction = std::function<std::set<std::string>(std::size_t service, const std::vector<Member> &members)>;

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::vector<Member> fleetOf(std::size_t size)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < size; ++i) {
        Member member;
        member.vm = VmName("vm-" + std::to_string(i));
        member.incarnation = i + 1;
        member.failureDomain = FailureDomain("hall-" + std::to_string(i % Domains));
        member.ready = true;
        members.push_back(member);
    }
    return members;
}

ServiceName serviceName(std::size_t service)
{
    return ServiceName("service-" + std::to_string(service));
}

std::set<std::string> byRendezvous(std::size_t service, const std::vector<Member> &members)
{
    std::set<std::string> chosen;
    for (const Member &member : assignedProxies(serviceName(service), members, {})) {
        chosen.insert(member.vm.value());
    }
    return chosen;
}

std::set<std::string> byModulo(std::size_t service, const std::vector<Member> &members)
{
    std::set<std::string> chosen;
    const std::uint64_t hash = hashOf(serviceName(service).value());
    for (std::size_t i = 0; i < ProxiesPerService; ++i) {
        chosen.insert(members[(hash + i) % members.size()].vm.value());
    }
    return chosen;
}

// Returns consistent hashing over a ring that is built once for this member list.
PlacementFunction byRing(const std::vector<Member> &members)
{
    std::map<std::uint64_t, std::string> ring;
    for (const Member &member : members) {
        for (std::size_t point = 0; point < RingPoints; ++point) {
            ring[hashOf(member.vm.value() + "#" + std::to_string(point))] = member.vm.value();
        }
    }
    return [ring = std::move(ring)](std::size_t service, const std::vector<Member> &) {
        std::set<std::string> chosen;
        auto at = ring.lower_bound(hashOf(serviceName(service).value()));
        while (chosen.size() < ProxiesPerService) {
            at = at == ring.end() ? ring.begin() : at;
            chosen.insert(at->second);
            ++at;
        }
        return chosen;
    };
}

// Returns the share of all assignments that move to another member.
double movedShare(const PlacementFunction &before,
                  const std::vector<Member> &old,
                  const PlacementFunction &after,
                  const std::vector<Member> &now)
{
    std::size_t places = 0;
    std::size_t changed = 0;
    for (std::size_t service = 0; service < SampledServices; ++service) {
        const auto first = before(service, old);
        const auto second = after(service, now);
        places += first.size();
        for (const std::string &vm : second) {
            changed += first.count(vm) == 0 ? 1 : 0;
        }
    }
    return static_cast<double>(changed) / static_cast<double>(places);
}

boost::json::object movement(std::size_t size, std::size_t leaving)
{
    const std::vector<Member> all = fleetOf(size);
    std::vector<Member> remaining;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool leaves = leaving == 1 ? i == 3 : hashOf(all[i].vm.value()) % (size / leaving) == 0;
        if (!leaves) {
            remaining.push_back(all[i]);
        }
    }
    const PlacementFunction ringAll = byRing(all);
    const PlacementFunction ringRest = byRing(remaining);
    return { { "members", size },
             { "leave_share", static_cast<double>(size - remaining.size()) / static_cast<double>(size) },
             { "moved_on_leave_rendezvous", movedShare(byRendezvous, all, byRendezvous, remaining) },
             { "moved_on_leave_ring", movedShare(ringAll, all, ringRest, remaining) },
             { "moved_on_leave_modulo", movedShare(byModulo, all, byModulo, remaining) },
             { "moved_on_join_rendezvous", movedShare(byRendezvous, remaining, byRendezvous, all) },
             { "moved_on_join_ring", movedShare(ringRest, remaining, ringAll, all) },
             { "moved_on_join_modulo", movedShare(byModulo, remaining, byModulo, all) } };
}

boost::json::object balanceAndCost()
{
    const std::vector<Member> members = fleetOf(FleetSize);
    std::map<std::string, std::size_t> load;
    const std::clock_t begin = std::clock();
    for (std::size_t service = 0; service < Services; ++service) {
        for (const std::string &vm : byRendezvous(service, members)) {
            ++load[vm];
        }
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    std::size_t maxServices = 0;
    for (const auto &[vm, count] : load) {
        maxServices = std::max(maxServices, count);
    }
    const double mean = static_cast<double>(Services * ProxiesPerService) / static_cast<double>(FleetSize);
    return { { "services_per_member_mean", mean },
             { "services_per_member_max", maxServices },
             { "members_without_a_service", FleetSize - load.size() },
             { "microseconds_per_service", seconds * 1e6 / static_cast<double>(Services) },
             { "seconds_for_all_services", seconds } };
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Measures the replacement of VMs: one member leaves, and another joins later. Compares incremental updates of the
// index with a full recomputation, for the same members.
boost::json::object memberChange()
{
    constexpr std::size_t Replacements = 100;
    const std::vector<Member> allMembers = fleetOf(FleetSize + Replacements);
    std::vector<Member> members(allMembers.begin(), allMembers.begin() + FleetSize);
    PlacementIndex index({});
    const double fillStart = processorSeconds();
    index.setMembers(members);
    for (std::size_t service = 0; service < Services; ++service) {
        index.setService(serviceName(service), {});
    }
    const double fillEnd = processorSeconds();
    std::size_t changedServices = 0;
    for (std::size_t i = 0; i < Replacements; ++i) {
        const std::size_t replaced = (i * 61) % members.size();
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(replaced));
        changedServices += index.setMembers(members).size();
        members.push_back(allMembers[FleetSize + i]);
        changedServices += index.setMembers(members).size();
    }
    const double updatesEnd = processorSeconds();
    for (std::size_t i = 0; i < Replacements; ++i) {
        members[i].applied += 1;
        index.setMembers(members);
    }
    const double applied = processorSeconds();
    std::size_t differing = 0;
    for (std::size_t service = 0; service < Services; ++service) {
        differing +=
            assignedProxies(serviceName(service), members, {}) == index.assignedProxiesOf(serviceName(service)) ? 0 : 1;
    }
    const double scratchSeconds = processorSeconds() - applied;
    const double secondsPerChange = (updatesEnd - fillEnd) / (2 * Replacements);
    return { { "members", FleetSize },
             { "services", Services },
             { "seconds_to_fill_the_index", fillEnd - fillStart },
             { "seconds_from_scratch", scratchSeconds },
             { "milliseconds_per_member_change", secondsPerChange * 1e3 },
             { "scratch_over_index", scratchSeconds / secondsPerChange },
             { "services_touched_per_change", static_cast<double>(changedServices) / (2 * Replacements) },
             { "milliseconds_per_update_without_change", (applied - updatesEnd) / Replacements * 1e3 },
             { "services_that_differ_from_scratch", differing } };
}

// Measures a sudden rise of a service's load to the capacity of its targets. The size of the fixed set depends on the
// targets, that of the widened set on the observed load. Callers cache their locate response for its lifetime, so the
// use of a wider set grows over that time.
boost::json::object widening(std::size_t targets, double millisPerRequest)
{
    const PlacementSettings settings;
    constexpr double SlotsPerTarget = 4;
    const double peak = static_cast<double>(targets) * SlotsPerTarget * 1000 / millisPerRequest;
    const std::vector<Member> members = fleetOf(FleetSize);
    const auto fixed = static_cast<double>(assignedProxies(serviceName(0), members, settings, { targets }).size());
    const auto widened =
        static_cast<double>(assignedProxies(serviceName(0), members, settings, { targets, peak }).size());
    const double overloadBefore = peak / fixed / settings.requestsPerProxy;
    const double overloadAfter = peak / widened / settings.requestsPerProxy;
    // Halfway through the lifetime, half of the callers still use the old set.
    const double overloadHalfway = (0.5 * peak / fixed + 0.5 * peak / widened) / settings.requestsPerProxy;
    return { { "targets", targets },
             { "millis_per_request", millisPerRequest },
             { "peak_requests_per_second", peak },
             { "carriers_fixed", fixed },
             { "carriers_widened", widened },
             { "load_over_rating_fixed", overloadBefore },
             { "load_over_rating_widened_half_a_lifetime_later", overloadHalfway },
             { "load_over_rating_widened_a_lifetime_later", overloadAfter } };
}

} // namespace

int main(int argc, char **argv)
{
    boost::json::object result;
    result["movement"] = boost::json::array { movement(32, 1), movement(600, 1), movement(600, 100) };
    result["balance_and_cost"] = balanceAndCost();
    result["member_change"] = memberChange();
    result["widening"] = boost::json::array { widening(11, 25), widening(60, 25), widening(11, 1) };
    const std::string text = boost::json::serialize(result);
    std::cout << text << '\n';
    if (argc == 3 && std::string(argv[1]) == "--out") {
        std::ofstream(argv[2]) << text << '\n';
    }
    return 0;
}
