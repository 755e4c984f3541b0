// What gateways that know each other tell and ask.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

#include <algorithm>

#include <boost/asio/use_awaitable.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// For the reader to say what it has; then others and the store are asked. A piece of a configuration takes 50 ms on the
// slowest VMs' links when they are idle.
constexpr Duration ReaderTimeout = Millis(400);
// For any other to begin with a piece of a configuration, which may be as slow itself.
constexpr Duration PeerTimeout = Millis(500);
// For any other to begin with a list of targets, which has to be known within two seconds whoever fails.
constexpr Duration ListTimeout = Millis(400);
// For the rest of an answer that has begun: a list of 58,000 targets takes 0.7 s on the slowest VMs' links alone.
constexpr Duration NewsTimeout = Seconds(3);
// Of each failure domain: a store that silences a single one is noticed only after seconds.
constexpr std::size_t ConfigurationReaders = 2;
// A report is 15 bytes long, a datagram's payload 1,000 bytes and more.
constexpr std::size_t ReportsPerDatagram = 60;

} // namespace

} // namespace internal

Member GatewayProcess::self() const
{
    Member self;
    self.vm = m_settings.vm;
    self.incarnation = m_incarnation;
    self.peer = m_settings.peer;
    self.caller = m_settings.caller;
    self.failureDomain = m_settings.failureDomain;
    self.capacity = static_cast<std::uint32_t>(m_settings.cpuShare * 1'000);
    self.applied = versionInForce();
    self.ready = isReady();
    self.status = m_draining ? MemberStatus::Leaving : MemberStatus::Alive;
    return self;
}

std::vector<Member> GatewayProcess::members() const
{
    if (!m_members || m_members->snapshot()->empty()) {
        return { self() };
    }
    return *m_members->snapshot();
}

// Takes over what the members have brought. Called with each tick, and before a caller is told where to connect if they
// have changed since.
void GatewayProcess::followMembers()
{
    m_followed = m_members ? m_members->snapshot() : nullptr;
    const std::vector<Member> all = members();
    std::uint64_t newest = 0;
    for (const Member &member : all) {
        newest = std::max<std::uint64_t>(newest, member.applied);
    }
    m_news->noteRemoteVersion(newest);
    IngressSettings entries;
    entries.minPerDomain = m_settings.entriesPerDomain;
    m_entries = ingressMembers(all, entries);
    m_reader = designatedReader(all, m_settings.failureDomain);
    m_readsConfiguration = isAmongTopRanked(all, m_incarnation, internal::ConfigurationReaders);
    // The budget's fixed part goes to the gateways that have the requests; the others have what theirs earn.
    const Instant now = Clock::now();
    m_retryAllowanceShare.update(m_entries.size(), isEntry(), now);
    const double fixedAllowance = m_retryAllowanceShare.fixedAllowance(now);
    for (auto &[name, known] : m_services) {
        known->budget.setFixedAllowance(fixedAllowance);
    }
}

bool GatewayProcess::isEntry() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [this](const Member &entry) {
        return entry.incarnation == m_incarnation;
    });
}

bool GatewayProcess::anotherReads() const
{
    return m_peers && m_reader && m_reader->incarnation != m_incarnation;
}

// Happens while gateways of two versions run beside each other.
void GatewayProcess::notePeerUnreadable(const PeerSender &sender, const Error &error)
{
    m_events(Event::PeerRefused,
             { { "from", toString(sender.from) },
               { "vm", sender.vm.value() },
               { "reason", std::string(toString(error.kind)) },
               { "detail", error.detail } });
}

void GatewayProcess::takeReports(const std::vector<AttemptReport> &reports)
{
    const Instant now = Clock::now();
    for (const AttemptReport &report : reports) {
        const auto found = m_targetsByKey.find(report.target);
        if (found != m_targetsByKey.end()) {
            const KnownTarget &known = found->second;
            const Instant usedAt = now - Millis(report.ageMillis);
            known.service->balancer.addRemoteEvidence(known.name, report.result, report.logRatio, usedAt, now);
        }
    }
}

void GatewayProcess::sendReports(const std::vector<AttemptReport> &reports)
{
    if (!m_peers) {
        return;
    }
    for (std::size_t begin = 0; begin < reports.size(); begin += internal::ReportsPerDatagram) {
        const std::size_t end = std::min(begin + internal::ReportsPerDatagram, reports.size());
        const std::string payload = encode(std::vector(reports.begin() + static_cast<std::ptrdiff_t>(begin),
                                                       reports.begin() + static_cast<std::ptrdiff_t>(end)));
        for (const Member &entry : m_entries) {
            if (entry.incarnation != m_incarnation) {
                // What can't be sent counts as lost: the other gateway finds out for itself.
                static_cast<void>(m_peers->send(entry.peer, PeerKind::AttemptReports, payload));
            }
        }
    }
}

void GatewayProcess::awaitReportsDue()
{
    const std::optional<Instant> due = m_reports.due();
    if (!due || m_awaitsReportsDue) {
        return;
    }
    m_awaitsReportsDue = true;
    m_reportsDue.expires_at(*due);
    m_reportsDue.async_wait([this](boost::system::error_code error) {
        m_awaitsReportsDue = false;
        if (!error) {
            sendReports(m_reports.take());
        }
    });
}

// Callers that fail come in bursts to one entry, while the others' shares lie idle: a third of the fleet's budget was
// used while requests died for want of it.
void GatewayProcess::askForBudget(const ServiceName &name)
{
    std::vector<Member> others = m_entries;
    std::erase_if(others, [this](const Member &entry) {
        return entry.incarnation == m_incarnation || entry.status != MemberStatus::Alive;
    });
    if (!m_peers || others.empty() || !isEntry()) {
        return;
    }
    const std::optional<std::uint64_t> question = service(name).loan.ask(Clock::now());
    if (!question) {
        return;
    }
    const Member &lender = others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(m_random)];
    // What is lost is asked for again by the next request that lacks it.
    static_cast<void>(m_peers->send(lender.peer, PeerKind::BudgetQuestion, encode(BudgetMessage { name, *question })));
}

