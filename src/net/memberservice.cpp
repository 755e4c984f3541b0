#include "mulberryplank/net/memberservice.h"

#include <algorithm>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/base/eventthrottle.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/membershipcodec.h"

namespace mulberryplank
{

namespace
{

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

// Copying a list of thousands of members takes too long to do it on every tick. A changed list is published after the
// minimum interval, an unchanged one after the maximum interval.
constexpr Millis MinPublishInterval { 200 };
constexpr Seconds MaxPublishInterval { 1 };
// A process that starts alone queries its seeds every 100 ms.
constexpr Seconds FailureLogInterval { 1 };

Instant clockNow()
{
    return Clock::now();
}

} // namespace

struct MemberService::Private : std::enable_shared_from_this<MemberService::Private> {
    Private(boost::asio::io_context &ioContext, PeerTransport &peers, Member own, MemberServiceSettings serviceSettings)
        : context(ioContext)
        , transport(&peers)
        , self(std::move(own))
        , settings(std::move(serviceSettings))
        , timer(ioContext)
        , exchangeFailures(FailureLogInterval)
        , published(std::make_shared<const std::vector<Member>>())
    {
    }

    awaitable<void> tickUntilStopped(std::shared_ptr<Private> keepAlive);
    // `active` counts the exchanges of this kind in progress.
    void startExchange(const Endpoint &peer, Duration responseTimeout, int &active);
    awaitable<void> exchangeWith(std::shared_ptr<Private> keepAlive,
                                 Endpoint peer,
                                 Duration responseTimeout,
                                 int &active);
    void receive(const PeerSender &sender, std::string_view payload);
    Result<std::string> respondToExchange(std::string_view payload);
    void tick();
    void sendAll(const std::vector<OutgoingMessage> &messages);
    void logEvents();
    void publish(Instant now);
    void publishNow(Instant now);
    void notifyFirstMember(Instant now);
    void noteExchangeFailure(const Endpoint &peer, Instant startedAt, const Error &error);

