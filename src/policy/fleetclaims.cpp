#include "fleetsharesprivate.h"

#include <algorithm>

// How FleetShares releases, lowers, raises and confirms claims.
namespace mulberryplank
{

using namespace internal;

namespace
{

// A claim is adjusted only if it differs from the wanted amount by more than this fraction, since demand always
// fluctuates.
constexpr double ClaimTolerance = 0.02;

// Tolerates rounding errors, so that claims that add up exactly aren't rejected.
constexpr double SumTolerance = 1e-9;

constexpr auto RateKind = static_cast<std::size_t>(LimitKind::RequestsPerSecond);

} // namespace

bool FleetShares::Private::holdsAnything() const
{
    return evenPartsUsable != 0 || std::any_of(named.begin(), named.end(), [](const auto &entry) {
               return entry.second.usable != ShareAmounts {};
           });
}

void FleetShares::Private::releaseClaims()
{
    evenPartsClaimed = false;
    evenPartsSequence = 0;
    evenPartsUsable = 0;
    for (auto &[index, account] : named) {
        account.claimed = {};
        account.usable = {};
        account.claimSequence = {};
    }
    contentChanged = true;
}

// Begins to claim even parts of all accounts in the next report. Accounts that others name already start without a
// claim and follow demand from there.
void FleetShares::Private::claimEvenParts(Instant now)
{
    const bool possible = peers.isMember(settings.self) && !peers.markedUnresponsiveByPeer(now);
    if (evenPartsClaimed || !possible) {
        return;
    }
    evenPartsSequence = sequence + 1;
    for (const FleetPeer &peer : peers.peers()) {
        nameAccountsOf(peer);
    }
    evenPartsClaimed = true;
    contentChanged = true;
}

// Returns the account's entry. Creates it if necessary from what the account may use unnamed. Returns nullptr if
// reports are full.
NamedAccount *FleetShares::Private::name(AccountIndex index)
{
    const auto found = named.find(index);
    if (found != named.end()) {
        return &found->second;
    }
    if (named.size() >= settings.maxAccounts || !rows.contains(index)) {
        return nullptr;
    }
    NamedAccount &account = named[index];
    for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
        const double pool = parts(index, kind).pool;
        account.claimed.at(kind) = evenPartsClaimed ? evenPart(kind, pool, peers.memberCount()) : 0;
        account.usable.at(kind) = std::min(usableEvenPart(kind, pool), account.claimed.at(kind));
        if (account.usable.at(kind) < account.claimed.at(kind)) {
            account.claimSequence.at(kind) = evenPartsSequence;
        }
    }
    contentChanged = true;
    return &account;
}

void FleetShares::Private::nameAccountsOf(const FleetPeer &peer)
{
    for (const auto &[account, report] : peer.accounts) {
        const auto index = indexes.find(account);
        // While even parts are being claimed, the claims of others on any account must be compared by name.
        const bool matters = evenPartsSequence != 0 || isWanted(report);
        if (index != indexes.end() && matters) {
            name(index->second);
        }
    }
}

void FleetShares::Private::adjustClaims(Instant now)
{
    for (auto &[index, account] : named) {
        for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
            adjustClaim(index, account, kind, now);
        }
    }
}

// Lowers a claim at once, or raises it for the other members to acknowledge.
void FleetShares::Private::adjustClaim(AccountIndex index, NamedAccount &account, std::size_t kind, Instant now)
{
    const LimitParts split = parts(index, kind);
    if (split.pool <= 0 || !evenPartsClaimed) {
        return;
    }
    double &claimed = account.claimed.at(kind);
    double &usable = account.usable.at(kind);
    std::uint64_t &pending = account.claimSequence.at(kind);
    const double wanted = target(index, account, kind, split.pool);
    // Requests in flight can't be revoked: the claim covers them until they end, while no new ones are admitted.
    const double needed = std::max(wanted, account.inUse.at(kind) - split.fixed);
    const double even = evenPart(kind, split.pool, peers.memberCount());
    const double tolerance = kind == RateKind && wanted > 0 ? ClaimTolerance * std::min(even, wanted) : 0;
    if (wanted + tolerance < usable) {
        usable = wanted;
    }
    if (needed + tolerance < claimed) {
        claimed = std::max(needed, usable);
        contentChanged = true;
    }
    const bool free = pending == 0;
    if (free) {
        usable = std::max(usable, std::min(wanted, claimed)); // no other member contests the claim
    }
    const double maxClaim = std::min(wanted, split.pool - othersClaims(index, kind, split.pool, now));
    if (free && maxClaim > claimed + tolerance) {
        claimed = maxClaim;
        pending = sequence + 1;
        contentChanged = true;
    }
}

bool FleetShares::Private::hasPendingClaims() const
{
    return evenPartsSequence != 0 || std::any_of(named.begin(), named.end(), [](const auto &entry) {
               return entry.second.claimSequence != std::array<std::uint64_t, LimitKinds> {};
           });
}

// Uses raised claims once all members have acknowledged them.
void FleetShares::Private::confirmClaims(Instant now)
{
    if (!hasPendingClaims()) {
        return;
    }
    const std::uint64_t acknowledged = std::min(peers.acknowledgedByAll(now), sequence);
    if (acknowledged == 0) {
        return;
    }
    peers.trustLinked(now);
    if (!peers.connected(now)) {
        return;
    }
    for (auto &[index, account] : named) {
        for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
            const std::uint64_t pending = account.claimSequence.at(kind);
            if (pending != 0 && pending <= acknowledged) {
                confirmClaim(index, account, kind, now);
            }
        }
    }
    // Accounts that others name and this process doesn't, for lack of room, might be claimed beyond even parts.
    const bool roomLeft = named.size() < settings.maxAccounts;
    if (evenPartsSequence != 0 && evenPartsSequence <= acknowledged && roomLeft && peers.evenPartIsFree(now)) {
        evenPartsSequence = 0;
        evenPartsUsable = peers.memberCount();
    }
}

// If two members raised a claim at the same time, each takes what the other's claim leaves.
void FleetShares::Private::confirmClaim(AccountIndex index, NamedAccount &account, std::size_t kind, Instant now)
{
    const double pool = parts(index, kind).pool;
    const double left = pool - othersClaims(index, kind, pool, now);
    double &claimed = account.claimed.at(kind);
    double &usable = account.usable.at(kind);
    account.claimSequence.at(kind) = 0;
    if (claimed > left + SumTolerance * pool) {
        claimed = std::max(usable, std::min(claimed, left));
        contentChanged = true;
    }
    usable = claimed;
}

// Removes accounts without demand whose claims are back at even parts.
void FleetShares::Private::forgetIdleAccounts()
{
    std::erase_if(named, [this](const auto &entry) {
        const auto &[index, account] = entry;
        if (!rows.contains(index)) {
            return true;
        }
        if (account.slots > 0 || account.wanted != ShareAmounts {} || isWantedByPeer(index)) {
            return false;
        }
        for (std::size_t kind = 0; kind < LimitKinds; ++kind) {
            const double pool = parts(index, kind).pool;
            const double even = evenPartsClaimed ? evenPart(kind, pool, peers.memberCount()) : 0;
            const bool pending = account.claimSequence.at(kind) != 0;
            if (pending || account.claimed.at(kind) != even || account.usable.at(kind) != usableEvenPart(kind, pool)) {
                return false;
            }
        }
        return true;
    });
}

} // namespace mulberryplank
