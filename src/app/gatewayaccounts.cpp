// What a gateway does about the limits of client accounts.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// How long a request waits for a part of its account's allowance from other gateways, and the interval at which it
// checks. A gateway that is asked responds within one round trip; when all have been asked, the request is refused.
constexpr Duration MaxLoanWait = Millis(60);
constexpr Duration LoanPollInterval = Millis(2);

} // namespace

} // namespace internal

void GatewayProcess::setUpAccounts()
{
    m_gateway.admit = [this](const ClientAccount &account, std::uint32_t priority) {
        return admit(account, priority);
    };
    m_gateway.giveBack = [this](const ClientAccount &account) {
        if (!account.limit.isUnlimited()) {
            m_allowances.giveBack(account, Clock::now());
        }
    };
}

// Returns nothing if the request may run, or else the time after which it may be sent again.
DataAwaitable<std::optional<Duration>> GatewayProcess::admit(const ClientAccount &account, std::uint32_t priority)
{
    if (account.limit.isUnlimited()) {
        co_return std::nullopt;
    }
    const Instant giveUpAt = Clock::now() + internal::MaxLoanWait;
    while (!m_allowances.tryAdmit(account, priority, Clock::now())) {
        queryAllowance(account, priority);
        const Instant now = Clock::now();
        if (now >= giveUpAt || !m_allowances.awaitsLoan(account, priority, now)) {
            co_return m_allowances.refuse(account, priority, now);
        }
        DataTimer timer(m_worker.context, internal::LoanPollInterval);
        co_await timer.async_wait(UseData);
    }
    co_return std::nullopt;
}

// Asks another gateway for a part of its allowance, if a query is due.
void GatewayProcess::queryAllowance(const ClientAccount &account, std::uint32_t priority)
{
    if (!m_peers) {
        return;
    }
    const std::optional<AllowanceQuery> query = m_allowances.nextQuery(account, priority, Clock::now());
    if (query) {
        // After a lost message the next gateway is asked.
        const AllowanceMessage message { account.name, query->number, query->least, query->most, query->priority };
        static_cast<void>(m_peers->send(query->lender, PeerKind::AllowanceQuery, encode(message)));
    }
}

void GatewayProcess::lendAllowance(const PeerSender &sender, const AllowanceMessage &message)
{
    AllowanceMessage response { message.account, message.number, 0, 0 };
    const RouteTablePtr routes = m_discovery->routes();
    const ClientAccount *account = routes && routes->accounts ? routes->accounts->findNamed(message.account) : nullptr;
    if (account != nullptr && !account->limit.isUnlimited()) {
        const AllowanceQuery query { {}, message.number, message.least, message.amount, message.priority };
        response.amount = m_allowances.lend(*account, query, Clock::now());
    }
    // A loan that is lost in transit isn't used by anyone, so the account has slightly less than its limit.
    static_cast<void>(m_peers->send(sender.from, PeerKind::AllowanceLoan, encode(response)));
}

void GatewayProcess::borrowAllowance(const AllowanceMessage &message)
{
    m_allowances.accept(message.account, message.number, message.amount, Clock::now());
}

} // namespace mulberryplank
