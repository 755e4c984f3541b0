#include "targetfaults.h"

#include <stdexcept>

#include "jsonobjectreader.h"

namespace standin
{

namespace
{

// The names of the fields, one table per type. Both applyFaults() and toJson() use them, so that they can't differ.
struct NumberField {
    const char *name;
    double TargetFaults::*member;
    bool share;
};

constexpr NumberField Numbers[] = {
    { "slow_factor", &TargetFaults::slowFactor, false }, { "slow_ms", &TargetFaults::slowMs, false },
    { "error_share", &TargetFaults::errorShare, true },  { "truncate_share", &TargetFaults::truncateShare, true },
    { "stall_share", &TargetFaults::stallShare, true },  { "hang_share", &TargetFaults::hangShare, true },
    { "reset_share", &TargetFaults::resetShare, true },  { "flap_ms", &TargetFaults::flapMs, false },
};

struct BoolField {
    const char *name;
    bool TargetFaults::*member;
};

constexpr BoolField Bools[] = {
    { "wrong_body", &TargetFaults::wrongBody },
    { "lie_health", &TargetFaults::lieHealth },
    { "lie_load", &TargetFaults::lieLoad },
    { "refuse_after_accept", &TargetFaults::refuseAfterAccept },
    { "hold", &TargetFaults::hold },
};

constexpr const char *SlowPath = "slow_path";

} // namespace

void applyFaults(TargetFaults &faults, JsonObjectReader &reader)
{
    TargetFaults changed = faults;
    for (const NumberField &number : Numbers) {
        reader.extract(number.name, changed.*number.member);
        if (number.share && changed.*number.member > 1) {
            throw std::invalid_argument(std::string(number.name) + " must be from 0 to 1");
        }
    }
    for (const BoolField &flag : Bools) {
        reader.extract(flag.name, changed.*flag.member);
    }
    reader.extract(SlowPath, changed.slowPath);
    reader.rejectUnknown();
    faults = changed;
}

boost::json::object toJson(const TargetFaults &faults)
{
    boost::json::object object;
    for (const NumberField &number : Numbers) {
        object[number.name] = faults.*number.member;
    }
    for (const BoolField &flag : Bools) {
        object[flag.name] = faults.*flag.member;
    }
    object[SlowPath] = faults.slowPath;
    return object;
}

TargetFaults activeFaults(const TargetFaults &faults, std::chrono::nanoseconds sinceChange)
{
    if (faults.flapMs <= 0) {
        return faults;
    }
    const double millis = std::chrono::duration<double, std::milli>(sinceChange).count();
    const auto period = static_cast<std::int64_t>(millis / faults.flapMs);
    return period % 2 == 0 ? faults : TargetFaults {};
}

double slowedServiceTime(const TargetFaults &faults, std::string_view path, double normalMs)
{
    if (!path.starts_with(faults.slowPath)) {
        return normalMs;
    }
    return normalMs * faults.slowFactor + faults.slowMs;
}

} // namespace standin
