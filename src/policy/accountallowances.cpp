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

// The number of a query names its Entry::loans in this many of its lowest bits. Priorities beyond share the last.
constexpr unsigned LoansBits = 4;
constexpr std::size_t MaxLoans = std::size_t { 1 } << LoansBits;

} // namespace

} // namespace internal

AccountAllowances::Entry::Entry(const AllowanceSettings &settings)
    : allowance(settings)
    , priorities({})
    , loans(1)
{
}

AccountAllowances::AccountAllowances(const LimitHolders &holders, AllowanceSettings settings)
    : m_holders(holders)
    , m_settings(settings)
{
}

bool AccountAllowances::tryAdmit(const ClientAccount &account, std::uint32_t priority, Instant now)
{
    Entry &known = entry(account, now);
    const bool isAdmitted = known.allowance.tryTake(now, claim(known, priority, now));
    if (isAdmitted) {
        ++known.use.admitted;
        known.priorities.recordDemand(priority, 1, now);
        known.priorities.recordGrant(priority, 1, now);
        noteDemand(known.demand, now);
        const std::size_t index = loansOf(known, priority, now);
        if (index < known.loans.size()) {
            noteDemand(known.loans[index].demand, now);
        }
    }
    return isAdmitted;
}

void AccountAllowances::giveBack(const ClientAccount &account, Instant now)
{
    Entry &known = entry(account, now);
    known.allowance.giveBack(now);
    --known.use.admitted;
}

std::optional<AllowanceQuery> AccountAllowances::nextQuery(const ClientAccount &account,
                                                           std::uint32_t priority,
                                                           Instant now)
{
    Entry &known = entry(account, now);
    const std::size_t index = loansOf(known, priority, now);
    if (index == known.loans.size()) {
        known.loans.push_back({ priority });
    }
    const std::optional<AllowanceRequest> request = known.loans[index].borrower.next(known.lenders.size(), now);
    if (!request) {
        return std::nullopt;
    }
    const RecentDemand &demand = index == 0 ? known.demand : known.loans[index].demand;
    const bool isRecent = now - demand.intervalStart < internal::DemandInterval;
    const double expected = isRecent ? std::max(demand.requests, demand.before) : 0;
    const double missing = known.allowance.missing(now, claim(known, priority, now));
    const std::uint64_t number = (request->number << internal::LoansBits) + index;
    return AllowanceQuery { known.lenders[request->lender], number, missing, missing + expected, priority };
}

bool AccountAllowances::awaitsLoan(const ClientAccount &account, std::uint32_t priority, Instant now) const
{
    const auto found = m_entries.find(account.name);
    if (found == m_entries.end()) {
        return false;
    }
    const std::size_t index = loansOf(found->second, priority, now);
    return index < found->second.loans.size() && found->second.loans[index].borrower.awaitsResponse(now);
}

Duration AccountAllowances::refuse(const ClientAccount &account, std::uint32_t priority, Instant now)
{
    Entry &known = entry(account, now);
    ++known.use.refused;
    if (known.allowance.missing(now, { 0, priority }) <= 0) {
        ++known.use.keptForUrgent;
    }
    known.priorities.recordDemand(priority, 1, now);
    known.priorities.recordShortage(now);
    return known.allowance.nextTurn(now);
}

double AccountAllowances::lend(const ClientAccount &account, const AllowanceQuery &query, Instant now)
{
    Entry &known = entry(account, now);
    const bool lends = known.lends || now - known.demand.intervalStart < internal::OwnDemandLifetime;
    if (!lends) {
        return 0;
    }
    const double reserve = claim(known, query.priority, now).reserve;
    const double lent = known.allowance.lend(query.least, query.most, now, reserve);
    known.priorities.recordDemand(query.priority, std::max(query.least, lent), now);
    known.priorities.recordGrant(query.priority, lent, now);
    if (lent <= 0) {
        known.priorities.recordShortage(now);
    }
    return lent;
}

void AccountAllowances::accept(const AccountName &account, std::uint64_t number, double amount, Instant now)
{
    const auto found = m_entries.find(account);
    if (found == m_entries.end()) {
        return;
    }
    const std::size_t index = number % internal::MaxLoans;
    if (index >= found->second.loans.size()) {
        return;
    }
    Loans &loans = found->second.loans[index];
    const std::optional<Instant> until = loans.borrower.accept(number >> internal::LoansBits, amount, now);
    if (until) {
        found->second.allowance.borrow(amount, *until, loans.priority);
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
        known.priorities.setAvailable(known.allowance.perSecond());
        known.lenders = std::move(share.lenders);
        known.lends = share.lends;
        known.limit = account.limit;
        known.revision = m_holders.revision();
    }
    return known;
}

// Returns which of the entry's loans requests of that priority use, or the number of loans if they need new ones.
std::size_t AccountAllowances::loansOf(const Entry &entry, std::uint32_t priority, Instant now)
{
    if (!entry.priorities.isDivided(now)) {
        return 0;
    }
    const auto found = std::find_if(entry.loans.begin() + 1, entry.loans.end(), [priority](const Loans &loans) {
        return loans.priority == priority;
    });
    const auto index = static_cast<std::size_t>(found - entry.loans.begin());
    return std::min(index, internal::MaxLoans - 1);
}

// Returns what a request of that priority must leave to others. No more is kept than a full bucket can hold beside one
// request, so that less urgent requests are served once it is full.
AllowanceClaim AccountAllowances::claim(Entry &entry, std::uint32_t priority, Instant now)
{
    if (!entry.priorities.isDivided(now)) {
        return { 0, priority };
    }
    const double most = std::max(entry.allowance.mostAtOnce() - 1, 0.0);
    return { std::min(entry.priorities.reserve(priority, now), most), priority };
}

void AccountAllowances::noteDemand(RecentDemand &demand, Instant now)
{
    if (now - demand.intervalStart >= internal::DemandInterval) {
        const bool isNext = now - demand.intervalStart < 2 * internal::DemandInterval;
        demand.before = isNext ? demand.requests : 0;
        demand.requests = 0;
        demand.intervalStart = now;
    }
    ++demand.requests;
}

} // namespace mulberryplank
