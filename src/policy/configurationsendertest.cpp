#include "mulberryplank/policy/configurationsender.h"

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/compression.h"

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

// Returns the compressed configuration that `sender` gives to one who has `base`.
std::string allPieces(ConfigurationSender &sender, std::uint64_t base)
{
    ConfigurationTransfer transfer;
    std::optional<std::string> compressed;
    for (int pieces = 0; pieces < 10 && !compressed; ++pieces) {
        compressed = transfer.take(sender.piece(base, transfer.next()));
    }
    return compressed.value_or("");
}

} // namespace

TEST_GROUP(ConfigurationSender) {};

TEST(ConfigurationSender, whoeverHasAnotherConfigurationGetsAllOfIt)
{
    ConfigurationSender sender;
    sender.replace(configuration(ThreePieces, 'a'), 1);
    sender.replace(configuration(ThreePieces, 'b'), 2);
    const std::string compressed = allPieces(sender, 99);
    CHECK_TRUE(compressed.size() > 2 * ConfigurationPieceSize);
    CHECK_EQUAL(0, sender.piece(99, {}).base);
    CHECK_TRUE(decompress(compressed, "") == configuration(ThreePieces, 'b'));
}

TEST(ConfigurationSender, whoeverHasThePreviousOneGetsWhatDiffers)
{
    const std::string previous = configuration(ThreePieces, 'a');
    const std::uint64_t base = configurationDigest(previous);
    ConfigurationSender sender;
    sender.replace(previous, 1);
    sender.replace(configuration(ThreePieces, 'b'), 2);
    const ConfigurationPiece piece = sender.piece(base, {});
    CHECK_EQUAL(base, piece.base);
    CHECK_EQUAL(2, piece.position.version);
    CHECK_TRUE(piece.size < 1'000);
    CHECK_TRUE(decompress(piece.bytes, previous) == configuration(ThreePieces, 'b'));
}

TEST(ConfigurationSender, twoProcessesGiveTheSamePieces)
{
    ConfigurationSender one;
    one.replace(configuration(ThreePieces, 'a'), 1);
    ConfigurationSender other;
    other.replace(configuration(10, 'c'), 0);
    other.replace(configuration(ThreePieces, 'a'), 1);
    ConfigurationTransfer transfer;
    transfer.take(one.piece(0, transfer.next()));
    transfer.onSourceFailed();
    transfer.take(other.piece(0, transfer.next()));
    const auto compressed = transfer.take(one.piece(0, transfer.next()));
    CHECK_TRUE(compressed.has_value());
    CHECK_TRUE(decompress(*compressed, "") == configuration(ThreePieces, 'a'));
}
