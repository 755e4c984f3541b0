#include "mulberryplank/net/memberservice.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "mulberryplank/net/membershipcodec.h"
#include "rununtil.h"

using namespace mulberryplank;

namespace
{

constexpr Seconds RunLimit { 30 };

MemberUpdate randomUpdate(bool withDescription)
{
    MemberUpdate update;
    update.incarnation = *rc::gen::arbitrary<Incarnation>();
    update.status = static_cast<MemberStatus>(*rc::gen::inRange(0, 4));
    update.counter = *rc::gen::arbitrary<StateCounter>();
    update.applied = *rc::gen::arbitrary<Offset>();
    update.ready = *rc::gen::arbitrary<bool>();
    if (withDescription) {
        const auto name = *rc::gen::string<std::string>();
        update.description = std::make_shared<const MemberDescription>(
            MemberDescription { VmName(name), { "10.0.0.1", 7 }, { name, 8 }, FailureDomain(name) });
    }
    return update;
}

// A process of a fleet on the loopback interface.
struct Process {
    Process(boost::asio::io_context &context,
            const std::string &vm,
            std::vector<Endpoint> seeds,
            std::function<void()> onFirstMember = {},
            const EventSink &events = {})
        : transport(context, transportSettings(vm), {})
        , service(
              context,
              transport,
              memberOf(vm),
              serviceSettings(std::move(seeds), std::move(onFirstMember)),
              1,
              [] {
                  return MemberService::OwnState { 9, true };
              },
              events)
    {
        transport.start();
        service.start();
    }

    static PeerTransportSettings transportSettings(const std::string &vm)
    {
        PeerTransportSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        settings.vm = VmName(vm);
        settings.incarnation = memberOf(vm).incarnation;
        settings.fleetKeys = { "key" };
        return settings;
    }

    static Member memberOf(const std::string &vm)
    {
        Member member;
        member.vm = VmName(vm);
        member.incarnation = std::hash<std::string> {}(vm);
        return member;
    }

    static MemberServiceSettings serviceSettings(std::vector<Endpoint> seeds, std::function<void()> onFirstMember)
    {
        MemberServiceSettings settings;
        settings.onFirstMember = std::move(onFirstMember);
        settings.membership.seeds = std::move(seeds);
        settings.leavePropagationTime = Millis(1);
        return settings;
    }

    std::size_t countMembers(MemberStatus status) const
    {
        std::size_t count = 0;
        for (const Member &member : service.members()) {
            count += member.status == status && member.applied == 9 ? 1 : 0;
        }
        return count;
    }

    PeerTransport transport;
    MemberService service;
};

} // namespace

TEST_GROUP(MemberService) {};

TEST(MemberService, messagesSurviveEncodingWithinTheirSizeBound)
{
    CHECK_TRUE(rc::check("encoded, then decoded", [] {
        const MemberUpdate update = randomUpdate(*rc::gen::arbitrary<bool>());
        MembershipMessage sent;
        sent.kind = MembershipKind::IndirectProbe;
        sent.subjectPeer = { "10.0.0.2", 99 };
        sent.sender = update;
        const std::size_t baseSize = encode(sent).size();
        sent.updates = { update, randomUpdate(false) };
        RC_ASSERT(encode(sent).size() - baseSize
                  <= encodedSizeBound(sent.updates[0]) + encodedSizeBound(sent.updates[1]));
        const auto received = decodeMembershipMessage(encode(sent));
        RC_ASSERT(received.has_value());
        const MemberUpdate &decoded = received->updates.front();
        RC_ASSERT(decoded.incarnation == update.incarnation && decoded.status == update.status);
        RC_ASSERT(decoded.counter == update.counter && decoded.applied == update.applied
                  && decoded.ready == update.ready);
        RC_ASSERT(!decoded.description == !update.description);
        if (update.description) {
            RC_ASSERT(decoded.description->failureDomain == update.description->failureDomain);
        }
        RC_ASSERT(received->subjectPeer == sent.subjectPeer && received->kind == sent.kind);
    }));
}

TEST(MemberService, processesFindEachOtherThroughASeedAndLearnOfALeave)
{
    boost::asio::io_context context;
    std::vector<std::unique_ptr<Process>> processes;
    for (int i = 0; i < 4; ++i) {
        const std::vector<Endpoint> seeds =
            i == 0 ? std::vector<Endpoint> {} : std::vector<Endpoint> { processes.front()->transport.advertised() };
        processes.push_back(std::make_unique<Process>(context, "vm-" + std::to_string(i), seeds));
    }
    const auto runUntilAll = [&](MemberStatus status, std::size_t count) {
        const Instant end = std::chrono::steady_clock::now() + RunLimit;
        const auto done = [&] {
            return std::all_of(processes.begin(), processes.end(), [&](const auto &process) {
                return process->countMembers(status) == count;
            });
        };
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(Millis(50));
        }
        CHECK_TRUE(done());
    };
    runUntilAll(MemberStatus::Alive, 4);
    boost::asio::co_spawn(context, processes.back()->service.announceLeave(), boost::asio::detached);
    runUntilAll(MemberStatus::Leaving, 1);
}

// Guards against a failure domain that serves no requests for half a second after a power loss of the whole fleet.
TEST(MemberService, seedLearnsOfTheMembersThatJoinThroughIt)
{
    boost::asio::io_context context;
    int calls = 0;
    const Endpoint unresponsive { "127.0.0.1", 9 };
    Process first(context, "first", { unresponsive }, [&calls] {
        ++calls;
    });
    Process second(context, "second", { first.transport.advertised() });
    CHECK_TRUE(runUntil(context, [&calls] {
        return calls > 0;
    }));
    CHECK_EQUAL(1, calls);
    CHECK_EQUAL(2, first.service.members().size());
    first.service.stop();
    second.service.stop();
    first.transport.stop();
    second.transport.stop();
}

// Guards against a fleet that is split while no log line tells which processes were queried without a response.
TEST(MemberService, failedExchangeIsLoggedWithItsAddress)
{
    boost::asio::io_context context;
    std::vector<std::string> addresses;
    const EventSink events = [&addresses](Event event, std::initializer_list<EventField> fields) {
        if (event == Event::MemberExchangeFailed) {
            addresses.push_back(fields.begin()->value);
        }
    };
    Process alone(context, "alone", { { "127.0.0.1", 9 } }, {}, events);
    CHECK_TRUE(runUntil(context, [&addresses] {
        return !addresses.empty();
    }));
    STRCMP_EQUAL("127.0.0.1:9", addresses.front().c_str());
    alone.service.stop();
    alone.transport.stop();
}
