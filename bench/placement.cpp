// Measures placement: how much moves when a member leaves or joins, against modulo and a ring; how evenly services
// spread; what it costs, from scratch and kept up to date; and whether widening a service's set by load helps a
// suddenly popular service. Prints JSON: bench-placement [--out FILE]
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
constexpr std::size_t SetSize = 12; // two in each failure domain
constexpr std::size_t SampledServices = 350; // for the comparison, which places each service many times
constexpr std::size_t RingPoints = 100; // of each member

using Choice = std::function<std::set<std::string>(std::size_t service, const std::vector<Member> &members)>;

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
    for (std::size_t i = 0; i < SetSize; ++i) {
        chosen.insert(members[(hash + i) % members.size()].vm.value());
    }
    return chosen;
}

// The ring is built once per member list.
Choice byRing(const std::vector<Member> &members)
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
        while (chosen.size() < SetSize) {
            at = at == ring.end() ? ring.begin() : at;
            chosen.insert(at->second);
            ++at;
        }
        return chosen;
    };
}

// The share of all places that are held by another member afterwards.
double moved(const Choice &before, const std::vector<Member> &old, const Choice &after, const std::vector<Member> &now)
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
    std::vector<Member> rest;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool leaves = leaving == 1 ? i == 3 : hashOf(all[i].vm.value()) % (size / leaving) == 0;
        if (!leaves) {
            rest.push_back(all[i]);
        }
    }
    const Choice ringAll = byRing(all);
    const Choice ringRest = byRing(rest);
    return { { "members", size },
             { "leave_share", static_cast<double>(size - rest.size()) / static_cast<double>(size) },
             { "moved_on_leave_rendezvous", moved(byRendezvous, all, byRendezvous, rest) },
             { "moved_on_leave_ring", moved(ringAll, all, ringRest, rest) },
             { "moved_on_leave_modulo", moved(byModulo, all, byModulo, rest) },
             { "moved_on_join_rendezvous", moved(byRendezvous, rest, byRendezvous, all) },
             { "moved_on_join_ring", moved(ringRest, rest, ringAll, all) },
             { "moved_on_join_modulo", moved(byModulo, rest, byModulo, all) } };
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
    std::size_t most = 0;
    for (const auto &[vm, count] : load) {
        most = std::max(most, count);
    }
    const double mean = static_cast<double>(Services * SetSize) / static_cast<double>(FleetSize);
    return { { "services_per_member_mean", mean },
             { "services_per_member_max", most },
             { "members_without_a_service", FleetSize - load.size() },
             { "microseconds_per_service", seconds * 1e6 / static_cast<double>(Services) },
             { "seconds_for_all_services", seconds } };
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// A VM is replaced: its member goes, and later another comes. Both ways of following it, at the same members.
boost::json::object memberChange()
{
    constexpr std::size_t Replacements = 100;
    const std::vector<Member> newcomers = fleetOf(FleetSize + Replacements);
    std::vector<Member> members(newcomers.begin(), newcomers.begin() + FleetSize);
    PlacementIndex index({});
    const double filling = processorSeconds();
    index.setMembers(members);
    for (std::size_t service = 0; service < Services; ++service) {
        index.setService(serviceName(service), {});
    }
    const double filled = processorSeconds();
    std::size_t touched = 0;
    for (std::size_t i = 0; i < Replacements; ++i) {
        const std::size_t replaced = (i * 61) % members.size();
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(replaced));
        touched += index.setMembers(members).size();
        members.push_back(newcomers[FleetSize + i]);
        touched += index.setMembers(members).size();
    }
    const double followed = processorSeconds();
    for (std::size_t i = 0; i < Replacements; ++i) {
        members[i].applied += 1;
        index.setMembers(members);
    }
    const double applied = processorSeconds();
    std::size_t wrong = 0;
    for (std::size_t service = 0; service < Services; ++service) {
        wrong +=
            assignedProxies(serviceName(service), members, {}) == index.assignedProxiesOf(serviceName(service)) ? 0 : 1;
    }
    const double scratch = processorSeconds() - applied;
    const double change = (followed - filled) / (2 * Replacements);
    return { { "members", FleetSize },
             { "services", Services },
             { "seconds_to_fill_the_index", filled - filling },
             { "seconds_from_scratch", scratch },
             { "milliseconds_per_member_change", change * 1e3 },
             { "scratch_over_index", scratch / change },
             { "services_touched_per_change", static_cast<double>(touched) / (2 * Replacements) },
             { "milliseconds_per_update_without_change", (applied - followed) / Replacements * 1e3 },
             { "services_that_differ_from_scratch", wrong } };
}

// A service gets popular at once, up to what its targets can do. The fixed set is sized by the targets, the wide one by
// the load that was seen. Callers keep their answer for its lifetime, so a wider set comes into use over that time.
boost::json::object widening(std::size_t targets, double millisPerRequest)
{
    const PlacementSettings settings;
    constexpr double SlotsPerTarget = 4;
    const double peak = static_cast<double>(targets) * SlotsPerTarget * 1000 / millisPerRequest;
    const std::vector<Member> members = fleetOf(FleetSize);
    const auto fixed = static_cast<double>(assignedProxies(serviceName(0), members, settings, { targets }).size());
    const auto wide = static_cast<double>(assignedProxies(serviceName(0), members, settings, { targets, peak }).size());
    const double overloadBefore = peak / fixed / settings.requestsPerProxy;
    const double overloadAfter = peak / wide / settings.requestsPerProxy;
    // Halfway through the lifetime half of the callers still know the old set only.
    const double overloadHalfway = (0.5 * peak / fixed + 0.5 * peak / wide) / settings.requestsPerProxy;
    return { { "targets", targets },
             { "millis_per_request", millisPerRequest },
             { "peak_requests_per_second", peak },
             { "carriers_fixed", fixed },
             { "carriers_widened", wide },
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
