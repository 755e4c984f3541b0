// Knowledge of targets that a gateway gets from others, because it has few callers itself.
#include "gatewayprocess.h"

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

// How long knowledge from another gateway is used. Loads change within this time.
constexpr Duration KnowledgeLifetime = Millis(200);
// How long a gateway must have been an ingress proxy to rely on its own knowledge.
constexpr Duration LearningTime = Seconds(2);
// How long a request waits for knowledge. The response takes one round trip between gateways.
constexpr Duration KnowledgeWait = Millis(20);
constexpr Duration KnowledgePollInterval = Millis(2);
constexpr std::size_t MaxKnownTargets = 2 * KnowledgeReportsPerDatagram; // in a response

} // namespace

} // namespace internal

void GatewayProcess::setUpKnowledge()
{
    m_gateway.ensureKnowledge = [this](const ServiceName &name) {
        return ensureKnowledge(name);
    };
}

bool GatewayProcess::hasOwnKnowledge(Instant now) const
{
    return m_ingressSince && now - *m_ingressSince >= internal::LearningTime;
}

DataAwaitable<void> GatewayProcess::ensureKnowledge(const ServiceName &name)
{
    const Instant startedAt = Clock::now();
    if (hasOwnKnowledge(startedAt)) {
        co_return;
    }
    while (Clock::now() - startedAt < internal::KnowledgeWait) {
        const Instant now = Clock::now();
        KnowledgeState &state = m_knowledge[name];
        const bool isFresh = now - state.learnedAt < internal::KnowledgeLifetime;
        const bool mayAsk = now - state.askedAt >= internal::KnowledgeWait;
        if (isFresh || (mayAsk && !queryKnowledge(name, state, now))) {
            co_return;
        }
        DataTimer timer(m_worker.context, internal::KnowledgePollInterval);
        co_await timer.async_wait(UseData);
    }
}

// Asks another ingress gateway. Returns false if there is none.
bool GatewayProcess::queryKnowledge(const ServiceName &name, KnowledgeState &state, Instant now)
{
    const std::vector<Member> others = aliveOtherIngressMembers();
    if (!m_peers || others.empty()) {
        return false;
    }
    state.askedAt = now;
    const Member &asked = others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(m_random)];
    // After a lost message the request goes on without, and the next one asks again.
    static_cast<void>(m_peers->send(asked.peer, PeerKind::KnowledgeQuery, encode(KnowledgeMessage { name, {} })));
    return true;
}

// Responds also without any knowledge, so that the other gateway doesn't wait.
void GatewayProcess::tellKnowledge(const PeerSender &sender, const KnowledgeMessage &query)
{
    const Instant now = Clock::now();
    const auto found = m_services.find(query.service);
    std::vector<TargetKnowledge> all;
    if (found != m_services.end() && hasOwnKnowledge(now)) {
        all = found->second->balancer.knowledge(internal::MaxKnownTargets, now);
    }
    KnowledgeMessage message { query.service, {} };
    do {
        message.reports.clear();
        while (!all.empty() && message.reports.size() < KnowledgeReportsPerDatagram) {
            message.reports.push_back(knowledgeReport(all.back(), now));
            all.pop_back();
        }
        static_cast<void>(m_peers->send(sender.from, PeerKind::Knowledge, encode(message)));
    } while (!all.empty());
}

void GatewayProcess::learn(const KnowledgeMessage &message)
{
    const Instant now = Clock::now();
    for (const KnowledgeReport &report : message.reports) {
        const auto found = m_targetsByKey.find(report.target);
        if (found != m_targetsByKey.end()) {
            const KnownTarget &known = found->second;
            known.service->balancer.learn(knowledgeOf(report, known.name, now), now);
        }
    }
    m_knowledge[message.service].learnedAt = now;
}

} // namespace mulberryplank
