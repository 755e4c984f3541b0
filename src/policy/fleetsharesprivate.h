#pragma once

#include <optional>
#include <unordered_map>

#include "fleetpeers.h"

namespace mulberryplank::internal
{

// A limit of an account, divided into what is fixed and what is claimed.
struct LimitParts {
    double fixed = 0; // of one member
    double pool = 0; // of all members together
};

// Returns the parts of a limit. A limit of 0 (none) has no parts.
LimitParts partsOf(std::size_t kind, double limit, double fixedPart, std::uint32_t members);

// Returns the whole limits of a row by LimitKind.
ShareAmounts limitsOf(const Row &row);

// Returns true if the report tells of any demand.
bool isWanted(const AccountReport &report);

// An account that is named in our reports, since somebody has demand for it.
struct NamedAccount {
    ShareAmounts wanted {}; // smoothed
    double slots = 0; // smoothed
    ShareAmounts inUse {};
    ShareAmounts reportedWanted {}; // follows `wanted` in steps, so that reports seldom change
    double reportedSlots = 0;
    ShareAmounts claimed {};
    ShareAmounts usable {};
    std::array<std::uint64_t, LimitKinds> claimSequence {}; // of the report that first bore the claim; 0: none pending
};

} // namespace mulberryplank::internal

namespace mulberryplank
{

struct FleetShares::Private {
    Private(FleetSharesSettings theSettings, Instant now)
        : settings(theSettings)
        , peers(theSettings, now)
        , next(now)
    {
    }

    // Claims.
    void releaseClaims();
    bool holdsAnything() const;
    void claimEvenParts(Instant now);
    void adjustClaims(Instant now);
    void adjustClaim(AccountIndex index, internal::NamedAccount &account, std::size_t kind, Instant now);
    void confirmClaims(Instant now);
    void confirmClaim(AccountIndex index, internal::NamedAccount &account, std::size_t kind, Instant now);
    internal::NamedAccount *name(AccountIndex index);
    void nameAccountsOf(const internal::FleetPeer &peer);
    bool hasPendingClaims() const;
    void forgetIdleAccounts();
    void rescale(AccountIndex index, const ShareAmounts &before, const ShareAmounts &after);
    bool isWantedByPeer(AccountIndex index) const;

    // Arithmetic.
    internal::LimitParts parts(AccountIndex index, std::size_t kind) const;
    double othersClaims(AccountIndex index, std::size_t kind, double pool, Instant now) const;
    double target(AccountIndex index, const internal::NamedAccount &own, std::size_t kind, double pool) const;
    double othersSlots(AccountIndex index) const;
    double usableEvenPart(std::size_t kind, double pool) const;

    // Reports.
    static void smooth(internal::NamedAccount &account, const AccountDemand &demand);
    bool updateReported();
    std::vector<AccountReport> accountReports() const;
    DemandReport compose(Instant now);

    FleetSharesSettings settings;
    internal::FleetPeers peers;
    std::unordered_map<AccountIndex, Row> rows;
    std::unordered_map<std::string, AccountIndex> indexes;
    std::unordered_map<AccountIndex, internal::NamedAccount> named;
    std::uint64_t sequence = 0; // of the last report
    std::uint64_t contentSequence = 0; // of the last report that changed accounts
    bool contentChanged = true;
    bool evenPartsClaimed = false;
    std::uint64_t evenPartsSequence = 0; // of the report that first claimed even parts of the present members; 0: none
                                         // pending
    std::uint32_t evenPartsUsable = 0; // of how many members the even parts in use are; 0: none in use
    Instant next; // when the next report is due
};

} // namespace mulberryplank
