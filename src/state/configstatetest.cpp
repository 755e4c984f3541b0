#include "mulberryplank/state/configstate.h"

#include <rapidcheck.h>

#include "../policy/configtestdata.h"
#include "mulberryplank/policy/logposition.h"
#include "mulberryplank/policy/snapshotparts.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

namespace
{

// The platform's log: keeps the records from `first` on.
struct FakeLog {
    std::vector<std::string> records;
    Offset first = 0;
    std::vector<std::string> snapshots;

    LogPage page(Offset from, std::size_t most) const
    {
        LogPage result { first, records.size(), {} };
        for (Offset offset = std::max(from, first); offset < records.size() && result.records.size() < most; ++offset) {
            result.records.push_back({ offset, records[offset] });
        }
        return result;
    }

    std::optional<ConfigTable> newestSnapshot() const
    {
        SnapshotAssembler assembler;
        for (const std::string &record : snapshots) {
            assembler.add(record);
        }
        const auto newest = assembler.newest();
        return newest ? std::optional(ConfigTable::fromSnapshot(newest->bytes).value()) : std::nullopt;
    }
};

// What a proxy does with a page of the log, without the waiting.
void readLog(ConfigState &state, const FakeLog &log, std::size_t most)
{
    const auto position = state.position();
    const auto judgement =
        checkLog(position.applied, position.last, log.page(verificationOffset(position.applied), most));
    RC_ASSERT(judgement.finding != LogFinding::RolledBack);
    RC_ASSERT(judgement.finding != LogFinding::Malformed);
    if (judgement.finding == LogFinding::Expired) {
        if (auto table = log.newestSnapshot()) {
            (void)state.load(std::move(*table));
        }
        return;
    }
    ConfigUpdate update { position.applied, position.last, {} };
    for (const LogRecord &record : judgement.update) {
        update.records.push_back(record.data);
    }
    RC_ASSERT(state.learn(update).has_value());
}

std::string digestOf(const ConfigState &state)
{
    std::string digest;
    state.read([&](const ConfigTable &table) {
        digest = table.digest();
    });
    return digest;
}

void publishSnapshot(const ConfigState &state, FakeLog &log)
{
    state.read([&](const ConfigTable &table) {
        for (std::string &part : splitSnapshot(table.nextOffset(), table.snapshot())) {
            log.snapshots.push_back(std::move(part));
        }
    });
}

void checkViews(const ConfigState &state)
{
    state.read([&](const ConfigTable &table) {
        for (const std::string name : { "s0", "s1" }) {
            const auto view = state.service(ServiceName(name));
            const Service *service = table.service(ServiceName(name));
            RC_ASSERT((view != nullptr) == (service != nullptr));
            if (!view) {
                continue;
            }
            RC_ASSERT(view->service == *service);
            RC_ASSERT(view->targets.size() == table.targetsOf(ServiceName(name)).size());
            RC_ASSERT(view->rows.size() == table.rowsOf(ServiceName(name)).size());
            for (const Row &row : table.rowsOf(ServiceName(name))) {
                RC_ASSERT(view->rows.at(row.account).row == row);
                RC_ASSERT(view->rows.at(row.account).secretDigest == table.account(row.account)->secretDigest);
            }
        }
    });
}

} // namespace

TEST_GROUP(ConfigState)
{
    ConfigState m_state;

    static ConfigUpdate newsOf(Offset from, const RecordDigest &before, std::vector<std::string> records)
    {
        return { from, before, std::move(records) };
    }
};

