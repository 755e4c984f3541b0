// What a gateway does while it can't reach targets: other gateways that can connect it to them.
#include "gatewayprocess.h"

#include <algorithm>
#include <unordered_set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// Targets of a service to which a check opens connections.
constexpr std::size_t TargetsPerCheck = DirectPath::DecisiveTargets;
// Services that are checked at a time. Bounds the connections that a gateway without any path opens.
constexpr std::size_t ServicesPerCheck = 8;
// How long a new connection has to stay open to count as accepted. A network device on the path may accept it and reset
// it once the device itself can't reach the target.
constexpr Duration AcceptedAfter = Seconds(1);
// Time for another gateway to connect to a target. Its own connection attempt takes up to 300 ms.
constexpr Duration TunnelTimeout = Millis(450);
// Other gateways that are tried for a connection.
constexpr int MaxRelays = 2;
// One lost path can be the end of all the service's targets, so a second one is needed to tell that it is this gateway.
constexpr std::size_t MinLostPaths = 2;

} // namespace

} // namespace internal

void GatewayProcess::setUpPaths()
{
    TargetPathHooks &paths = m_gateway.forward.paths;
    paths.usesRelays = [this](const ServiceName &name) {
        return usesRelays(name);
    };
    paths.noteConnection = [this](const ServiceName &name, const TargetName &target, bool reached, Instant openedAt) {
        noteConnection(name, target, reached, openedAt);
    };
    paths.suspectPath = [this](const ServiceName &name) {
        checkPath(name);
    };
    paths.connectThroughRelay = [this](TargetName target) {
        return connectThroughRelay(std::move(target));
    };
}

bool GatewayProcess::isIsolated() const
{
    return !m_lostPaths.empty() && m_lostPaths.size() >= std::min(internal::MinLostPaths, m_services.size())
           && m_lastReached < m_lastPathLost;
}

// Without another gateway to use, a request is better sent over a path that may be back than refused.
bool GatewayProcess::usesRelays(const ServiceName &name)
{
    return (m_lostPaths.contains(name) || isIsolated()) && hasRelay();
}

// Asked for each connection while a path is lost, so it doesn't copy the members unless no ingress proxy is usable.
bool GatewayProcess::hasRelay() const
{
    const auto isUsable = [this, now = Clock::now()](const Member &member) {
        return isUsableRelay(member, m_incarnation, m_failedRelays, now);
    };
    if (!m_peers || std::any_of(m_ingressMembers.begin(), m_ingressMembers.end(), isUsable)) {
        return m_peers != nullptr;
    }
    const std::vector<Member> all = members();
    return std::any_of(all.begin(), all.end(), isUsable);
}

std::optional<Member> GatewayProcess::chooseOwnRelay()
{
    if (!m_peers) {
        return std::nullopt;
    }
    return chooseRelay(m_ingressMembers, members(), m_incarnation, m_failedRelays, Clock::now(), m_random);
}

void GatewayProcess::noteConnection(const ServiceName &name, const TargetName &target, bool reached, Instant openedAt)
{
    ForwardService &known = service(name);
    const std::size_t targetCount = known.balancer.countAccepting(DirectPath::DecisiveTargets);

    if (reached) {
        if (known.path.noteSuccess(target, targetCount, openedAt)) {
            handlePathRestored(name);
        }
        if (!known.path.isLost()) {
            m_lastReached = std::max(m_lastReached, openedAt);
        }
        return;
    }
    if (known.path.noteFailure(target, targetCount, Clock::now())) {
        handlePathLost(name);
    } else if (!known.path.isLost()) {
        checkPath(name);
    }
}

// Open connections that don't respond any more don't show it otherwise, and a request sent on one would be lost. Those
// that respond are kept: overloaded targets refuse new connections as well.
void GatewayProcess::handlePathLost(const ServiceName &name)
{
    m_lostPaths.insert(name);
    m_lastPathLost = Clock::now();
    m_events(Event::PathLost, { { "service", name.value() }, { "lost_paths", m_lostPaths.size() } });
    if (!service(name).path.openConnectionsRespond()) {
        closeConnections(name);
    }
    checkPaths(randomServices(false));
}

void GatewayProcess::handlePathRestored(const ServiceName &name)
{
    m_lostPaths.erase(name);
    m_events(Event::PathRestored, { { "service", name.value() }, { "lost_paths", m_lostPaths.size() } });
    closeConnections(name);
    checkPaths(randomServices(true));
}

void GatewayProcess::closeConnections(const ServiceName &name)
{
    for (const auto &[key, target] : m_targetsByKey) {
        if (target.serviceName == name) {
            m_worker.pool.closeIdle(target.endpoint);
        }
    }
}

