#include "mulberryplank/net/peerenvelope.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

namespace
{

PeerEnvelope randomEnvelope()
{
    PeerEnvelope envelope;
    envelope.kind = PeerKind::Evidence;
    envelope.vm = VmName(*rc::gen::string<std::string>());
    envelope.incarnation = *rc::gen::arbitrary<Incarnation>();
    envelope.from = { "127.0.0.1", *rc::gen::arbitrary<std::uint16_t>() };
    envelope.sequence = *rc::gen::arbitrary<Sequence>();
    envelope.destination = *rc::gen::string<std::string>();
    envelope.payload = *rc::gen::string<std::string>();
    return envelope;
}

} // namespace

TEST_GROUP(PeerEnvelope) {};

TEST(PeerEnvelope, roundTripSucceedsUnderAnyOfTheKeys)
{
    CHECK_TRUE(rc::check("sealed, then unsealed", [] {
        const PeerEnvelope sent = randomEnvelope();
        const auto received = unseal(seal(sent, "new"), { "old", "new" });
        RC_ASSERT(received.has_value());
        RC_ASSERT(received->vm == sent.vm && received->incarnation == sent.incarnation);
        RC_ASSERT(received->from == sent.from && received->sequence == sent.sequence);
        RC_ASSERT(received->destination == sent.destination && received->payload == sent.payload);
    }));
}

TEST(PeerEnvelope, modifiedBytesAndOtherKeysAreUntrusted)
{
    CHECK_TRUE(rc::check("tampered", [] {
        std::string bytes = seal(randomEnvelope(), "key");
        RC_ASSERT(unseal(bytes, { "other" }).error().kind == ErrorKind::PeerUntrusted);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(unseal(bytes, { "key" }).error().kind == ErrorKind::PeerUntrusted);
    }));
}

TEST(PeerEnvelope, randomBytesAreUntrusted)
{
    CHECK_TRUE(rc::check("random bytes", [] {
        const auto bytes = *rc::gen::string<std::string>();
        RC_ASSERT(unseal(bytes, { "key" }).error().kind == ErrorKind::PeerUntrusted);
        RC_ASSERT(unseal(bytes, {}).error().kind == ErrorKind::PeerUntrusted);
    }));
}
