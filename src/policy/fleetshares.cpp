#include "mulberryplank/policy/fleetshares.h"

#include <algorithm>
#include <cmath>

#include "fleetsharesprivate.h"

namespace mulberryplank
{

using namespace internal;

namespace
{

// What an unknown account may do; a rate of 0 would mean no limit.
constexpr double MinRate = 1e-6;

constexpr double MinLocalWeight = 0.001;

// What an account may come to want until the next report, as a factor: without this room, an account that uses less
// than its part would queue at a proxy that has no other account to leave slots.
constexpr double DemandRoom = 1.25;

constexpr double CountTolerance = 1e-6;

std::uint32_t localCount(double allowed)
{
    const double whole = std::floor(allowed + CountTolerance);
    return whole < 1 ? AdmitNone : static_cast<std::uint32_t>(whole);
}

// The demand for a service's slots, by account.
struct SlotDemand {
    double weight = 0;
    double whole = 0; // of all members
    double own = 0;
    double granted = 0;
};

// Divides slots by weight among those who want them; what one doesn't want goes to the others.
void divideSlots(std::vector<SlotDemand> &demands, double slots)
{
    std::sort(demands.begin(), demands.end(), [](const SlotDemand &one, const SlotDemand &other) {
        return one.whole / one.weight < other.whole / other.weight;
    });
    double weights = 0;
    for (const SlotDemand &demand : demands) {
        weights += demand.weight;
    }
    for (SlotDemand &demand : demands) {
        demand.granted = std::min(demand.whole * DemandRoom, slots * demand.weight / weights);
        slots -= demand.granted;
        weights -= demand.weight;
    }
}

} // namespace

FleetShares::FleetShares(FleetSharesSettings settings, Instant now)
    : m_d(std::make_unique<Private>(std::move(settings), now))
{
}

FleetShares::~FleetShares() = default;

void FleetShares::setMembers(std::vector<VmName> members, Instant now)
{
    const std::uint64_t before = m_d->peers.membersDigest();
    m_d->peers.setMembers(std::move(members), now);
    if (before == m_d->peers.membersDigest()) {
        return;
    }
    if (!m_d->peers.isMember(m_d->settings.self)) {
        m_d->releaseClaims();
    }
    if (m_d->evenPartsClaimed) {
        // Even parts of fewer members are larger: the others have to agree on them anew.
        m_d->evenPartsSequence = m_d->sequence + 1;
    }
    m_d->contentChanged = true;
    m_d->next = std::min(m_d->next, now + m_d->settings.quickInterval);
}

void FleetShares::setAccount(AccountIndex index, const Row &row)
{
    const auto before = m_d->rows.find(index);
    if (before != m_d->rows.end()) {
        m_d->rescale(index, limitsOf(before->second), limitsOf(row));
    }
    m_d->rows[index] = row;
    m_d->indexes[row.account.value()] = index;
}

void FleetShares::removeAccount(AccountIndex index)
{
    const auto row = m_d->rows.find(index);
    if (row == m_d->rows.end()) {
        return;
    }
    m_d->indexes.erase(row->second.account.value());
    m_d->named.erase(index);
    m_d->rows.erase(row);
    m_d->contentChanged = true;
}

void FleetShares::observe(const std::vector<AccountDemand> &demands)
{
    std::unordered_map<AccountIndex, const AccountDemand *> observed;
    for (const AccountDemand &demand : demands) {
        m_d->name(demand.account);
        observed[demand.account] = &demand;
    }
    for (auto &[index, account] : m_d->named) {
        const auto found = observed.find(index);
        AccountDemand none;
        none.interval = m_d->settings.reportInterval;
        Private::smooth(account, found == observed.end() ? none : *found->second);
    }
}

Instant FleetShares::nextReport() const
{
    return m_d->next;
}

DemandReport FleetShares::report(Instant now)
{
    m_d->peers.markUnresponsive(now);
    const bool cutOff = m_d->holdsAnything() && !m_d->peers.connected(now);
    if (cutOff || (m_d->evenPartsClaimed && m_d->peers.markedUnresponsiveByPeer(now))) {
        m_d->releaseClaims();
    }
    m_d->claimEvenParts(now);
    m_d->contentChanged = m_d->updateReported() || m_d->contentChanged;
    m_d->forgetIdleAccounts();
    m_d->adjustClaims(now);
    DemandReport report = m_d->compose(now);
    m_d->confirmClaims(now);
    const bool quick = m_d->hasPendingClaims() || report.complete;
    m_d->next = now + (quick ? m_d->settings.quickInterval : m_d->settings.reportInterval);
    return report;
}

DemandReport FleetShares::leave(Instant now)
{
    m_d->releaseClaims();
    m_d->named.clear();
    DemandReport report = m_d->compose(now);
    report.leaving = true;
    return report;
}

void FleetShares::merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now)
{
    if (from == m_d->settings.self && incarnation == m_d->settings.incarnation) {
        return;
    }
    const FleetPeer *peer = m_d->peers.merge(from, incarnation, report, now);
    if (peer == nullptr) {
        return;
    }
    m_d->nameAccountsOf(*peer);
    m_d->confirmClaims(now);
    if (report.complete || m_d->contentChanged) {
        m_d->next = std::min(m_d->next, now + m_d->settings.quickInterval);
    }
}

