#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/accountallowance.h"
#include "mulberryplank/policy/allowanceborrower.h"
#include "mulberryplank/policy/limitholders.h"
#include "mulberryplank/policy/priorityshare.h"

namespace mulberryplank
{

// A request for a part of an account's allowance, and whom to send it to.
struct AllowanceQuery {
    Endpoint lender;
    std::uint64_t number = 0;
    double least = 0; // in requests; less than that can't be used
    double most = 0;
    std::uint32_t priority = 0; // of the request that needs it
};

// What became of one account's requests in this process.
struct AllowanceUse {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t borrowed = 0; // loans
    std::uint64_t keptForUrgent = 0; // refused while this process kept a part for other priorities
};

// The allowances of the accounts that call through this process, and of those that it has a part of and others asked
// for. Accounts that weren't used for a while take no memory.
//
// While an account is short, what this process has of it is divided by the priority of its requests (PriorityShare),
// also among processes that borrow. Loans that were asked for by urgent requests are used by these alone.
// Thread-compatible.
class AccountAllowances
{
public:
    // `holders` must outlive this object.
    AccountAllowances(const LimitHolders &holders, AllowanceSettings settings);

    // Admits one request of the account, or returns false if this process lacks allowance for it at the moment.
    [[nodiscard]] bool tryAdmit(const ClientAccount &account, std::uint32_t priority, Instant now);

    // Returns one request, which was admitted but has not run.
    void giveBack(const ClientAccount &account, Instant now);

    // Returns the query to send so that the account's next request can be admitted, if one is due.
    std::optional<AllowanceQuery> nextQuery(const ClientAccount &account, std::uint32_t priority, Instant now);

    // Returns true if a loan for the account's requests of that priority may still arrive.
    bool awaitsLoan(const ClientAccount &account, std::uint32_t priority, Instant now) const;

    // Counts a refused request, and returns the time after which it may be sent again.
    Duration refuse(const ClientAccount &account, std::uint32_t priority, Instant now);

    // Returns how much this process lends to another one, as AccountAllowance::lend(). While it may only believe that
    // it has a part (AllowanceShare::lends), it lends of accounts whose callers use it: processes that wrongly believe
    // that have no callers. Of `query`, the lender isn't used.
    double lend(const ClientAccount &account, const AllowanceQuery &query, Instant now);

    // Accepts a response to a query. Responses that don't count are ignored.
    void accept(const AccountName &account, std::uint64_t number, double amount, Instant now);

    // Forgets accounts that nothing has to be remembered of. Must be called at regular intervals of a few seconds.
    void prune(Instant now);

    // Calls `visit` for each account that was used lately.
    void forEach(const std::function<void(const AccountName &, const AllowanceUse &)> &visit) const;

private:
    // The demand that a loan covers.
    struct RecentDemand {
        double requests = 0; // wanted in the interval that began last
        double before = 0; // in the one before
        Instant intervalStart {};
    };

    // Loans that requests of `priority` and more urgent ones may use.
    struct Loans {
        std::uint32_t priority = AnyPriority;
        AllowanceBorrower borrower {};
        RecentDemand demand {}; // of requests of `priority`
    };

    struct Entry {
        explicit Entry(const AllowanceSettings &settings);

        AccountAllowance allowance;
        PriorityShare priorities;
        std::vector<Loans> loans; // the first for all priorities, the others for one each while the account is divided
        AccountLimit limit;
        std::uint64_t revision = 0; // of the holders that the share was computed from
        std::vector<Endpoint> lenders;
        bool lends = true;
        AllowanceUse use;
        Instant lastUse {};
        RecentDemand demand; // of all priorities
    };

    Entry &entry(const ClientAccount &account, Instant now);
    static void noteDemand(RecentDemand &demand, Instant now);
    static std::size_t loansOf(const Entry &entry, std::uint32_t priority, Instant now);
    static AllowanceClaim claim(Entry &entry, std::uint32_t priority, Instant now);

    const LimitHolders &m_holders;
    AllowanceSettings m_settings;
    std::unordered_map<AccountName, Entry> m_entries;
};

} // namespace mulberryplank