// Returns some of the services whose path is lost, or some of the others.
std::vector<ServiceName> GatewayProcess::randomServices(bool lost)
{
    std::vector<ServiceName> names;
    for (const auto &[name, known] : m_services) {
        if (known->path.isLost() == lost) {
            names.push_back(name);
        }
    }
    std::vector<ServiceName> sample;
    std::sample(names.begin(), names.end(), std::back_inserter(sample), internal::ServicesPerCheck, m_random);
    return sample;
}

void GatewayProcess::checkPaths(const std::vector<ServiceName> &names)
{
    for (const ServiceName &name : names) {
        checkPath(name);
    }
}

// Called with each tick. A gateway without a path gets no requests that would show that the path is back.
void GatewayProcess::checkLostPaths()
{
    if (!m_lostPaths.empty()) {
        checkPaths(randomServices(true));
    }
}

// Opens connections to some targets of a service, unless that was done a moment ago.
void GatewayProcess::checkPath(const ServiceName &name)
{
    ForwardService &known = service(name);
    if (!known.path.startCheck(Clock::now())) {
        return;
    }
    for (const AnnouncedTarget &target : known.balancer.randomTargets(internal::TargetsPerCheck)) {
        asio::co_spawn(m_worker.context, checkTarget(name, target.id, target.endpoint), asio::detached);
    }
}

DataAwaitable<void> GatewayProcess::checkTarget(ServiceName name, TargetName target, Endpoint endpoint)
{
    const Instant openedAt = Clock::now();
    const TargetConnectionPtr connection = m_worker.pool.create(openedAt);
    HttpStream &stream = connection->stream;
    const auto error = co_await stream.connect(endpoint, openedAt + m_gateway.forward.limits.connectTime);
    bool reached = false;
    if (!error) {

        stream.expiresAt(Clock::now() + internal::AcceptedAfter);
        co_await stream.readSome();
        reached = stream.timedOut();
    }
    noteConnection(name, target, reached, openedAt);
}

DataAwaitable<Result<TargetConnectionPtr>> GatewayProcess::connectThroughRelay(TargetName target)
{
    Result<TargetConnectionPtr> result = failure(ErrorKind::ConnectFailed, "no other gateway to connect through");
    for (int tried = 0; tried < internal::MaxRelays; ++tried) {
        const std::optional<Member> relay = chooseOwnRelay();
        if (!relay) {
            break;
        }
        const auto tunnel = co_await asio::co_spawn(
            m_worker.context, openTunnel(*m_peers, relay->peer, target, internal::TunnelTimeout), UseData);
        if (tunnel) {
            co_return adoptTunnel(*tunnel, relay->incarnation);
        }
        if (result.error().kind != ErrorKind::NoTarget) {
            result = tl::make_unexpected(tunnel.error());
        }
        // With NoTarget and NotFound the relay works, and this target can't be reached through it.
        if (tunnel.error().kind != ErrorKind::NoTarget && tunnel.error().kind != ErrorKind::NotFound) {
            m_failedRelays.note(relay->incarnation, Clock::now());
        }
    }
    co_return result;
}

// Errors: PeerLost if the connection has ended meanwhile.
Result<TargetConnectionPtr> GatewayProcess::adoptTunnel(const OpenedTunnel &tunnel, Incarnation relay)
{
    boost::system::error_code error;
    const auto protocol = tunnel.socket->local_endpoint(error).protocol();
    if (error) {
        return failure(ErrorKind::PeerLost, error.message());
    }
    DataSocket adopted(m_worker.context.get_executor());
    adopted.assign(protocol, tunnel.socket->release(error), error);
    if (error) {
        return failure(ErrorKind::PeerLost, error.message());
    }
    setDataSocketOptions(adopted);
    return m_worker.pool.adopt(std::move(adopted), relay, tunnel.inputEnd);
}

// Finds a target for another gateway. Refused at once if this one couldn't reach it either.
Result<Endpoint> GatewayProcess::locateForTunnel(const TargetName &target)
{
    const auto found = m_targetsByKey.find(targetKey(target));
    if (found == m_targetsByKey.end() || found->second.name != target) {
        return failure(ErrorKind::NotFound, "unknown target " + target.value());
    }
    if (m_draining) {
        return failure(ErrorKind::Draining, "this gateway stops");
    }
    if (m_lostPaths.contains(found->second.serviceName) || isIsolated()) {
        return failure(ErrorKind::ConnectFailed, "no path to the targets of " + found->second.serviceName.value());
    }
    return found->second.endpoint;
}

// Called with each tick. Closes idle connections through gateways that are about to stop, which wait for that, or have
// stopped.
void GatewayProcess::closeObsoleteTunnels()
{
    if (!m_worker.pool.hasRelayed()) {
        return;
    }
    std::unordered_set<Incarnation> alive;
    for (const Member &member : members()) {
        if (member.status == MemberStatus::Alive) {
            alive.insert(member.incarnation);
        }
    }
    m_worker.pool.closeRelayed([&alive](Incarnation relay) {
        return !alive.contains(relay);
    });
}

} // namespace mulberryplank
