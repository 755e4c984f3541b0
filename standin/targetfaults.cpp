#include "targetfaults.h"

#include <stdexcept>

#include "switches.h"

namespace standin
{

namespace
{

// The switches by name, one table per type, so that reading and showing them can't differ.
struct NumberSwitch {
    const char *name;
    double TargetFaults::*member;
    bool share;
};

constexpr NumberSwitch Numbers[] = {
    { "slow_factor", &TargetFaults::slowFactor, false }, { "slow_ms", &TargetFaults::slowMs, false },
    { "error_share", &TargetFaults::errorShare, true },  { "truncate_share", &TargetFaults::truncateShare, true },
    { "stall_share", &TargetFaults::stallShare, true },  { "hang_share", &TargetFaults::hangShare, true },
    { "reset_share", &TargetFaults::resetShare, true },  { "flap_ms", &TargetFaults::flapMs, false },
};

struct BoolSwitch {
    const char *name;
    bool TargetFaults::*member;
};

constexpr BoolSwitch Bools[] = {
    { "wrong_body", &TargetFaults::wrongBody },
    { "lie_health", &TargetFaults::lieHealth },
    { "lie_load", &TargetFaults::lieLoad },
    { "refuse_after_accept", &TargetFaults::refuseAfterAccept },
    { "hold", &TargetFaults::hold },
};

constexpr const char *SlowPath = "slow_path";

} // namespace

void change(TargetFaults &faults, Switches &switches)
{
    TargetFaults changed = faults;
    for (const NumberSwitch &number : Numbers) {
        switches.take(number.name, changed.*number.member);
        if (number.share && changed.*number.member > 1) {
            throw std::invalid_argument(std::string(number.name) + " must be from 0 to 1");
        }
    }
    for (const BoolSwitch &flag : Bools) {
        switches.take(flag.name, changed.*flag.member);
    }
    switches.take(SlowPath, changed.slowPath);
    switches.finish();
    faults = changed;
}

boost::json::object toJson(const TargetFaults &faults)
{
    boost::json::object object;
    for (const NumberSwitch &number : Numbers) {
        object[number.name] = faults.*number.member;
    }
    for (const BoolSwitch &flag : Bools) {
        object[flag.name] = faults.*flag.member;
    }
    object[SlowPath] = faults.slowPath;
    return object;
}

TargetFaults inForce(const TargetFaults &faults, std::chrono::nanoseconds sinceSwitched)
{
    if (faults.flapMs <= 0) {
        return faults;
    }
    const double millis = std::chrono::duration<double, std::milli>(sinceSwitched).count();
    const auto turn = static_cast<std::int64_t>(millis / faults.flapMs);
    return turn % 2 == 0 ? faults : TargetFaults {};
}

double slowed(const TargetFaults &faults, std::string_view path, double normalMs)
{
    if (!path.starts_with(faults.slowPath)) {
        return normalMs;
    }
    return normalMs * faults.slowFactor + faults.slowMs;
}

} // namespace standin
