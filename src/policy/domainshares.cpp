#include "mulberryplank/policy/domainshares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Four ticks of the processes that report, so that three lost messages in a row don't change a share.
constexpr Duration ReportLifetime = Seconds(2);
// A share starts a little above MaxDomainUtilization, so that a demand that varies around it doesn't start and stop it.
constexpr double StartUtilization = 0.9;
// A domain offers its capacity up to this utilization, so that its own callers' demand may grow before the others'
// requests have stopped.
constexpr double OfferUtilization = 0.75;
// A share that is no longer needed falls by this time constant. Demand changes within seconds, and a share that falls
// as fast as it grows would follow each change of the estimates.
constexpr double FallSeconds = 3;
constexpr double MinShare = 0.005; // smaller shares end

double excessOf(const DomainLoad &load)
{
    return std::max(load.demand - MaxDomainUtilization * load.capacity, 0.0);
}

double spareOf(const DomainLoad &load)
{
    return std::max(OfferUtilization * load.capacity - load.demand, 0.0);
}

} // namespace

} // namespace internal

AgreedShare agreedShare(const std::map<FailureDomain, DomainLoad> &domains,
                        const FailureDomain &own,
                        double previous,
                        Duration sincePrevious)
{
    AgreedShare result;
    const auto found = domains.find(own);
    if (found == domains.end() || found->second.demand <= 0) {
        return result;
    }
    double excess = 0;
    double spare = 0;
    for (const auto &[domain, load] : domains) {
        excess += internal::excessOf(load);
        spare += domain == own ? 0 : internal::spareOf(load);
    }
    const DomainLoad &load = found->second;
    const bool starts = previous > 0 || load.demand > internal::StartUtilization * load.capacity;
    const double wanted = starts ? internal::excessOf(load) / load.demand : 0;
    const double kept = previous * std::exp(-toSeconds(sincePrevious) / internal::FallSeconds);
    // All domains with an excess share the spare capacity. While this one has none, its share only falls.
    const double part = excess > 0 ? std::min(spare / excess, 1.0) : 1;
    const double share = std::max(wanted * part, std::min(kept, spare / load.demand * part));
    if (share < internal::MinShare || spare <= 0) {
        return result;
    }
    result.share = std::min(share, 1.0);
    for (const auto &[domain, other] : domains) {
        if (domain != own && internal::spareOf(other) > 0) {
            result.weights[domain] = internal::spareOf(other) / spare;
        }
    }
    return result;
}

std::vector<double> routeShares(const std::vector<RouteDemand> &routes, double share)
{
    std::vector<std::size_t> order(routes.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&routes](std::size_t one, std::size_t other) {
        return std::pair(routes[one].priority, routes[one].bytes)
               < std::pair(routes[other].priority, routes[other].bytes);
    });
    double left = 0;
    for (const RouteDemand &route : routes) {
        left += route.demand * share;
    }
    std::vector<double> result(routes.size());
    for (const std::size_t index : order) {
        const double leaves = std::min(left, routes[index].demand);
        result[index] = routes[index].demand > 0 ? leaves / routes[index].demand : 0;
        left -= leaves;
    }
    return result;
}

void DomainShares::note(Incarnation process, const DomainLoad &report, Instant now)
{
    m_reports[process] = { report, now };
}

std::map<FailureDomain, DomainLoad> DomainShares::loads(Instant now) const
{
    std::map<FailureDomain, DomainLoad> sums;
    std::map<FailureDomain, double> processes;
    for (const auto &[process, report] : m_reports) {
        if (now - report.at <= internal::ReportLifetime) {
            DomainLoad &sum = sums[report.load.domain];
            sum.domain = report.load.domain;
            sum.demand += report.load.demand;
            sum.capacity += report.load.capacity;
            processes[report.load.domain] += 1;
        }
    }
    for (auto &[domain, sum] : sums) {
        sum.capacity /= processes[domain];
    }
    return sums;
}

bool DomainShares::hasOtherReports(Incarnation self, Instant now) const
{
    return std::any_of(m_reports.begin(), m_reports.end(), [self, now](const auto &entry) {
        return entry.first != self && now - entry.second.at <= internal::ReportLifetime;
    });
}

void DomainShares::update(const FailureDomain &own, Instant now)
{
    std::erase_if(m_reports, [now](const auto &entry) {
        return now - entry.second.at > internal::ReportLifetime;
    });
    m_share = agreedShare(loads(now), own, m_share.share, now - m_updatedAt);
    m_updatedAt = now;
}

const AgreedShare &DomainShares::share() const
{
    return m_share;
}

} // namespace mulberryplank
