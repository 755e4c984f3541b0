#pragma once

// The scenarios of the health measurement: services, their traffic, and the faults of their targets.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/time.h"

namespace healthmodel
{

using namespace mulberryplank;

struct RouteModel {
    double share; // of the requests
    double factor; // of the service's median time
    bool idempotent;
};

inline constexpr std::array<RouteModel, 4> Routes {
    RouteModel { 0.50, 1.0, true },
    RouteModel { 0.25, 0.6, true },
    RouteModel { 0.15, 2.0, false },
    RouteModel { 0.10, 4.0, true },
};

// Service times are lognormal with a Pareto tail. The distribution is the same for all targets except for a fixed
// factor per target.
struct ServiceModel {
    std::string name;
    std::size_t targets = 6;
    double requestsPerSecond = 100; // on average over one period of the load wave
    double medianSeconds = 0.030; // of the first route
    double floorShare = 0.5;
};

inline std::vector<ServiceModel> servicesOfBothRegions()
{
    return {
        { "addressbook", 6, 80, 0.020 },  { "pressdesk", 11, 220, 0.030 }, { "proofroom", 6, 60, 0.040 },
        { "tracker", 7, 100, 0.020 },     { "buglist", 6, 120, 0.020 },    { "ticketdesk", 9, 120, 0.030 },
        { "capturestore", 6, 40, 0.050 }, { "buildlog", 8, 80, 0.030 },
    };
}

enum class FaultKind : std::uint8_t {
    None,
    Slow3,
    Slow10,
    SlowRoute,
    Errors20,
    Truncated2,
    WrongBody,
    Hang,
    SlowZeroLoad,
    Flap2,
    Flap10,
    Flap60,
    OneProxy,
    Half,
    AllSlow,
    HalfInDeploy,
};

inline constexpr std::array<std::string_view, 16> FaultNames {
    "none",
    "3x slow",
    "10x slow",
    "10x slow, one route",
    "20% errors",
    "2% truncated",
    "30% wrong body",
    "accepts and hangs",
    "10x slow, load reported as 0",
    "10x slow, flaps at 2 s",
    "10x slow, flaps at 10 s",
    "10x slow, flaps at 60 s",
    "10x slow and 20% errors, one proxy's path",
    "half at once, 10x slow",
    "all at once, 5x slow",
    "half at once, 10x slow, in a deploy",
};

struct Fault {
    FaultKind kind = FaultKind::None;
    Duration onset {};
    double slowFactor = 1; // of the service time while the fault is active
    double errorShare = 0;
    double truncatedShare = 0;
    double wrongBodyShare = 0;
    bool hangs = false;
    bool reportsZeroLoad = false;
    int onlyRoute = -1;
    int onlyProxy = -1;
    Duration flapPeriod {}; // faulty for one half, healthy for the other; 0: no flapping
    std::size_t faultyTargets = 1;
};

inline Fault faultOf(FaultKind kind, std::size_t targets)
{
    Fault fault;
    fault.kind = kind;
    fault.onset = Seconds { 25 };
    switch (kind) {
    case FaultKind::None:
        fault.faultyTargets = 0;
        break;
    case FaultKind::Slow3:
        fault.slowFactor = 3;
        break;
    case FaultKind::Slow10:
        fault.slowFactor = 10;
        break;
    case FaultKind::SlowRoute:
        fault.slowFactor = 10;
        fault.onlyRoute = 2;
        break;
    case FaultKind::Errors20:
        fault.errorShare = 0.2;
        break;
    case FaultKind::Truncated2:
        fault.truncatedShare = 0.02;
        break;
    case FaultKind::WrongBody:
        fault.wrongBodyShare = 0.3;
        break;
    case FaultKind::Hang:
        fault.hangs = true;
        break;
    case FaultKind::SlowZeroLoad:
        fault.slowFactor = 10;
        fault.reportsZeroLoad = true;
        break;
    case FaultKind::Flap2:
    case FaultKind::Flap10:
    case FaultKind::Flap60:
        fault.slowFactor = 10;
        fault.flapPeriod = kind == FaultKind::Flap2    ? Seconds { 2 }
                           : kind == FaultKind::Flap10 ? Seconds { 10 }
                                                       : Seconds { 60 };
        break;
    case FaultKind::OneProxy:
        fault.onlyProxy = 0;
        fault.slowFactor = 10;
        fault.errorShare = 0.2;
        break;
    case FaultKind::Half:
    case FaultKind::HalfInDeploy:
        fault.slowFactor = 10;
        fault.faultyTargets = targets / 2;
        break;
    case FaultKind::AllSlow:
        fault.slowFactor = 5;
        fault.faultyTargets = targets;
        break;
    }
    return fault;
}

} // namespace healthmodel
