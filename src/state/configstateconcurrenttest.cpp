#include "mulberryplank/state/configstate.h"

#include <atomic>
#include <thread>

#include "../policy/configtestdata.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

namespace
{

constexpr int Edits = 400;
constexpr int Readers = 4;
constexpr int SnapshotInterval = 50; // edits

// Returns edit `number`, which sets the service and its target in one record, so that both name the same edit.
std::string makeEdit(int number)
{
    const Version base = static_cast<Version>(number);
    Service changed = service("s", base);
    changed.floorCount = static_cast<std::uint32_t>(number + 1);
    Target moved = target("t", "s", base);
    moved.port = static_cast<std::uint16_t>(number + 1);
    return record("e" + std::to_string(number), { { changed, false }, { moved, false } });
}

// Reads the state and counts inconsistencies. CppUTest's checks may only be used on the main thread.
class Reader
{
public:
    explicit Reader(const ConfigState &state)
        : m_state(state)
    {
    }

    void readOnce()
    {
        const ConfigState::Position before = m_state.position();
        const ServiceViewPtr view = m_state.service(ServiceName("s"));
        const Offset number = view ? view->service.floorCount : 0;
        m_errors += number < before.applied ? 1 : 0; // the view is older than an edit in force
        m_errors += number < m_newest ? 1 : 0; // the view is older than the previous one
        m_errors += view && (view->targets.size() != 1 || view->targets.front().port != number) ? 1 : 0;
        m_newest = number;
        const auto update = m_state.updateSince(before.applied > 2 ? before.applied - 2 : 0);
        m_errors += update && before.applied > 0 && update->records.empty() ? 1 : 0;
        const auto changedServices = m_state.servicesChangedSince(before.applied);
        m_errors += changedServices && changedServices->size() > 1 ? 1 : 0;
        m_errors += m_state.viewCount() > 1 ? 1 : 0;
        m_state.read([this](const ConfigTable &table) {
            const Service *service = table.service(ServiceName("s"));
            const Target *target = table.target(TargetName("t"));
            m_errors += service && (!target || target->port != service->floorCount) ? 1 : 0;
        });
    }

    Offset newest() const
    {
        return m_newest;
    }

    int errors() const
    {
        return m_errors;
    }

private:
    const ConfigState &m_state;
    Offset m_newest = 0;
    int m_errors = 0;
};

} // namespace

TEST_GROUP(ConfigStateConcurrent) {};

// Guards against handling a request with a partially applied edit, or with an older edit than an earlier request.
TEST(ConfigStateConcurrent, readersSeeAtomicEditsInOrder)
{
    ConfigState state;
    std::vector<std::string> log;
    for (int number = 0; number < Edits; ++number) {
        log.push_back(makeEdit(number));
    }
    std::atomic<bool> finished { false };
    std::vector<Reader> readers(Readers, Reader(state));
    std::vector<std::thread> threads;
    for (Reader &reader : readers) {
        threads.emplace_back([&reader, &finished] {
            while (!finished) {
                reader.readOnce();
            }
            reader.readOnce();
        });
    }
    ConfigTable reference;
    std::size_t refused = 0;
    for (int number = 0; number < Edits; ++number) {
        const Offset offset = static_cast<Offset>(number);
        refused += reference.apply(offset, log[offset])->status == EditStatus::Accepted ? 0 : 1;
        if (number % SnapshotInterval == SnapshotInterval - 1) {
            refused += state.load(ConfigTable::fromSnapshot(reference.snapshot()).value()) ? 0 : 1;
        } else {
            refused += state.applyUpdate({ offset, state.position().last, { log[offset] } }) ? 0 : 1;
        }
        state.releaseView(ServiceName("s"));
    }
    finished = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    LONGS_EQUAL(0, refused);
    for (const Reader &reader : readers) {
        LONGS_EQUAL(0, reader.errors());
        LONGS_EQUAL(Edits, reader.newest());
    }
}
