#include "mulberryplank/policy/configurationtransfer.h"

#include <map>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "mulberryplank/policy/compression.h"

using namespace mulberryplank;

namespace
{

std::string bytesOf(std::size_t size, char seed)
{
    std::string bytes(size, seed);
    for (std::size_t i = 0; i < size; ++i) {
        bytes[i] = static_cast<char>(bytes[i] + static_cast<char>(i * 7));
    }
    return bytes;
}

ConfigurationPiece pieceOf(const std::string &bytes, std::uint64_t version, const PiecePosition &from)
{
    return pieceAt(bytes, version, configurationDigest(bytes), from);
}

constexpr std::size_t TwoPieces = ConfigurationPieceSize + 10;

} // namespace

TEST_GROUP(ConfigurationTransfer) {};

TEST(ConfigurationTransfer, piecesBecomeTheConfiguration)
{
    const std::string bytes = bytesOf(TwoPieces, 'a');
    ConfigurationTransfer transfer;
    CHECK_FALSE(transfer.take(pieceOf(bytes, 3, transfer.next())).has_value());
    CHECK_EQUAL(ConfigurationPieceSize, transfer.next().begin);
    CHECK_TRUE(transfer.take(pieceOf(bytes, 3, transfer.next())) == bytes);
    CHECK_EQUAL(0, transfer.next().version);
}

// Failure: a large configuration never arrives over a narrow link.
TEST(ConfigurationTransfer, goesOnFromWhatHasArrivedAfterAFailure)
{
    const std::string bytes = bytesOf(TwoPieces, 'a');
    ConfigurationTransfer transfer;
    transfer.take(pieceOf(bytes, 3, transfer.next()));
    transfer.onSourceFailed();
    CHECK_EQUAL(ConfigurationPieceSize, transfer.next().begin);
    CHECK_TRUE(transfer.take(pieceOf(bytes, 3, transfer.next())) == bytes);
}

TEST(ConfigurationTransfer, newerConfigurationTakesThePlaceOfTheOneUnderWay)
{
    const std::string older = bytesOf(TwoPieces, 'a');
    const std::string newer = bytesOf(10, 'b');
    ConfigurationTransfer transfer;
    transfer.take(pieceOf(older, 3, transfer.next()));
    CHECK_TRUE(transfer.take(pieceOf(newer, 4, transfer.next())) == newer);
}

TEST(ConfigurationTransfer, olderConfigurationIsTakenOnlyAfterAFailure)
{
    const std::string newer = bytesOf(TwoPieces, 'a');
    const std::string older = bytesOf(10, 'b');
    ConfigurationTransfer transfer;
    transfer.take(pieceOf(newer, 4, transfer.next()));
    CHECK_FALSE(transfer.take(pieceOf(older, 3, transfer.next())).has_value());
    CHECK_EQUAL(4, transfer.next().version);
    transfer.onSourceFailed();
    CHECK_TRUE(transfer.take(pieceOf(older, 3, transfer.next())) == older);
}

TEST(ConfigurationTransfer, piecesThatCannotBeRightAreDropped)
{
    const std::string bytes = bytesOf(TwoPieces, 'a');
    ConfigurationTransfer transfer;
    ConfigurationPiece tooLong = pieceOf(bytes, 3, transfer.next());
    tooLong.size = tooLong.bytes.size() - 1;
    CHECK_FALSE(transfer.take(tooLong).has_value());
    ConfigurationPiece tooLarge = pieceOf(bytes, 3, transfer.next());
    tooLarge.size = MaxDecompressedSize + 1;
    CHECK_FALSE(transfer.take(tooLarge).has_value());
    ConfigurationPiece beyond = pieceOf(bytes, 3, transfer.next());
    beyond.position.begin = beyond.size + 1;
    CHECK_FALSE(transfer.take(beyond).has_value());
    CHECK_EQUAL(0, transfer.next().version);
}

TEST(ConfigurationTransfer, bytesThatDoNotMatchTheirDigestAreDropped)
{
    const std::string bytes = bytesOf(10, 'a');
    ConfigurationTransfer transfer;
    ConfigurationPiece damaged = pieceOf(bytes, 3, transfer.next());
    damaged.bytes.front() = '-';
    CHECK_FALSE(transfer.take(damaged).has_value());
    CHECK_TRUE(transfer.take(pieceOf(bytes, 3, transfer.next())) == bytes);
}

// Answers come from processes that have different versions, some fail, some come twice or late.
TEST(ConfigurationTransfer, whatArrivesIsWholeAndArrivesInTheEnd)
{
    CHECK_TRUE(rc::check("a configuration is whole, and arrives once a source keeps answering", [] {
        const std::map<std::uint64_t, std::string> versions {
            { 1, bytesOf(TwoPieces, 'a') },
            { 2, bytesOf(ConfigurationPieceSize, 'b') },
            { 3, bytesOf(2 * TwoPieces, 'c') },
        };
        ConfigurationTransfer transfer;
        std::vector<ConfigurationPiece> late;
        const auto take = [&](const ConfigurationPiece &piece) {
            const std::uint64_t version = piece.position.version;
            const std::optional<std::string> whole = transfer.take(piece);
            RC_ASSERT(!whole || *whole == versions.at(version));
            return whole.has_value();
        };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        for (const int step : steps) {
            const std::uint64_t version = static_cast<std::uint64_t>(step % 3) + 1;
            if (step == 5) {
                transfer.onSourceFailed();
            } else if (step == 4 && !late.empty()) {
                take(late.back());
            } else {
                late.push_back(pieceOf(versions.at(version), version, transfer.next()));
                take(late.back());
            }
        }
        bool arrived = false;
        for (int responses = 0; responses < 6 && !arrived; ++responses) {
            arrived = take(pieceOf(versions.at(3), 3, transfer.next()));
        }
        RC_ASSERT(arrived);
    }));
}
