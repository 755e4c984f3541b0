#include "mulberryplank/policy/accountallowances.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// A loan covers the requests that are expected in this time, so that accounts with many requests don't need one each.
constexpr Duration DemandInterval = Millis(100);

// A process that admitted requests of an account itself within this time is one of those that its callers use.
constexpr Duration OwnDemandLifetime = Seconds(1);

constexpr Duration UnusedLifetime = Seconds(30);

} // namespace

} // namespace internal

AccountAllowances::Entry::Entry(const AllowanceSettings &settings)
    : allowance(settings)
{
}

AccountAllowances::AccountAllowances(const LimitHolders &holders, AllowanceSettings settings)
    : m_holders(holders)
    , m_settings(settings)
{
}

bool AccountAllowances::tryAdmit(const ClientAccount &account, Instant now)
{
    Entry &known = entry(account, now);
    const bool isAdmitted = known.allowance.tryTake(now);
    if (isAdmitted) {
        ++known.use.admitted;
        noteDemand(known, now);
    }
    return isAdmitted;
}

void AccountAllowances::giveBack(const ClientAccount &account, Instant now)
{
    Entry &known = entry(account, now);
    known.allowance.giveBack(now);
    --known.use.admitted;
}

std::optional<AllowanceQuery> AccountAllowances::nextQuery(const ClientAccount &account, Instant now)
{
    Entry &known = entry(account, now);
    const std::optional<AllowanceRequest> request = known.borrower.next(known.lenders.size(), now);
    if (!request) {
        return std::nullopt;
    }
    const bool isRecent = now - known.intervalStart < internal::DemandInterval;
    const double expected = isRecent ? std::max(known.recentRequests, known.requestsBefore) : 0;
    const double missing = known.allowance.missing(now);
    return AllowanceQuery { known.lenders[request->lender], request->number, missing, missing + expected };
}

bool AccountAllowances::awaitsLoan(const ClientAccount &account, Instant now) const
{
    const auto found = m_entries.find(account.name);
    return found != m_entries.end() && found->second.borrower.awaitsResponse(now);
}

Duration AccountAllowances::refuse(const ClientAccount &account, Instant now)
{
    Entry &known = entry(account, now);
    ++known.use.refused;
    return known.allowance.nextTurn(now);
}

double AccountAllowances::lend(const ClientAccount &account, double least, double most, Instant now)
{
    Entry &known = entry(account, now);
    const bool lends = known.lends || now - known.intervalStart < internal::OwnDemandLifetime;
    return lends ? known.allowance.lend(least, most, now) : 0;
}

void AccountAllowances::accept(const AccountName &account, std::uint64_t number, double amount, Instant now)
{
    const auto found = m_entries.find(account);
    if (found == m_entries.end()) {
        return;
    }
    const std::optional<Instant> until = found->second.borrower.accept(number, amount, now);
    if (until) {
        found->second.allowance.borrow(amount, *until);
        ++found->second.use.borrowed;
    }
}

void AccountAllowances::prune(Instant now)
{
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        const auto current = next++;
        Entry &known = current->second;
        if (now - known.lastUse > internal::UnusedLifetime && known.allowance.isUnused(now)) {
            m_entries.erase(current);
        }
    }
}

void AccountAllowances::forEach(const std::function<void(const AccountName &, const AllowanceUse &)> &visit) const
{
    for (const auto &[name, known] : m_entries) {
        visit(name, known.use);
    }
}

AccountAllowances::Entry &AccountAllowances::entry(const ClientAccount &account, Instant now)
{
    Entry &known = m_entries.try_emplace(account.name, m_settings).first->second;
    known.lastUse = now;
    if (known.revision != m_holders.revision() || known.limit != account.limit) {
        AllowanceShare share = m_holders.share(account, now);
        known.allowance.configure(account.limit, share.part, share.isNew, share.initialRequests, now);
        known.lenders = std::move(share.lenders);
        known.lends = share.lends;
        known.limit = account.limit;
        known.revision = m_holders.revision();
    }
    return known;
}

void AccountAllowances::noteDemand(Entry &entry, Instant now)
{
    if (now - entry.intervalStart >= internal::DemandInterval) {
        const bool isNext = now - entry.intervalStart < 2 * internal::DemandInterval;
        entry.requestsBefore = isNext ? entry.recentRequests : 0;
        entry.recentRequests = 0;
        entry.intervalStart = now;
    }
    ++entry.recentRequests;
}

} // namespace mulberryplank
