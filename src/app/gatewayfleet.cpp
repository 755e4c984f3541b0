// Communication of a gateway with the other members of the fleet.
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

// Timeout for the designated reader to begin its response; after it, other gateways and the store are queried. A piece
// of a configuration takes 50 ms on the slowest VMs' links when these are idle.
constexpr Duration ReaderTimeout = Millis(400);
// Timeout for another gateway to begin its response with a piece of a configuration. Its link may be as slow.
constexpr Duration PeerTimeout = Millis(500);
// Timeout for another gateway to begin its response with a list of targets. The list has to be known within two
// seconds, whichever process fails.
constexpr Duration ListTimeout = Millis(400);
// Timeout for the rest of a response. The transfer of a list of 58,000 targets alone takes 0.7 s on the slowest VMs'
// links.
constexpr Duration UpdateBodyTimeout = Seconds(3);
// Gateways of each failure domain that read the configuration. With a single one, a store that stops responding to it
// would be noticed only after seconds.
constexpr std::size_t ConfigurationReaders = 2;
// A report takes 15 bytes; a datagram's payload can be 1,000 bytes and more.
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
    self.ready = isSelectable();
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

// Applies the current list of members. Called with each tick, and before a locate response if the list has changed
// since the last call.
void GatewayProcess::applyMembers()
{
    m_appliedMembers = m_members ? m_members->snapshot() : nullptr;
    const std::vector<Member> all = members();
    std::uint64_t newest = 0;
    for (const Member &member : all) {
        newest = std::max<std::uint64_t>(newest, member.applied);
    }
    m_liveMembers = static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Member &member) {
        return member.status != MemberStatus::Dead;
    }));
    m_discovery->noteRemoteVersion(newest);
    IngressSettings ingressSettings;
    ingressSettings.minPerDomain = m_settings.entriesPerDomain;
    m_ingressMembers = ingressMembers(all, ingressSettings);
    m_designatedReader = designatedReader(all, m_settings.failureDomain);
    m_readsConfiguration = isAmongTopRanked(all, m_incarnation, internal::ConfigurationReaders);
    m_discovery->noteReaders();
    // The fixed retry allowance goes to the ingress gateways, which receive the requests. The other gateways have only
    // the budget that their own requests add.
    const Instant now = Clock::now();
    m_retryAllowanceShare.update(m_ingressMembers.size(), isIngress(m_incarnation), now);
    updateRetryAllowance(now);
    updateRateLimitShares();
    updateDomainsWithProxies();
    m_limitHolders.update(m_ingressMembers, all, now);
    if (!isIngress(m_incarnation)) {
        m_ingressSince.reset();
    } else if (!m_ingressSince) {
        m_ingressSince = now;
    }
}

void GatewayProcess::updateRetryAllowance(Instant now)
{
    const double share = m_retryAllowanceShare.fixedAllowance(now);
    for (auto &[name, known] : m_services) {
        known->budget.setFixedAllowance(share);
    }
    if (share != m_loggedRetryAllowance) {
        m_loggedRetryAllowance = share;
        m_events(Event::RetryAllowanceChanged, { { "share", share }, { "ingress_gateways", m_ingressMembers.size() } });
    }
}

bool GatewayProcess::isIngress(Incarnation incarnation) const
{
    return std::any_of(m_ingressMembers.begin(), m_ingressMembers.end(), [incarnation](const Member &member) {
        return member.incarnation == incarnation;
    });
}

bool GatewayProcess::hasOtherReader() const
{
    return m_peers && m_designatedReader && m_designatedReader->incarnation != m_incarnation;
}

// Happens while gateways of two versions run at the same time.
void GatewayProcess::notePeerUnreadable(const PeerSender &sender, const Error &error)
{
    m_events(Event::PeerRefused,
             { { "from", toString(sender.from) },
               { "vm", sender.vm.value() },
               { "reason", std::string(toString(error.kind)) },
               { "detail", error.detail } });
}