TEST(ConfigState, everyRouteLeadsForwardToTheSameTable)
{
    CHECK_TRUE(rc::check("proxies that read, hear, restart and publish in any order agree, and never go back", [] {
        constexpr std::size_t Proxies = 4;
        constexpr std::size_t TailBytes = 2'000;
        const auto edits = generateLog();
        const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
        const auto steps = *rc::gen::resize(120, rc::gen::container<std::vector<std::uint32_t>>(number));
        FakeLog log;
        std::vector<std::unique_ptr<ConfigState>> proxies;
        while (proxies.size() < Proxies) {
            proxies.push_back(std::make_unique<ConfigState>(TailBytes));
        }
        for (const std::uint32_t step : steps) {
            NumberSource draw(step);
            const std::size_t self = draw.below(Proxies);
            const std::size_t other = draw.below(Proxies);
            const Offset before = proxies[self]->applied();
            switch (draw.below(8)) {
            case 0: // a restart forgets everything
                proxies[self] = std::make_unique<ConfigState>(TailBytes);
                break;
            case 1:
                publishSnapshot(*proxies[self], log);
                break;
            case 2: // records expire up to the newest snapshot
                if (const auto table = log.newestSnapshot()) {
                    log.first = std::max(log.first, draw.below(table->nextOffset() + 1));
                }
                break;
            case 3: // a peer's records, of any age
                if (const auto update = proxies[other]->newsSince(draw.below(log.records.size() + 1))) {
                    (void)proxies[self]->learn(*update);
                }
                break;
            case 4: // a peer's snapshot, of any age
                proxies[other]->read([&](const ConfigTable &table) {
                    if (self != other) {
                        (void)proxies[self]->load(ConfigTable::fromSnapshot(table.snapshot()).value());
                    }
                });
                break;
            case 5:
                readLog(*proxies[self], log, 1 + draw.below(8));
                break;
            default:
                for (std::size_t count = 0; count < 3 && log.records.size() < edits.size(); ++count) {
                    log.records.push_back(edits[log.records.size()]);
                }
            }
            RC_ASSERT(proxies[self]->applied() >= before || proxies[self]->applied() == 0);
            ConfigTable reference;
            applyUpTo(reference, log.records, proxies[self]->applied());
            RC_ASSERT(digestOf(*proxies[self]) == reference.digest());
            checkViews(*proxies[self]);
        }
        // Once the faults are over, every edit in the log is in force everywhere.
        for (const auto &proxy : proxies) {
            for (std::size_t reads = 0; reads < log.records.size() + 2; ++reads) {
                readLog(*proxy, log, 5);
            }
            RC_ASSERT(proxy->applied() == log.records.size());
        }
    }));
}

// The log is made anew, or loses its tail and goes on with other records.
// A reader that follows by offset alone would take up in the middle of a history that it has never seen.
TEST(ConfigState, logThatLostItsTailIsToldAndNotFollowed)
{
    FakeLog log;
    log.records = { record("1", { { account("a"), false } }), record("2", { { account("b"), false } }) };
    CHECK_TRUE(m_state.learn(newsOf(0, {}, log.records)).has_value());
    log.records[1] = record("x", { { account("x"), false } });
    log.records.push_back(record("y", { { account("y"), false } }));
    const auto position = m_state.position();
    const auto replaced = checkLog(position.applied, position.last, log.page(verificationOffset(position.applied), 9));
    CHECK_TRUE(replaced.finding == LogFinding::RolledBack);
    CHECK_TRUE(checkLog(position.applied, position.last, { 0, 1, {} }).finding == LogFinding::RolledBack);
}

// Some peers follow the log made anew, others the old one; the offsets meet.
// Mixed records would give a table that no log ever held.
TEST(ConfigState, peerOfAnotherLogIsNotFollowed)
{
    const std::string first = record("1", { { account("a"), false } });
    const std::string foreign = record("x", { { account("x"), false } });
    CHECK_TRUE(m_state.learn(newsOf(0, {}, { first })).has_value());
    const auto apart = m_state.learn(newsOf(1, digestOfRecord(foreign), { foreign }));
    CHECK_TRUE(apart.error().kind == ErrorKind::Conflict);
    const auto overlapping = m_state.learn(newsOf(0, {}, { foreign, foreign }));
    CHECK_TRUE(overlapping.error().kind == ErrorKind::Conflict);
    const auto gap = m_state.learn(newsOf(2, {}, { foreign }));
    CHECK_TRUE(gap.error().kind == ErrorKind::NotReady);
    LONGS_EQUAL(1, m_state.applied());
    ConfigTable foreignTable;
    CHECK_TRUE(foreignTable.apply(0, foreign).has_value());
    CHECK_TRUE(foreignTable.apply(1, first).has_value());
    CHECK_TRUE(m_state.load(std::move(foreignTable)).error().kind == ErrorKind::Conflict);
}

// A page answers with the records after a hole, for instance when the log's store lost some in the middle.
TEST(ConfigState, pageWithAHoleIsNotApplied)
{
    const auto judgement = checkLog(0, {}, { 0, 3, { { 0, "a" }, { 2, "c" } } });
    CHECK_TRUE(judgement.finding == LogFinding::Malformed);
    CHECK_TRUE(checkLog(0, {}, { 0, 3, { { 1, "b" }, { 2, "c" } } }).finding == LogFinding::Malformed);
}

TEST(ConfigState, viewOutlivesTheEditThatReplacesIt)
{
    CHECK_TRUE(m_state.learn(newsOf(0, {}, { record("1", { { service("s"), false } }) })).has_value());
    const auto before = m_state.service(ServiceName("s"));
    const auto position = m_state.position();
    const std::string edit = record("2", { { target("t", "s"), false } });
    CHECK_TRUE(m_state.learn(newsOf(1, position.last, { edit })).has_value());
    LONGS_EQUAL(0, before->targets.size());
    LONGS_EQUAL(1, m_state.service(ServiceName("s"))->targets.size());
}
