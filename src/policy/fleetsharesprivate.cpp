#include "fleetsharesprivate.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

using namespace internal;

namespace internal
{

namespace
{

// Reported demand follows the real one in steps of this size. Each step makes all members report.
constexpr double DemandStep = 0.25;

// Over which demand for a limit is smoothed. Short, since a limit has to follow its demand soon.
constexpr double WantedSeconds = 1;

// Over which slot-time is smoothed. A few requests a second would else look like nothing now and a multitude then, and
// the account's weight at a proxy would fall just when it needs it.
constexpr double SlotsSeconds = 4;

// Smoothed demand below this counts as none.
constexpr double MinDemand = 0.01;

constexpr auto RateKind = static_cast<std::size_t>(LimitKind::RequestsPerSecond);

bool differs(double reported, double now)
{
    return std::abs(reported - now) > DemandStep * std::max(reported, now);
}

// Returns the part of a new observation in a demand smoothed interval `seconds`.
double gainOf(Duration interval, double seconds)
{
    return 1 - std::exp(-toSeconds(interval) / seconds);
}

double dropNegligible(double demand)
{
    return demand < MinDemand ? 0 : demand;
}

} // namespace

bool isWanted(const AccountReport &report)
{
    return report.slots > 0 || report.wanted != ShareAmounts {};
}

// Fixed parts are cut for one member more than there are: a process that takes the place of another one begins with its
// own while the other, perhaps only paused, may still use it.
LimitParts partsOf(std::size_t kind, double limit, double fixedPart, std::uint32_t members)
{
    const double count = std::max(members, 1U);
    if (kind == RateKind) {
        return { limit * fixedPart / (count + 1), limit * (1 - fixedPart) };
    }
    // The pool doesn't depend on the number of members, about which members may differ for a while.
    const double pool = limit - std::floor(limit * fixedPart);
    return { std::floor((limit - pool) / (count + 1)), pool };
}

ShareAmounts limitsOf(const Row &row)
{
    return { row.limits.requestsPerSecond,
             static_cast<double>(row.limits.inFlight),
             static_cast<double>(row.limits.queue) };
}

} // namespace internal

LimitParts FleetShares::Private::parts(AccountIndex index, std::size_t kind) const
{
    return partsOf(kind, limitsOf(rows.at(index)).at(kind), settings.fixedPart, peers.memberCount());
}

double FleetShares::Private::usableEvenPart(std::size_t kind, double pool) const
{
    if (evenPartsUsable == 0) {
        return 0;
    }
    return evenPart(kind, pool, std::max(evenPartsUsable, peers.memberCount()));
}

double FleetShares::Private::othersClaims(AccountIndex index, std::size_t kind, double pool, Instant now) const
{
    const AccountName &account = rows.at(index).account;
    double sum = 0;
    for (const FleetPeer &peer : peers.peers()) {
        if (!peers.claimsReleased(peer, now)) {
            sum += peer.claimed(account, kind, pool, peers.memberCount());
        }
    }
    return sum;
}

// What this member should hold of a pool: the part that its demand is of all demand. Counts of requests are rounded by
// largest remainder, in order of name where remainders are equal, so that all members come to the same numbers.
// Parts go by demand; what nobody asked for is divided evenly. Were it left with those that have demand, a member where
// the account turns up next would refuse it, far below its limit, until claims have moved.
double FleetShares::Private::target(AccountIndex index, const NamedAccount &own, std::size_t kind, double pool) const
{
    const std::string &account = rows.at(index).account.value();
    std::vector<std::pair<VmName, double>> demands { { settings.self, own.reportedWanted.at(kind) } };
    double sum = own.reportedWanted.at(kind);
    for (const FleetPeer &peer : peers.peers()) {
        if (peer.unresponsive || peer.last.leaving || !peers.isMember(peer.vm)) {
            continue;
        }
        const auto found = peer.accounts.find(account);
        const double wanted = found == peer.accounts.end() ? 0 : found->second.wanted.at(kind);
        demands.emplace_back(peer.vm, wanted);
        sum += wanted;
    }
    if (sum <= 0) {
        return evenPart(kind, pool, peers.memberCount());
    }
    const double spare = std::max(0.0, pool - sum) / static_cast<double>(demands.size());
    for (auto &[vm, wanted] : demands) {
        wanted += spare;
    }
    sum += spare * static_cast<double>(demands.size());
    if (kind == RateKind) {
        return pool * demands.front().second / sum;
    }
    double left = pool;
    for (const auto &[vm, wanted] : demands) {
        left -= std::floor(pool * wanted / sum);
    }
    std::sort(demands.begin(), demands.end(), [&](const auto &one, const auto &other) {
        const double oneRest = std::fmod(pool * one.second / sum, 1.0);
        const double otherRest = std::fmod(pool * other.second / sum, 1.0);
        return oneRest != otherRest ? oneRest > otherRest : one.first.value() < other.first.value();
    });
    const auto self = std::find_if(demands.begin(), demands.end(), [this](const auto &demand) {
        return demand.first == settings.self;
    });
    const bool getsRest = static_cast<double>(self - demands.begin()) < left;
    return std::floor(pool * self->second / sum) + (getsRest && self->second > 0 ? 1 : 0);
}

