// Measures membership on virtual time: how soon the other members detect a member that is dead, paused or receives
// nothing, and the messages, bytes and processor time per member. Prints JSON: bench-members [--out FILE] [SIZE...]
#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "mulberryplank/net/membershipcodec.h"
#include "mulberryplank/net/peerenvelope.h"

#include "../tests/virtualfleet.h"

using namespace mulberryplank;

namespace
{

constexpr Seconds IdleTime { 10 };
constexpr Seconds FaultTime { 20 };
constexpr std::size_t LargeFleet = 2'000; // from this size on, one fault of each kind is tried
constexpr std::size_t Faults = 5;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Returns the size of a message on the wire: sealed, with UDP and IP headers.
std::size_t wireSize(const MembershipMessage &message)
{
    constexpr std::size_t UdpAndIpHeaders = 28;
    static const std::size_t Envelope = [] {
        PeerEnvelope empty;
        empty.vm = VmName("vm-1000");
        empty.from = { "10.0.0.1", 1'000 };
        empty.destination = "10.0.0.1:1000";
        return seal(empty, "key").size();
    }();
    return UdpAndIpHeaders + Envelope + encode(message).size();
}

// The times at which each other member first suspected the victim and first declared it dead, in seconds after the
// fault.
struct DetectionTimes {
    std::vector<double> suspected;
    std::vector<double> dead;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

boost::json::object summary(const std::vector<double> &values, std::size_t observers)
{
    return { { "p50", quantile(values, 0.5) },
             { "p99", quantile(values, 0.99) },
             { "max", quantile(values, 1) },
             { "noticed_by", static_cast<double>(values.size()) / static_cast<double>(observers) } };
}

enum class Fault {
    Dead,
    Paused,
    InboundBlocked,
};

std::size_t tryFault(VirtualFleet &fleet, Fault fault, std::size_t victim, DetectionTimes &detectionTimes)
{
    const Instant begin = fleet.now();
    const Incarnation incarnation = fleet.node(victim).self.incarnation;
    std::vector<bool> suspected(fleet.size());
    std::vector<bool> dead(fleet.size());
    std::size_t falseSuspicions = 0;
    fleet.onEvent = [&](std::size_t node, const MembershipEvent &event) {
        const bool isDeath = event.event == Event::MemberDead;
        if (node == victim || (!isDeath && event.event != Event::MemberSuspected)) {
            return;
        }
        if (event.member.incarnation != incarnation) {
            ++falseSuspicions;
            return;
        }
        const double after = toSeconds(fleet.now() - begin);
        if (!suspected[node]) {
            suspected[node] = true;
            detectionTimes.suspected.push_back(after);
        }
        if (isDeath && !dead[node]) {
            dead[node] = true;
            detectionTimes.dead.push_back(after);
        }
    };
    switch (fault) {
    case Fault::Dead:
        fleet.kill(victim);
        break;
    case Fault::Paused:
        fleet.pause(victim, FaultTime);
        break;
    case Fault::InboundBlocked:
        fleet.blocked = [victim](std::size_t, std::size_t to) {
            return to == victim;
        };
        break;
    }
    fleet.run(FaultTime);
    fleet.onEvent = {};
    fleet.blocked = {};
    if (fault == Fault::Dead) {
        fleet.start(victim);
    }
    fleet.run(FaultTime / 2);
    return falseSuspicions;
}

boost::json::object measure(std::size_t size)
{
    VirtualFleet fleet(size, {}, 1);
    fleet.startAll();
    fleet.introduceAll();
    // The fleet is idle only after the updates about the start of all members have been disseminated.
    fleet.run(IdleTime);
    fleet.sizeOf = wireSize;
    const auto totals = [&fleet] {
        std::pair<std::uint64_t, std::uint64_t> sums;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            sums.first += fleet.node(i).messagesSent;
            sums.second += fleet.node(i).bytesSent;
        }
        return sums;
    };
    const auto before = totals();
    const auto timed = [&fleet, size](Duration length) {
        const double cpuBefore = processorSeconds();
        fleet.run(length);
        return (processorSeconds() - cpuBefore) / toSeconds(length) / static_cast<double>(size);
    };
    const double cpu = timed(IdleTime);
    const auto after = totals();
    const double memberSeconds = static_cast<double>(size) * toSeconds(IdleTime);
    boost::json::object result;
    result["members"] = size;
    result["messages_sent_per_member_per_second"] = static_cast<double>(after.first - before.first) / memberSeconds;
    result["bytes_sent_per_member_per_second"] = static_cast<double>(after.second - before.second) / memberSeconds;
    result["core_share_per_member_with_encoding_without_hmac"] = cpu;
    result["exchange_request_bytes"] = encode(fleet.node(0).membership->exchangeRequest()).size();
    fleet.sizeOf = {};

    std::size_t falseSuspicions = 0;
    const std::map<std::string, Fault> faults { { "dead", Fault::Dead },
                                                { "paused", Fault::Paused },
                                                { "half_deaf", Fault::InboundBlocked } };
    for (const auto &[name, fault] : faults) {
        const std::size_t count = size >= LargeFleet ? 1 : Faults;
        DetectionTimes detectionTimes;
        for (std::size_t i = 0; i < count; ++i) {
            falseSuspicions += tryFault(fleet, fault, 1 + i * (size - 2) / count, detectionTimes);
        }
        result[name] =
            boost::json::object { { "seconds_until_suspected", summary(detectionTimes.suspected, count * (size - 1)) },
                                  { "seconds_until_dead", summary(detectionTimes.dead, count * (size - 1)) } };
    }
    result["false_accusations"] = falseSuspicions;
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::string file;
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--out" && i + 1 < argc) {
            file = argv[++i];
        } else {
            sizes.push_back(std::stoul(argument));
        }
    }
    if (sizes.empty()) {
        sizes = { 32, 128, 1'000 };
    }
    boost::json::array results;
    for (const std::size_t size : sizes) {
        results.push_back(measure(size));
    }
    const std::string text = boost::json::serialize(boost::json::object { { "members", results } });
    std::cout << text << '\n';
    if (!file.empty()) {
        std::ofstream(file) << text << '\n';
    }
    return 0;
}
