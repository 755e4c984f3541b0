#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The load of one service in a failure domain, in slots of targets.
struct DomainLoad {
    FailureDomain domain;
    double demand = 0; // slots that the requests of the domain's callers keep busy, wherever these are served
    double capacity = 0; // slots of the domain's targets that are expected to serve requests
};

// Above this utilization of a domain's capacity the queues at its targets grow faster than the demand: what exceeds it
// leaves the domain, and the domain counts as full to others.
inline constexpr double MaxDomainUtilization = 0.85;

// Which part of its demand a domain sends to others.
struct AgreedShare {
    double share = 0; // 0 to 1
    std::map<FailureDomain, double> weights; // of the domains that it is sent to; their sum is 1 if there are any
};

// Returns the share of the demand of `own` that leaves, given the load of all domains with known capacity, `own`
// included. A domain beyond its utilization bound sends the excess to domains with spare capacity above their own
// demand, by that spare capacity; if it is too little for all, each gets an equal part of its excess. `previous` is the
// share before and `sincePrevious` the time since then: a share grows immediately, falls slowly, and starts only beyond
// a higher bound, but never exceeds what others can take.
AgreedShare agreedShare(const std::map<FailureDomain, DomainLoad> &domains,
                        const FailureDomain &own,
                        double previous,
                        Duration sincePrevious);

// The recent demand of one route.
struct RouteDemand {
    std::uint32_t priority = 0; // 0 is the most urgent
    double bytes = 0; // mean size of a response
    double demand = 0; // in slots
};

// Returns which share (0 to 1) of each route's requests leaves if `share` of their whole demand leaves. The most urgent
// routes leave first, those with the smallest responses among them.
std::vector<double> routeShares(const std::vector<RouteDemand> &routes, double share);

// Collects the reports of the processes on one service. Each reports the demand of its own callers and its estimate of
// its domain's capacity. A domain's demand is their sum, its capacity their mean. Thread-compatible.
class DomainShares
{
public:
    // Records the latest report of a process.
    void note(Incarnation process, const DomainLoad &report, Instant now);

    // Returns the load of each domain. Reports older than 2 s don't count: their process may be dead, or cut off.
    std::map<FailureDomain, DomainLoad> loads(Instant now) const;

    // Returns whether a process other than `self` has a report that counts.
    bool hasOtherReports(Incarnation self, Instant now) const;

    // Forgets old reports and updates the share of `own`, which share() then returns.
    void update(const FailureDomain &own, Instant now);

    const AgreedShare &share() const;

private:
    struct Report {
        DomainLoad load;
        Instant at;
    };

    std::map<Incarnation, Report> m_reports; // the latest of each process
    AgreedShare m_share;
    Instant m_updatedAt {};
};

} // namespace mulberryplank
