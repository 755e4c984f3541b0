#include "mulberryplank/policy/configurationoffer.h"

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/pack.h"

using namespace mulberryplank;

namespace
{

// Returns a configuration of which nothing can be left out, of `size` bytes, with its last byte `last`.
std::string configuration(std::size_t size, char last)
{
    std::string bytes;
    std::uint64_t state = 1;
    while (bytes.size() + 1 < size) {
        state = state * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
        bytes += static_cast<char>(state >> 56U);
    }
    return bytes + last;
}

constexpr std::size_t ThreePieces = 3 * ConfigurationPieceSize - 1'000;

// Returns the packed configuration that `offer` gives to one who has `base`.
std::string allPieces(ConfigurationOffer &offer, std::uint64_t base)
{
    ConfigurationTransfer transfer;
    std::optional<std::string> packed;
    for (int pieces = 0; pieces < 10 && !packed; ++pieces) {
        packed = transfer.take(offer.piece(base, transfer.next()));
    }
    return packed.value_or("");
}

} // namespace

TEST_GROUP(ConfigurationOffer) {};

TEST(ConfigurationOffer, whoeverHasAnotherConfigurationGetsAllOfIt)
{
    ConfigurationOffer offer;
    offer.replace(configuration(ThreePieces, 'a'), 1);
    offer.replace(configuration(ThreePieces, 'b'), 2);
    const std::string packed = allPieces(offer, 99);
    CHECK_TRUE(packed.size() > 2 * ConfigurationPieceSize);
    CHECK_EQUAL(0, offer.piece(99, {}).base);
    CHECK_TRUE(unpack(packed, "") == configuration(ThreePieces, 'b'));
}

TEST(ConfigurationOffer, whoeverHasThePreviousOneGetsWhatDiffers)
{
    const std::string previous = configuration(ThreePieces, 'a');
    const std::uint64_t base = configurationDigest(previous);
    ConfigurationOffer offer;
    offer.replace(previous, 1);
    offer.replace(configuration(ThreePieces, 'b'), 2);
    const ConfigurationPiece piece = offer.piece(base, {});
    CHECK_EQUAL(base, piece.base);
    CHECK_EQUAL(2, piece.position.version);
    CHECK_TRUE(piece.size < 1'000);
    CHECK_TRUE(unpack(piece.bytes, previous) == configuration(ThreePieces, 'b'));
}

TEST(ConfigurationOffer, twoProcessesGiveTheSamePieces)
{
    ConfigurationOffer one;
    one.replace(configuration(ThreePieces, 'a'), 1);
    ConfigurationOffer other;
    other.replace(configuration(10, 'c'), 0);
    other.replace(configuration(ThreePieces, 'a'), 1);
    ConfigurationTransfer transfer;
    transfer.take(one.piece(0, transfer.next()));
    transfer.onSourceFailed();
    transfer.take(other.piece(0, transfer.next()));
    const auto packed = transfer.take(one.piece(0, transfer.next()));
    CHECK_TRUE(packed.has_value());
    CHECK_TRUE(unpack(*packed, "") == configuration(ThreePieces, 'a'));
}