Limits FleetShares::localLimits(AccountIndex index, Instant now) const
{
    const auto row = m_d->rows.find(index);
    if (row == m_d->rows.end()) {
        return { MinRate, AdmitNone, AdmitNone };
    }
    const ShareAmounts limits = limitsOf(row->second);
    const auto named = m_d->named.find(index);
    const bool connected = m_d->peers.connected(now);
    ShareAmounts allowed {};
    for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
        const LimitParts split = m_d->parts(index, kind);
        const double usable =
            named != m_d->named.end() ? named->second.usable.at(kind) : m_d->usableEvenPart(kind, split.pool);
        allowed.at(kind) = split.fixed + (connected ? usable : 0);
    }
    Limits local;
    local.requestsPerSecond = limits[0] > 0 ? std::max(allowed[0], MinRate) : 0;
    local.inFlight = limits[1] > 0 ? localCount(allowed[1]) : 0;
    local.queue = limits[2] > 0 ? localCount(allowed[2]) : 0;
    return local;
}

double FleetShares::localWeight(AccountIndex index) const
{
    const auto row = m_d->rows.find(index);
    if (row == m_d->rows.end()) {
        return MinLocalWeight;
    }
    const double weight = row->second.weight;
    const auto named = m_d->named.find(index);
    const double own = named == m_d->named.end() ? 0 : named->second.reportedSlots;
    const double whole = own + m_d->othersSlots(index);
    return whole <= 0 ? weight : std::max(weight * own / whole, MinLocalWeight);
}

double FleetShares::capacityShare(double slots) const
{
    std::vector<SlotDemand> demands;
    for (const auto &[index, account] : m_d->named) {
        const auto row = m_d->rows.find(index);
        if (row == m_d->rows.end()) {
            continue;
        }
        const double whole = account.reportedSlots + m_d->othersSlots(index);
        if (whole > 0) {
            demands.push_back({ static_cast<double>(row->second.weight), whole, account.reportedSlots });
        }
    }
    const std::uint32_t members = std::max(m_d->peers.memberCount(), 1U);
    if (slots <= 0) {
        return 1.0 / members;
    }
    divideSlots(demands, slots);
    double own = 0;
    double granted = 0;
    for (const SlotDemand &demand : demands) {
        own += demand.granted * demand.own / demand.whole;
        granted += demand.granted;
    }
    return (own + (slots - granted) / members) / slots;
}

Duration FleetShares::typicalCost() const
{
    constexpr auto RateKind = static_cast<std::size_t>(LimitKind::RequestsPerSecond);
    double logarithms = 0;
    double requests = 0;
    const auto add = [&](double rate, double slots) {
        if (rate > 0 && slots > 0) {
            logarithms += rate * std::log(slots / rate);
            requests += rate;
        }
    };
    for (const auto &[index, account] : m_d->named) {
        add(account.reportedWanted.at(RateKind), account.reportedSlots);
    }
    for (const FleetPeer &peer : m_d->peers.peers()) {
        for (const auto &[name, account] : peer.accounts) {
            add(account.wanted.at(RateKind), account.slots);
        }
    }
    return requests > 0 ? fromSeconds(std::exp(logarithms / requests)) : Duration::zero();
}

Instant FleetShares::leaseEnd() const
{
    return m_d->peers.connectedUntil();
}

} // namespace mulberryplank