void GatewayProcess::mergeReports(const std::vector<AttemptReport> &reports)
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
        for (const Member &member : m_ingressMembers) {
            if (member.incarnation != m_incarnation) {
                // A failed send counts as a lost datagram: the other gateway makes its own observations.
                static_cast<void>(m_peers->send(member.peer, PeerKind::AttemptReports, payload));
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

std::vector<Member> GatewayProcess::aliveOtherIngressMembers() const
{
    std::vector<Member> others = m_ingressMembers;
    std::erase_if(others, [this](const Member &member) {
        return member.incarnation == m_incarnation || member.status != MemberStatus::Alive;
    });
    return others;
}

// Failing requests arrive in bursts at one ingress gateway while the shares of the others are unused. Without loans,
// requests failed for lack of budget while only a third of the fleet's budget was used. A gateway that isn't an ingress
// proxy has no fixed allowance, and without loans none of its first requests could be sent again. Returns whether a
// loan may arrive.
bool GatewayProcess::requestBudget(const ServiceName &name)
{
    const std::vector<Member> others = aliveOtherIngressMembers();
    if (!m_peers || others.empty()) {
        return false;
    }
    const std::optional<std::uint64_t> requestNumber = service(name).loan.startRequest(Clock::now());
    if (!requestNumber) {
        return true;
    }
    const Member &lender = others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(m_random)];
    // A lost message isn't resent: the next request that lacks budget sends another one.
    static_cast<void>(
        m_peers->send(lender.peer, PeerKind::BudgetRequest, encode(BudgetMessage { name, *requestNumber })));
    return true;
}

void GatewayProcess::lendBudget(const PeerSender &sender, const BudgetMessage &message)
{
    const auto found = m_services.find(message.service);
    const bool lent = found != m_services.end() && found->second->budget.tryLend(Clock::now(), internal::LenderReserve);
    if (lent) {
        ++m_gateway.forward.counters.budgetLent;
        // A loan that is lost in transit stays deducted here, so the fleet has slightly less than its budget.
        static_cast<void>(m_peers->send(sender.from, PeerKind::BudgetLoan, encode(message)));
    }
}

void GatewayProcess::borrowBudget(const BudgetMessage &message)
{
    const auto found = m_services.find(message.service);
    if (found == m_services.end()) {
        return;
    }
    const std::optional<Instant> until = found->second->loan.accept(message.requestNumber, Clock::now());
    if (until) {
        ++m_gateway.forward.counters.budgetBorrowed;
        found->second->budget.borrow(*until);
    }
}

// Successes aren't urgent: they show which targets are safe for non-idempotent requests in the next seconds.
void GatewayProcess::shareSuccesses()
{
    const Instant now = Clock::now();
    std::vector<AttemptReport> reports;
    for (auto &[name, known] : m_services) {
        for (const TargetBalancer::Update &update : known->balancer.takeUpdates()) {
            const AttemptResult result = update.responded ? AttemptResult::Success : AttemptResult::Cancelled;
            const double logRatio = FaultModel::evidenceOf(result).logRatio();
            reports.push_back(attemptReport(update.id, result, logRatio, now - update.usedAt));
        }
    }
    if (isIngress(m_incarnation)) {
        sendReports(reports);
    }
}

// Announces an update to the gateways of this failure domain if this process is their designated reader.
void GatewayProcess::announceAsReader(const UpdateHint &hint)
{
    if (m_designatedReader && m_designatedReader->incarnation == m_incarnation) {
        announceInDomain(hint);
    }
}

// Returns the other members that aren't dead.
std::vector<Member> GatewayProcess::liveOthers() const
{
    std::vector<Member> others = members();
    std::erase_if(others, [this](const Member &member) {
        return member.incarnation == m_incarnation || member.status == MemberStatus::Dead;
    });
    return others;
}

// Returns the other gateways of this failure domain.
std::vector<Member> GatewayProcess::othersInDomain() const
{
    std::vector<Member> sameDomain = liveOthers();
    std::erase_if(sameDomain, [this](const Member &member) {
        return member.failureDomain != m_settings.failureDomain;
    });
    return sameDomain;
}

void GatewayProcess::announceInDomain(const UpdateHint &hint)
{
    if (!m_peers) {
        return;
    }
    for (const Member &member : othersInDomain()) {
        // After a lost hint the receiver gets the update with its next regular read.
        static_cast<void>(m_peers->send(member.peer, PeerKind::UpdateAvailable, encode(hint)));
    }
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryReader(PeerUpdateRequest request)
{
    if (!hasOtherReader()) {
        co_return failure(ErrorKind::PeerLost, "no other gateway reads the store for this failure domain");
    }
    const Member reader = *m_designatedReader;
    if (m_unresponsivePeers.contains(reader.incarnation, Clock::now())) {
        co_return failure(ErrorKind::PeerLost, "the designated reader did not respond to a recent query");
    }
    co_return co_await queryMember(reader, request, internal::ReaderTimeout);
}

// Queries another gateway for the configuration or for a list of targets.
asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryPeer(PeerUpdateRequest request)
{
    if (request.wantsTargets) {
        co_return co_await queryPeerForList(request);
    }
    const std::optional<Member> chosen = choosePeerForConfiguration(m_announcedVersions.appliedTo(m_ingressMembers),
                                                                    m_announcedVersions.appliedTo(members()),
                                                                    m_incarnation,
                                                                    request.version,
                                                                    m_unresponsivePeers,
                                                                    Clock::now(),
                                                                    m_random);
    if (!chosen || !m_peers) {
        co_return failure(ErrorKind::PeerLost, "no other gateway is known");
    }
    co_return co_await queryMember(*chosen, request, internal::PeerTimeout);
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryPeerForList(PeerUpdateRequest request)
{
    const std::optional<Member> chosen =
        choosePeerForTargetList(m_ingressMembers,
                                members(),
                                m_incarnation,
                                hasOtherReader() ? m_designatedReader->incarnation : m_incarnation,
                                m_peersWithoutList,
                                Clock::now(),
                                m_random);
    if (!chosen || !m_peers) {
        co_return failure(ErrorKind::PeerLost, "no other gateway is known");
    }
    m_peersWithoutList.noteRequest(chosen->incarnation, Clock::now());
    const Result<PeerUpdate> update = co_await queryMember(*chosen, request, internal::ListTimeout);
    if (update && (update->upToDate || readsFirstList(*update))) {
        m_peersWithoutList.noteResponse(chosen->incarnation);
    } else {
        m_peersWithoutList.noteNoResponse(chosen->incarnation, Clock::now());
    }
    co_return update;
}

asio::awaitable<Result<PeerUpdate>> GatewayProcess::queryMember(Member peer,
                                                                PeerUpdateRequest request,
                                                                Duration timeout)
{
    std::string payload = encode(request);
    m_unresponsivePeers.noteRequest(peer.incarnation, Clock::now());
    const Result<std::string> response = co_await m_peers->call(
        peer.peer, PeerKind::UpdateQuery, std::move(payload), timeout, internal::UpdateBodyTimeout);
    if (!response) {
        m_unresponsivePeers.noteNoResponse(peer.incarnation, Clock::now());
        m_peersWithoutList.note(peer.incarnation, Clock::now());
        co_return tl::make_unexpected(response.error());
    }
    m_unresponsivePeers.noteResponse(peer.incarnation);
    co_return decodePeerUpdate(*response);
}

// Returns the ingress gateways of the caller's failure domain, or all of them if this domain has none.
LocateResponse GatewayProcess::locate(const FailureDomain &callerDomain) const
{
    std::vector<Member> sameDomain;
    for (const Member &member : m_ingressMembers) {
        if (member.failureDomain == callerDomain) {
            sameDomain.push_back(member);
        }
    }
    PlacementSettings settings;
    settings.lifetime = std::chrono::duration_cast<Millis>(m_settings.locateLifetime);
    return locateResponse(sameDomain.empty() ? m_ingressMembers : sameDomain, callerDomain, settings, 0);
}

} // namespace mulberryplank
