// What a gateway does about requests that crash their targets.
#include "gatewayprocess.h"

#include <algorithm>

#include "mulberryplank/policy/memberrank.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// Bounds of the number of processes that are told of crashes. With fewer, the restart of one or two of them would lose
// the evidence of the crashes before it. With all ingress proxies of a large fleet, the loss of a rack of targets would
// cost each of them a datagram for each target and ingress proxy.
constexpr std::size_t MinCrashReceivers = 6;
constexpr std::size_t MaxCrashReceivers = 12;

} // namespace

} // namespace internal

std::unique_ptr<PoisonGuard> GatewayProcess::makePoisonGuard()
{
    PoisonGuardHooks hooks;
    hooks.sendCrashes = [this](const CrashMessage &message) {
        if (!m_peers) {
            return;
        }
        for (const Member &member : crashReceivers()) {
            // After a lost message the receiver blames a request one crash later, or learns it from another process.
            static_cast<void>(m_peers->send(member.peer, PeerKind::Crashes, encode(message)));
        }
    };
    hooks.sendQuarantinedToIngress = [this](const std::vector<QuarantinedRequest> &requests) {
        sendQuarantined(requests, m_ingressMembers);
    };
    hooks.sendQuarantinedToRandom = [this](const std::vector<QuarantinedRequest> &requests, std::size_t count) {
        sendQuarantined(requests, randomMembers(count));
    };
    hooks.sendQuarantinedToNext = [this](const std::vector<QuarantinedRequest> &requests) {
        sendQuarantined(requests, nextMember());
    };
    hooks.writesStore = [this] {
        return writesQuarantine();
    };
    return std::make_unique<PoisonGuard>(
        m_worker.context, m_storeHistory.access(), PoisonGuardSettings {}, std::move(hooks), m_events);
}

void GatewayProcess::setUpCrashHandling()
{
    m_gateway.forward.quarantineLeft = [this](RequestFingerprint request) {
        return m_poison->quarantineLeft(request);
    };
    m_gateway.forward.requestSucceeded = [this](RequestFingerprint request) {
        m_poison->recordSuccess(request);
    };
    m_gateway.forward.requestFailed = [this](RequestFingerprint request) {
        m_poison->recordError(request);
    };
    m_gateway.forward.attemptLost = [this](const LostAttempt &lost) {
        m_crashes.attemptLost(lost);
    };
}

// An empty message is a query of a process that has just started.
void GatewayProcess::handleQuarantined(const PeerSender &sender, const std::vector<QuarantinedRequest> &requests)
{
    const std::vector<QuarantinedRequest> known = m_poison->quarantined();
    if (requests.empty() && !known.empty()) {
        // After a lost response the process learns the requests from the member before it in the order.
        static_cast<void>(m_peers->send(sender.from, PeerKind::QuarantinedRequests, encode(known)));
    }
    m_poison->mergeQuarantined(requests);
}

// Queries the seeds, because the store may not have been written yet.
void GatewayProcess::requestQuarantined(const Seeds &seeds)
{
    for (const Endpoint &peer : seeds.peers) {
        static_cast<void>(
            m_peers->send(peer, PeerKind::QuarantinedRequests, encode(std::vector<QuarantinedRequest> {})));
    }
}

// As many requests as can be quarantined fit a datagram.
void GatewayProcess::sendQuarantined(const std::vector<QuarantinedRequest> &requests,
                                     const std::vector<Member> &receivers)
{
    if (!m_peers) {
        return;
    }
    const std::string payload = encode(requests);
    for (const Member &member : receivers) {
        if (member.incarnation != m_incarnation) {
            // What is lost arrives with a later message, of this process or of another one.
            static_cast<void>(m_peers->send(member.peer, PeerKind::QuarantinedRequests, payload));
        }
    }
}

// Returns the other ingress proxies of the highest ranks, and the members of the next ranks, which replace them.
std::vector<Member> GatewayProcess::crashReceivers() const
{
    std::vector<Member> others = liveOthers();
    const auto firstOther = std::partition(others.begin(), others.end(), [this](const Member &member) {
        return isIngress(member.incarnation);
    });
    const auto ingressCount = static_cast<std::size_t>(firstOther - others.begin());
    const std::size_t wanted = std::clamp(ingressCount, internal::MinCrashReceivers, internal::MaxCrashReceivers);
    std::sort(others.begin(), firstOther, ranksBefore);
    std::sort(firstOther, others.end(), ranksBefore);
    others.resize(std::min(wanted, others.size()));
    return others;
}

// Returns up to `count` random other members.
std::vector<Member> GatewayProcess::randomMembers(std::size_t count)
{
    const std::vector<Member> others = liveOthers();
    std::vector<Member> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), count, m_random);
    return chosen;
}

// Returns the member with the next higher incarnation, or the lowest one after the highest.
std::vector<Member> GatewayProcess::nextMember() const
{
    const std::vector<Member> others = liveOthers();
    const auto next = std::min_element(others.begin(), others.end(), [this](const Member &one, const Member &other) {
        // Unsigned differences wrap around, as the order does.
        return one.incarnation - m_incarnation < other.incarnation - m_incarnation;
    });
    return next == others.end() ? std::vector<Member> {} : std::vector { *next };
}

// The gateway of the highest rank of each failure domain does.
bool GatewayProcess::writesQuarantine() const
{
    return isAmongTopRanked(members(), m_incarnation, 1);
}

} // namespace mulberryplank