double FleetShares::Private::othersSlots(AccountIndex index) const
{
    const std::string &account = rows.at(index).account.value();
    double sum = 0;
    for (const FleetPeer &peer : peers.peers()) {
        const auto found = peer.accounts.find(account);
        if (found != peer.accounts.end() && !peer.unresponsive && !peer.last.leaving && peers.isMember(peer.vm)) {
            sum += found->second.slots;
        }
    }
    return sum;
}

bool FleetShares::Private::isWantedByPeer(AccountIndex index) const
{
    const std::string &account = rows.at(index).account.value();
    return std::any_of(peers.peers().begin(), peers.peers().end(), [&account](const FleetPeer &peer) {
        const auto found = peer.accounts.find(account);
        return !peer.unresponsive && !peer.last.leaving && found != peer.accounts.end() && isWanted(found->second);
    });
}

void FleetShares::Private::smooth(NamedAccount &account, const AccountDemand &demand)
{
    const double gain = gainOf(demand.interval, WantedSeconds);
    const ShareAmounts wanted { demand.requestsPerSecond, demand.inFlightWanted, demand.queueWanted };
    for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
        double &smoothed = account.wanted.at(kind);
        smoothed = dropNegligible(smoothed + gain * (wanted.at(kind) - smoothed));
    }
    const double slotsGain = account.slots == 0 ? 1 : gainOf(demand.interval, SlotsSeconds);
    account.slots = dropNegligible(account.slots + slotsGain * (demand.slots - account.slots));
    account.inUse = { 0, static_cast<double>(demand.running), static_cast<double>(demand.queued) };
}

// Lets the reported demand follow the real one; returns true if it moved.
bool FleetShares::Private::updateReported()
{
    bool moved = false;
    for (auto &[index, account] : named) {
        bool moves = differs(account.reportedSlots, account.slots);
        for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
            moves = moves || differs(account.reportedWanted.at(kind), account.wanted.at(kind));
        }
        if (moves) {
            account.reportedWanted = account.wanted;
            account.reportedSlots = account.slots;
            moved = true;
        }
    }
    return moved;
}

std::vector<AccountReport> FleetShares::Private::accountReports() const
{
    std::vector<AccountReport> reports;
    reports.reserve(named.size());
    for (const auto &[index, account] : named) {
        reports.push_back({ rows.at(index).account, account.reportedWanted, account.reportedSlots, account.claimed });
    }
    return reports;
}

DemandReport FleetShares::Private::compose(Instant now)
{
    ++sequence;
    if (contentChanged) {
        contentSequence = sequence;
        contentChanged = false;
    }
    DemandReport report;
    report.sequence = sequence;
    report.contentSequence = contentSequence;
    report.complete = contentSequence == sequence || !peers.reachablePeersAcknowledged(contentSequence, now);
    report.claimsEvenParts = evenPartsClaimed;
    report.membersDigest = peers.membersDigest();
    report.memberCount = peers.memberCount();
    report.peerStatus = peers.peerStatus(now);
    if (report.complete) {
        report.accounts = accountReports();
    }
    peers.recordSent(sequence, now);
    return report;
}

// Follows a lowered limit: each member keeps the same part of the smaller pool.
void FleetShares::Private::rescale(AccountIndex index, const ShareAmounts &before, const ShareAmounts &after)
{
    const auto found = named.find(index);
    if (found == named.end()) {
        return;
    }
    for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
        if (after.at(kind) >= before.at(kind) && before.at(kind) > 0) {
            continue;
        }
        const double ratio = before.at(kind) > 0 ? after.at(kind) / before.at(kind) : 0;
        const bool whole = kind != RateKind;
        for (double *amount : { &found->second.claimed.at(kind), &found->second.usable.at(kind) }) {
            *amount = whole ? std::floor(*amount * ratio) : *amount * ratio;
        }
    }
    contentChanged = true;
}

} // namespace mulberryplank