    boost::asio::io_context &context;
    PeerTransport *transport;
    Member self;
    MemberServiceSettings settings;
    std::uint64_t seed = 0;
    OwnStateSource ownState;
    EventSink events;
    Timer timer;
    EventThrottle exchangeFailures;
    std::unique_ptr<Membership> membership; // null before start() and after stop()
    int activeExchanges = 0; // in progress, with members
    int activeSeedQueries = 0;
    bool firstMemberKnown = false; // another member was known at some time
    bool changed = false;
    Instant lastPublished {};
    mutable std::mutex publishedLock;
    std::shared_ptr<const std::vector<Member>> published;
};

awaitable<void> MemberService::Private::tickUntilStopped(std::shared_ptr<Private> keepAlive)
{
    while (keepAlive->membership) {
        keepAlive->tick();
        timer.expires_after(settings.tickInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(redirect_error(use_awaitable, ignored));
    }
}

void MemberService::Private::tick()
{
    const OwnState own = ownState();
    membership->updateSelf(own.applied, own.ready);
    const Instant now = clockNow();
    sendAll(membership->tick(now));
    logEvents();
    publish(now);
    if (activeSeedQueries < settings.maxParallelSeedQueries) {
        if (const std::optional<Endpoint> queried = membership->seedQueryDue(now)) {
            startExchange(*queried, settings.seedResponseTimeout, activeSeedQueries);
        }
    }
    if (activeExchanges == 0) {
        if (const std::optional<Endpoint> member = membership->exchangeDue(now)) {
            startExchange(*member, settings.exchangeTimeout, activeExchanges);
        }
    }
}

void MemberService::Private::startExchange(const Endpoint &peer, Duration responseTimeout, int &active)
{
    ++active;
    boost::asio::co_spawn(
        context, exchangeWith(shared_from_this(), peer, responseTimeout, active), boost::asio::detached);
}

awaitable<void> MemberService::Private::exchangeWith(std::shared_ptr<Private> keepAlive,
                                                     Endpoint peer,
                                                     Duration responseTimeout,
                                                     int &active)
{
    std::string request = encode(keepAlive->membership->exchangeRequest());
    const Instant startedAt = clockNow();
    const auto bytes = co_await transport->call(
        peer, PeerKind::Membership, std::move(request), responseTimeout, settings.exchangeTimeout);
    --active;
    const Result<MemberExchange> response = bytes ? decodeMemberExchange(*bytes) : tl::make_unexpected(bytes.error());
    if (!membership) {
        co_return;
    }
    if (!response) {
        noteExchangeFailure(peer, startedAt, response.error());
        co_return;
    }
    const Instant now = clockNow();
    membership->mergeExchange(*response, now);
    logEvents();
    notifyFirstMember(now);
}

void MemberService::Private::noteExchangeFailure(const Endpoint &peer, Instant startedAt, const Error &error)
{
    const Instant now = clockNow();
    const std::optional<std::uint64_t> unlogged = events ? exchangeFailures.pass(now) : std::nullopt;
    if (unlogged) {
        const std::vector<Member> &members = membership->members();
        const auto others = std::count_if(members.begin() + 1, members.end(), [](const Member &member) {
            return member.status != MemberStatus::Dead;
        });
        events(Event::MemberExchangeFailed,
               { { "address", toString(peer) },
                 { "members", others },
                 { "duration_ms", std::chrono::duration_cast<Millis>(now - startedAt).count() },
                 { "unlogged_before", *unlogged },
                 { "detail", error.detail } });
    }
}

void MemberService::Private::receive(const PeerSender &sender, std::string_view payload)
{
    const auto message = membership ? decodeMembershipMessage(payload) : failure(ErrorKind::NotReady, "not started");
    // A process may send only for itself, even though all processes share the key.
    if (!message || message->sender.incarnation != sender.incarnation) {
        return;
    }
    const Instant now = clockNow();
    sendAll(membership->receive(sender.from, *message, now));
    logEvents();
    notifyFirstMember(now);
}

Result<std::string> MemberService::Private::respondToExchange(std::string_view payload)
{
    if (!membership) {
        return failure(ErrorKind::NotReady, "not started");
    }
    const auto request = decodeMemberUpdates(payload);
    if (!request) {
        return tl::unexpected(request.error());
    }
    const Instant now = clockNow();
    std::string response = encode(membership->respondToExchange(*request, now));
    logEvents();
    notifyFirstMember(now);
    return response;
}

// The first member counts even if it contacted this process and not the other way round. Otherwise the strongest
// member, through which others join, would wait after a power loss for seeds that are still down. All processes that
// join through it would wait as well.
void MemberService::Private::notifyFirstMember(Instant now)
{
    if (firstMemberKnown || membership->isAlone()) {
        return;
    }
    firstMemberKnown = true;
    publishNow(now);
    if (settings.onFirstMember) {
        settings.onFirstMember();
    }
}

void MemberService::Private::sendAll(const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &outgoing : messages) {
        // A datagram that can't be sent counts as lost. The protocol tolerates losses.
        static_cast<void>(transport->send(outgoing.to, PeerKind::Membership, encode(outgoing.message)));
    }
}

void MemberService::Private::logEvents()
{
    for (const MembershipEvent &event : membership->takeEvents()) {
        changed = true;
        if (events) {
            events(event.event,
                   { { "vm", event.member.vm.value() },
                     { "incarnation", event.member.incarnation },
                     { "failure_domain", event.member.failureDomain.value() },
                     { "status", std::string(toString(event.member.status)) },
                     { "detail", event.detail } });
        }
    }
}

void MemberService::Private::publish(Instant now)
{
    const Duration age = now - lastPublished;
    if (age < MinPublishInterval || (!changed && age < MaxPublishInterval)) {
        return;
    }
    publishNow(now);
}

void MemberService::Private::publishNow(Instant now)
{
    changed = false;
    lastPublished = now;
    auto list = std::make_shared<const std::vector<Member>>(membership->members());
    const std::lock_guard lock(publishedLock);
    published = std::move(list);
}

MemberService::MemberService(boost::asio::io_context &context,
                             PeerTransport &transport,
                             Member self,
                             MemberServiceSettings settings,
                             std::uint64_t seed,
                             OwnStateSource ownState,
                             EventSink events)
    : m_d(std::make_shared<Private>(context, transport, std::move(self), std::move(settings)))
{
    m_d->seed = seed;
    m_d->ownState = std::move(ownState);
    m_d->events = std::move(events);
    const std::weak_ptr<Private> weak = m_d;
    transport.onDatagram(PeerKind::Membership, [weak](const PeerSender &sender, std::string_view payload) {
        if (const auto service = weak.lock()) {
            service->receive(sender, payload);
        }
    });
    transport.onCall(PeerKind::Membership, [weak](const PeerSender &, std::string_view payload) -> Result<std::string> {
        const auto service = weak.lock();
        return service ? service->respondToExchange(payload) : failure(ErrorKind::NotReady, "stopped");
    });
}

MemberService::~MemberService()
{
    stop();
}

void MemberService::start()
{
    m_d->self.peer = m_d->transport->advertised();
    m_d->membership = std::make_unique<Membership>(m_d->self, m_d->settings.membership, m_d->seed);
    boost::asio::co_spawn(m_d->context, m_d->tickUntilStopped(m_d), boost::asio::detached);
}

void MemberService::stop()
{
    m_d->membership.reset();
    m_d->timer.cancel();
}

awaitable<void> MemberService::announceLeave()
{
    const std::shared_ptr<Private> keepAlive = m_d;
    if (!keepAlive->membership) {
        co_return;
    }
    keepAlive->membership->leave(clockNow());
    keepAlive->changed = true;
    Timer propagationTimer(keepAlive->context, keepAlive->settings.leavePropagationTime);
    boost::system::error_code ignored;
    co_await propagationTimer.async_wait(redirect_error(use_awaitable, ignored));
}

bool MemberService::isUnresponsiveSeed(const Endpoint &seed) const
{
    return m_d->membership && m_d->membership->isUnresponsiveSeed(seed, clockNow());
}

void MemberService::setSeeds(std::vector<Endpoint> seeds, std::size_t preferred)
{
    if (m_d->membership) {
        m_d->membership->setSeeds(std::move(seeds), preferred);
    }
}

void MemberService::setVmHints(std::unordered_map<VmName, VmHint> hints)
{
    if (m_d->membership) {
        m_d->membership->setVmHints(std::move(hints));
    }
}

std::vector<Member> MemberService::members() const
{
    return *snapshot();
}

std::shared_ptr<const std::vector<Member>> MemberService::snapshot() const
{
    const std::lock_guard lock(m_d->publishedLock);
    return m_d->published;
}

} // namespace mulberryplank