void GatewayProcess::lendBudget(const PeerSender &sender, const BudgetMessage &message)
{
    const auto found = m_services.find(message.service);
    const bool lent = found != m_services.end() && found->second->budget.tryLend(Clock::now(), internal::LenderKeeps);
    if (lent) {
        ++m_gateway.forward.counters.budgetLent;
        // A loan that is lost stays counted here: the fleet then has a little less than it may use.
        static_cast<void>(m_peers->send(sender.from, PeerKind::BudgetLoan, encode(message)));
    }
}

void GatewayProcess::borrowBudget(const BudgetMessage &message)
{
    const auto found = m_services.find(message.service);
    if (found == m_services.end()) {
        return;
    }
    const std::optional<Instant> until = found->second->loan.accept(message.question, Clock::now());
    if (until) {
        ++m_gateway.forward.counters.budgetBorrowed;
        found->second->budget.borrow(*until);
    }
}

// Successes can wait: they say where requests that run only once are safe for the next seconds.
void GatewayProcess::shareSuccesses()
{
    const Instant now = Clock::now();
    std::vector<AttemptReport> reports;
    for (auto &[name, known] : m_services) {
        for (const TargetBalancer::Update &news : known->balancer.takeUpdates()) {
            const AttemptResult result = news.responded ? AttemptResult::Success : AttemptResult::Cancelled;
            const double logRatio = FaultModel::evidenceOf(result).logRatio();
            reports.push_back(attemptReport(news.id, result, logRatio, now - news.usedAt));
        }
    }
    if (isEntry()) {
        sendReports(reports);
    }
}

// Tells the gateways of this failure domain, which have their lists from here.
void GatewayProcess::tellNewsChanged(const UpdateHint &hint)
{
    if (m_reader && m_reader->incarnation == m_incarnation) {
        tellNear(hint);
    }
}

// Returns the other gateways of this failure domain.
std::vector<Member> GatewayProcess::membersNear() const
{
    std::vector<Member> near = members();
    std::erase_if(near, [this](const Member &member) {
        return member.failureDomain != m_settings.failureDomain || member.incarnation == m_incarnation
               || member.status == MemberStatus::Dead;
    });
    return near;
}

void GatewayProcess::tellNear(const UpdateHint &hint)
{
    if (!m_peers) {
        return;
    }
    for (const Member &member : membersNear()) {
        // A lost hint is made up for by the next regular read.
        static_cast<void>(m_peers->send(member.peer, PeerKind::NewsChanged, encode(hint)));
    }
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryReader(PeerUpdateRequest request)
{
    if (!anotherReads()) {
        co_return failure(ErrorKind::PeerLost, "no other gateway reads for this failure domain");
    }
    const Member reader = *m_reader;
    if (m_silentPeers.contains(reader.incarnation, Clock::now())) {
        co_return failure(ErrorKind::PeerLost, "the reader gave no answer a moment ago");
    }
    co_return co_await ask(reader, request, internal::ReaderTimeout);
}

// Asks for the configuration at a gateway that callers are named, or every other time at any.
asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryPeer(PeerUpdateRequest request)
{
    if (request.wantsTargets) {
        co_return co_await askPeerForList(request);
    }
    const bool anyMember = std::bernoulli_distribution(0.5)(m_random) || m_entries.size() < 2;
    const std::optional<Member> chosen = choosePeerForUpdate(
        anyMember ? members() : m_entries, m_incarnation, request.version, m_silentPeers, Clock::now(), m_random);
    if (!chosen || !m_peers) {
        co_return failure(ErrorKind::PeerLost, "no other gateway is known");
    }
    co_return co_await ask(*chosen, request, internal::PeerTimeout);
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::askPeerForList(PeerUpdateRequest request)
{
    const std::optional<Member> chosen =
        choosePeerForTargetList(m_entries, members(), m_incarnation, m_peersWithoutList, Clock::now(), m_random);
    if (!chosen || !m_peers) {
        co_return failure(ErrorKind::PeerLost, "no other gateway is known");
    }
    const Result<PeerUpdate> news = co_await ask(*chosen, request, internal::ListTimeout);
    if (news && !news->upToDate && !readsFirstList(*news)) {
        m_peersWithoutList.note(chosen->incarnation, Clock::now());
    }
    co_return news;
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::ask(Member peer, PeerUpdateRequest request, Duration limit)
{
    std::string payload = encode(request);
    const Result<std::string> answer =
        co_await m_peers->call(peer.peer, PeerKind::NewsQuery, std::move(payload), limit, internal::NewsTimeout);
    if (!answer) {
        m_silentPeers.note(peer.incarnation, Clock::now());
        m_peersWithoutList.note(peer.incarnation, Clock::now());
        co_return tl::make_unexpected(answer.error());
    }
    co_return decodePeerUpdate(*answer);
}

// Names the gateways of the caller's failure domain, or all that there are when it has none.
LocateResponse GatewayProcess::locate(const FailureDomain &callerDomain) const
{
    std::vector<Member> near;
    for (const Member &entry : m_entries) {
        if (entry.failureDomain == callerDomain) {
            near.push_back(entry);
        }
    }
    PlacementSettings settings;
    settings.lifetime = std::chrono::duration_cast<Millis>(m_settings.locateLifetime);
    return locateResponse(near.empty() ? m_entries : near, callerDomain, settings, 0);
}

} // namespace mulberryplank
