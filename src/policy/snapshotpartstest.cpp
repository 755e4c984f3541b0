#include "mulberryplank/policy/snapshotparts.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "configtestdata.h"

using namespace mulberryplank;
using namespace mulberryplank::testdata;

TEST_GROUP(SnapshotPieces) {};

// Failure: a proxy that starts from a snapshot lacks items, or refuses a good one.
TEST(SnapshotPieces, tableIsTheSameWhereverItsSnapshotIsCut)
{
    CHECK_TRUE(rc::check("pieces make the table that the whole makes, and a part of them none", [] {
        ConfigTable table;
        const auto log = generateLog();
        applyUpTo(table, log, log.size());
        const std::string bytes = table.snapshot();
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at < bytes.size();) {
            const auto size = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, 200));
            pieces.push_back(bytes.substr(at, size));
            at += size;
        }
        const auto loaded = ConfigTable::fromSnapshot(pieces);
        RC_ASSERT(loaded.has_value());
        RC_ASSERT(loaded->snapshot() == bytes);
        pieces.push_back("[\"e\"]\n");
        RC_ASSERT(!ConfigTable::fromSnapshot(pieces).has_value());
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() - 1);
        RC_ASSERT(!ConfigTable::fromSnapshot(std::string_view(bytes).substr(0, cut)).has_value());
    }));
}

TEST(SnapshotPieces, partsMadeOneByOneAreThoseMadeAtOnceAlsoWhenTheTableMovesOn)
{
    constexpr int Accounts = 9'000; // some parts' worth
    ConfigTable table;
    std::vector<Change> changes;
    for (int number = 0; number < Accounts; ++number) {
        changes.push_back({ account("account-" + std::to_string(number)), false });
    }
    CHECK_TRUE(table.apply(0, record("1", changes))->status == EditStatus::Accepted);
    const std::string bytes = table.snapshot();
    const auto atOnce = splitSnapshot(1, bytes);
    CHECK_TRUE(atOnce.size() > 1);
    SnapshotParts parts(table);
    CHECK_TRUE(table.apply(1, record("2", { { account("later"), false } }))->status == EditStatus::Accepted);
    LONGS_EQUAL(atOnce.size(), parts.count());
    SnapshotAssembler assembler;
    for (const std::string &expected : atOnce) {
        const std::string part = parts.takeNext();
        CHECK_TRUE(part == expected);
        assembler.add(part);
    }
    LONGS_EQUAL(atOnce.size(), parts.taken());
    LONGS_EQUAL(1, parts.next());
    CHECK_TRUE(ConfigTable::fromSnapshot(*assembler.takeNewest())->snapshot() == bytes);
    CHECK_FALSE(assembler.takeNewest().has_value());
}
