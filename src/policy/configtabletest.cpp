#include "mulberryplank/policy/configtable.h"

#include <map>

#include <rapidcheck.h>

#include "configtestdata.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

TEST_GROUP(ConfigTable)
{
    ConfigTable table;

    EditOutcome apply(const std::string &text)
    {
        return table.apply(table.nextOffset(), text).value();
    }

    void checkStatus(EditStatus expected, const std::string &text)
    {
        const EditOutcome outcome = apply(text);
        STRCMP_EQUAL_TEXT(std::string(toString(expected)).c_str(),
                          std::string(toString(outcome.status)).c_str(),
                          outcome.detail.c_str());
    }

    // Leaves account a, service s, target t and row (a, s) at version 1.
    void fill()
    {
        checkStatus(EditStatus::Accepted,
                    record("fill",
                           { { row("a", "s"), false },
                             { target("t", "s"), false },
                             { service("s"), false },
                             { account("a"), false } }));
    }
};

TEST(ConfigTable, sameTableByAnyRoute)
{
    CHECK_TRUE(rc::check("the log alone, or a snapshot and the rest of the log, give the same bytes", [] {
        const auto log = generateLog();
        const auto middle = *rc::gen::inRange<Offset>(0, log.size() + 1);
        ConfigTable whole;
        applyUpTo(whole, log, middle);
        auto restarted = ConfigTable::fromSnapshot(whole.snapshot());
        RC_ASSERT(restarted.has_value());
        applyUpTo(whole, log, log.size());
        applyUpTo(*restarted, log, log.size());
        RC_ASSERT(restarted->nextOffset() == log.size());
        RC_ASSERT(restarted->snapshot() == whole.snapshot());
        RC_ASSERT(restarted->digest() == whole.digest());
    }));
}

TEST(ConfigTable, editIsAcceptedWholeOrChangesNothing)
{
    CHECK_TRUE(rc::check("versions follow a model that only knows accepted edits", [] {
        const auto log = generateLog();
        ConfigTable fold;
        std::map<std::string, Version> model;
        for (const std::string &text : log) {
            const Offset offset = fold.nextOffset();
            const EditOutcome outcome = fold.apply(offset, text).value();
            const auto edit = decodeEdit(text);
            RC_ASSERT(edit.has_value() == (outcome.status != EditStatus::Unreadable));
            for (const Change &change : edit ? edit->changes : std::vector<Change> {}) {
                Version &version = model[itemLabel(change.item)];
                if (outcome.status == EditStatus::Accepted) {
                    RC_ASSERT(std::visit(
                                  [](const auto &item) {
                                      return item.version;
                                  },
                                  change.item)
                              == version);
                    version = change.remove ? 0 : offset + 1;
                }
                RC_ASSERT(currentVersion(fold, change.item) == version);
            }
        }
        RC_CLASSIFY(model.size() > 3);
    }));
}

TEST(ConfigTable, itemsNeverReferToMissingOnes)
{
    CHECK_TRUE(rc::check("after any edits every reference holds, and lists agree with look-ups", [] {
        const auto log = generateLog();
        ConfigTable fold;
        applyUpTo(fold, log, log.size());
        for (const Row &row : fold.rows()) {
            RC_ASSERT(fold.account(row.account) != nullptr);
            RC_ASSERT(fold.service(row.service) != nullptr);
            RC_ASSERT(fold.row(row.account, row.service) == row);
        }
        for (const Service *service : fold.services()) {
            for (const Target *target : fold.targetsOf(service->name)) {
                RC_ASSERT(target->service == service->name);
                RC_ASSERT(fold.target(target->name) == target);
            }
        }
    }));
}

// Two operators read a row at the same version and both write it.
// If both took effect, the first one's edit would vanish without anybody being told.
TEST(ConfigTable, firstOfTwoRacingEditsWinsAndTheOtherSeesTheCurrentRow)
{
    fill();
    checkStatus(EditStatus::Accepted, record("first", { { row("a", "s", 5, 1), false } }));
    const EditOutcome second = apply(record("second", { { row("a", "s", 9, 1), false } }));
    CHECK_TRUE(second.status == EditStatus::Conflict);
    STRCMP_CONTAINS("\"weight\":5", second.detail.c_str());
    LONGS_EQUAL(5, table.row(AccountName("a"), ServiceName("s"))->weight);
}

// The answer to an append is lost, and the command appends the edit again. Meanwhile another edit followed.
// Applied twice, the old edit would revert the newer one.
TEST(ConfigTable, repeatedEditKeepsItsFirstOutcome)
{
    fill();
    const std::string text = record("once", { { row("a", "s", 5, 1), false } });
    checkStatus(EditStatus::Accepted, text);
    checkStatus(EditStatus::Accepted, record("newer", { { row("a", "s", 6, 2), false } }));
    checkStatus(EditStatus::Repeated, text);
    LONGS_EQUAL(1, table.outcomeOf(EditId("once"))->offset);
    CHECK_TRUE(table.outcomeOf(EditId("once"))->status == EditStatus::Accepted);
    LONGS_EQUAL(6, table.row(AccountName("a"), ServiceName("s"))->weight);
}

// A row is removed and made again while an operator still edits the old one.
// With versions that begin anew, the old base would match by chance and overwrite the new row.
TEST(ConfigTable, baseOfARemovedItemNeverMatchesItsSuccessor)
{
    fill();
    checkStatus(EditStatus::Accepted, record("remove", { { row("a", "s", 1, 1), true } }));
    checkStatus(EditStatus::Accepted, record("again", { { row("a", "s", 2), false } }));
    checkStatus(EditStatus::Conflict, record("old", { { row("a", "s", 3, 1), false } }));
}

TEST(ConfigTable, whatIsReferredToCanNotBeRemoved)
{
    fill();
    checkStatus(EditStatus::Invalid, record("1", { { service("s", 1), true } }));
    checkStatus(EditStatus::Invalid, record("2", { { account("a", 1), true } }));
    checkStatus(EditStatus::Invalid, record("3", { { account("b"), false }, { row("c", "s"), false } }));
    POINTERS_EQUAL(nullptr, table.account(AccountName("b")));
    checkStatus(EditStatus::Accepted,
                record("4",
                       { { service("s", 1), true },
                         { account("a", 1), true },
                         { target("t", "s", 1), true },
                         { row("a", "s", 1, 1), true } }));
}

TEST(ConfigTable, olderRecordAndGapChangeNothing)
{
    fill();
    const std::string before = table.snapshot();
    CHECK_FALSE(table.apply(0, record("late", { { account("late"), false } })).has_value());
    CHECK_FALSE(table.apply(2, record("early", { { account("early"), false } })).has_value());
    STRCMP_EQUAL(before.c_str(), table.snapshot().c_str());
}

TEST(ConfigTable, remembersABoundedNumberOfEdits)
{
    fill();
    for (std::size_t count = 0; count < MaxRememberedEdits; ++count) {
        apply(record("n" + std::to_string(count), { { row("a", "none"), false } }));
    }
    CHECK_FALSE(table.outcomeOf(EditId("fill")).has_value());
    CHECK_TRUE(table.outcomeOf(EditId("n0")).has_value());
}

TEST(ConfigTable, damagedSnapshotIsRefused)
{
    fill();
    const std::string bytes = table.snapshot();
    for (std::size_t size = 0; size < bytes.size() - 1; ++size) {
        CHECK_FALSE(ConfigTable::fromSnapshot(std::string_view(bytes).substr(0, size)).has_value());
    }
    CHECK_FALSE(ConfigTable::fromSnapshot(bytes + "[]\n").has_value());
}
