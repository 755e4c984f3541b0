#include "logservice.h"

#include <algorithm>
#include <stdexcept>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "jsonobjectreader.h"

namespace standin
{

namespace
{

constexpr std::string_view StreamsPrefix = "/streams/";
constexpr std::string_view RecordsSuffix = "/records";
constexpr std::uint64_t DefaultPageRecords = 1'000;
constexpr std::uint64_t MaxPageRecords = 100'000;
constexpr std::uint64_t MaxWaitMillis = 60'000;

std::string streamName(std::string_view path)
{
    if (!path.starts_with(StreamsPrefix) || !path.ends_with(RecordsSuffix)) {
        return {};
    }
    path.remove_prefix(StreamsPrefix.size());
    if (path.size() <= RecordsSuffix.size()) {
        return {};
    }
    path.remove_suffix(RecordsSuffix.size());
    return std::string(path);
}

Response offsetResponse(std::uint64_t offset)
{
    return jsonResponse(http::status::ok, boost::json::object { { "offset", offset } });
}

Response pageResponse(const LogPage &page)
{
    boost::json::array records;
    records.reserve(page.records.size());
    for (const LogRecord &record : page.records) {
        records.push_back(boost::json::object { { "offset", record.offset }, { "data", record.data } });
    }
    return jsonResponse(
        http::status::ok,
        boost::json::object { { "first", page.first }, { "next", page.next }, { "records", std::move(records) } });
}

} // namespace

LogService::LogService(asio::io_context &context, LogServiceSettings settings, Clock clock)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_store(m_settings.retention)
    , m_tokens(m_settings.appendsPerSecond)
    , m_tokensUpdatedAt(m_clock())
    , m_server(context, m_settings.address, m_settings.port, [this](Connection &connection) {
        return handle(connection);
    })
{
}

std::uint16_t LogService::port() const
{
    return m_server.port();
}

std::size_t LogService::waitingReaders() const
{
    return m_waitingReads.size();
}

void LogService::stop()
{
    m_server.stop();
    wakeReaders();
}

asio::awaitable<ConnectionAction> LogService::handle(Connection &connection)
{
    const Request &request = connection.request();
    const std::string_view path = requestPath(request.target());
    if (path == "/-/faults") {
        co_return co_await faults(connection);
    }
    if (!co_await connection.sleep(m_faults.delay)) {
        co_return ConnectionAction::Close;
    }
    if (m_faults.outage) {
        co_return co_await unavailable(connection);
    }
    const std::string stream = streamName(path);
    if (stream.empty()) {
        co_await connection.send(errorResponse(http::status::not_found, "no such path"));
        co_return ConnectionAction::KeepOpen;
    }
    if (request.method() == http::verb::post) {
        co_return co_await append(connection, stream);
    }
    co_return co_await read(connection, stream);
}

asio::awaitable<ConnectionAction> LogService::append(Connection &connection, const std::string &stream)
{
    if (!admitAppend()) {
        co_return co_await unavailable(connection);
    }
    std::string data = connection.request().body();
    if (std::exchange(m_faults.corruptNext, false)) {
        data.resize(data.size() / 2);
    }
    const std::uint64_t offset = m_store.append(stream, std::move(data), m_clock());
    wakeReaders();
    if (m_faults.loseResponses) {
        co_return ConnectionAction::Close;
    }
    co_await connection.send(offsetResponse(offset));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> LogService::read(Connection &connection, const std::string &stream)
{
    const std::string target(connection.request().target());
    const std::uint64_t from = queryNumber(target, "from", 0);
    const std::uint64_t max = std::min(queryNumber(target, "max", DefaultPageRecords), MaxPageRecords);
    const std::uint64_t wait = std::min(queryNumber(target, "wait_ms", 0), MaxWaitMillis);
    const Instant deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    LogPage page = m_store.read(stream, from, max, m_clock());
    while (page.records.empty() && from >= page.next && std::chrono::steady_clock::now() < deadline) {
        if (!co_await waitForRecord(connection, deadline)) {
            co_return ConnectionAction::Close;
        }
        if (m_faults.outage) {
            co_return co_await unavailable(connection);
        }
        page = m_store.read(stream, from, max, m_clock());
        if (page.next < from) {
            // The log went back to an offset before the reader's. Respond at once instead of at the end of the wait.
            break;
        }
    }
    co_await connection.send(pageResponse(page));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<bool> LogService::waitForRecord(Connection &connection, Instant deadline)
{
    asio::steady_timer timer(m_context, deadline);
    m_waitingReads.push_back(&timer);
    const bool open = co_await connection.waitFor(timer);
    std::erase(m_waitingReads, &timer);
    co_return open;
}

asio::awaitable<ConnectionAction> LogService::unavailable(Connection &connection)
{
    co_await connection.send(errorResponse(http::status::service_unavailable, "unavailable"));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> LogService::faults(Connection &connection)
{
    co_await connection.send(handleFaults(connection.request()));
    co_return ConnectionAction::KeepOpen;
}

Response LogService::handleFaults(const Request &request)
{
    try {
        if (request.method() == http::verb::post) {
            updateFaults(request.body());
        }
    } catch (const std::invalid_argument &refusal) {
        return errorResponse(http::status::bad_request, refusal.what());
    }
    return jsonResponse(http::status::ok,
                        boost::json::object { { "outage", m_faults.outage },
                                              { "slow_ms", m_faults.delay.count() },
                                              { "lose_answers", m_faults.loseResponses },
                                              { "corrupt_next", m_faults.corruptNext } });
}

void LogService::updateFaults(const std::string &body)
{
    JsonObjectReader reader(body);
    LogFaults faults = m_faults;
    bool recreate = false;
    reader.extract("outage", faults.outage);
    reader.extract("lose_answers", faults.loseResponses);
    reader.extract("corrupt_next", faults.corruptNext);
    reader.extract("recreate", recreate);
    if (const auto delay = reader.extractNumber("slow_ms")) {
        faults.delay = std::chrono::milliseconds(static_cast<std::int64_t>(*delay));
    }
    const auto lostRecords = reader.extractNumber("lose_tail");
    reader.rejectUnknown();
    m_faults = faults;
    m_store.loseTail(static_cast<std::size_t>(lostRecords.value_or(0)));
    if (recreate) {
        m_store.recreate();
    }
    wakeReaders();
}

bool LogService::admitAppend()
{
    if (m_settings.appendsPerSecond <= 0) {
        return true;
    }
    const Instant now = m_clock();
    const double passed = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_tokensUpdatedAt = now;
    m_tokens = std::min(m_settings.appendsPerSecond, m_tokens + passed * m_settings.appendsPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LogService::wakeReaders()
{
    for (asio::steady_timer *timer : m_waitingReads) {
        timer->cancel();
    }
}

} // namespace standin
