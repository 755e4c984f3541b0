// A keyed store in memory, for tests. Must be used on the one thread that runs the io_context.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/keyedstore.h"

namespace mulberryplank
{

class FakeKeyedStore
{
public:
    explicit FakeKeyedStore(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    KeyedStore access()
    {
        KeyedStore store;
        store.read = [this](KeyedTopic topic, StorePosition from, Millis wait) {
            return read(topic, from, wait);
        };
        store.newest = [this](KeyedTopic topic) {
            return newest(topic);
        };
        store.append =
            [this](KeyedTopic topic, std::vector<KeyedRecord> records, std::optional<StorePosition> expectedEnd) {
                return append(topic, std::move(records), expectedEnd);
            };
        return store;
    }

    // Appends a record as operators and targets do, and wakes waiting reads.
    void put(KeyedTopic topic, const std::string &key, std::optional<std::string> value)
    {
        m_topics[topic].push_back({ key, std::move(value) });
        wake();
    }

    // Drops all but the newest record of each key.
    void dropHistory(KeyedTopic topic)
    {
        m_first[topic] = m_topics[topic].size();
    }

    using Copy = std::map<KeyedTopic, std::size_t>; // the number of records of each topic

    Copy copy() const
    {
        Copy ends;
        for (const auto &[topic, records] : m_topics) {
            ends[topic] = records.size();
        }
        return ends;
    }

    // Comes back from an older copy of itself, in a new era.
    void returnFrom(const Copy &older)
    {
        for (auto &[topic, records] : m_topics) {
            const auto end = older.find(topic);
            records.resize(end == older.end() ? 0 : end->second);
        }
        ++m_era;
        wake();
    }

    // Comes back from a copy that lacks the last `count` records of a topic.
    void loseLast(KeyedTopic topic, std::size_t count)
    {
        Copy older = copy();
        older[topic] -= count;
        returnFrom(older);
    }

    // Ends the waiting reads.
    void wake()
    {
        for (Timer *waiting : m_waiting) {
            waiting->cancel();
        }
    }

    bool inOutage = false; // every call fails
    bool newestIsSlow = false; // newest() responds only after wake()
    int failuresLeft = 0; // how many calls fail
    int lostAppends = 0; // how many appends take effect without a response
    std::map<std::string, int> calls; // number of calls by name and topic, such as "read targets"

private:
    template<typename T>
    using Response = boost::asio::awaitable<Result<T>>;

    bool fails(const std::string &name, KeyedTopic topic)
    {
        ++calls[name + " " + std::string(toString(topic))];
        if (failuresLeft > 0) {
            --failuresLeft;
            return true;
        }
        return inOutage;
    }

    static tl::unexpected<Error> unavailable()
    {
        return failure(ErrorKind::PlatformUnavailable, "outage");
    }

    boost::asio::awaitable<void> waitForWake(Instant limit)
    {
        Timer ended(m_context, limit);
        m_waiting.insert(&ended);
        boost::system::error_code ignored;
        co_await ended.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        m_waiting.erase(&ended);
    }

    Response<KeyedPage> read(KeyedTopic topic, StorePosition from, Millis wait)
    {
        if (fails("read", topic)) {
            co_return unavailable();
        }
        if (from.offset >= m_topics[topic].size() && wait.count() > 0) {
            co_await waitForWake(Clock::now() + wait);
        }
        if (inOutage) {
            co_return unavailable();
        }
        KeyedPage page;
        page.historyExpired = from.offset < m_first[topic] || from.offset > m_topics[topic].size();
        page.next = { m_era, page.historyExpired ? 0 : from.offset };
        const std::vector<KeyedRecord> &records = m_topics[topic];
        for (Offset offset = from.offset; !page.historyExpired && offset < records.size(); ++offset) {
            page.records.push_back(records[offset]);
            ++page.next.offset;
        }
        co_return continuedFrom(from, std::move(page));
    }

    Response<KeyedSnapshot> newest(KeyedTopic topic)
    {
        if (fails("newest", topic)) {
            co_return unavailable();
        }
        if (newestIsSlow) {
            co_await waitForWake(Instant::max());
        }
        std::map<std::string, KeyedRecord> byKey;
        for (const KeyedRecord &record : m_topics[topic]) {
            byKey[record.key] = record;
        }
        KeyedSnapshot snapshot;
        snapshot.next = { m_era, m_topics[topic].size() };
        for (const auto &[key, record] : byKey) {
            if (record.value) {
                snapshot.records.push_back(record);
            }
        }
        co_return snapshot;
    }

    Response<void> append(KeyedTopic topic, std::vector<KeyedRecord> records, std::optional<StorePosition> expectedEnd)
    {
        if (fails("append", topic)) {
            co_return unavailable();
        }
        if (expectedEnd && *expectedEnd != StorePosition { m_era, m_topics[topic].size() }) {
            co_return failure(ErrorKind::Conflict, "another append came first");
        }
        for (const KeyedRecord &record : records) {
            put(topic, record.key, record.value);
        }
        if (lostAppends > 0) {
            --lostAppends;
            co_return unavailable();
        }
        co_return Result<void> {};
    }

    boost::asio::io_context &m_context;
    std::set<Timer *> m_waiting; // of the waiting reads
    std::map<KeyedTopic, std::vector<KeyedRecord>> m_topics;
    std::map<KeyedTopic, Offset> m_first;
    StoreEra m_era = 1;
};

} // namespace mulberryplank
