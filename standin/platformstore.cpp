#include "platformstore.h"

#include <algorithm>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <openssl/evp.h>

namespace standin
{

namespace
{

constexpr std::string_view AppendPath = "/mulberryplank/log-append";
constexpr std::string_view ReadPath = "/mulberryplank/log-read";
constexpr const char *EraHeader = "Store-Era";
constexpr std::string_view NewestPath = "/mulberryplank/log-newest";
constexpr std::uint64_t MaxWaitMillis = 30'000;
constexpr std::uint64_t NoCondition = ~std::uint64_t { 0 };
constexpr std::size_t LengthSize = 4;

std::string queryText(std::string_view target, const std::string &key)
{
    const std::size_t at = target.find(key + "=");
    if (at == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = target.substr(at + key.size() + 1);
    return std::string(rest.substr(0, rest.find('&')));
}

template<typename Number>
std::string bigEndian(Number number)
{
    std::string bytes(sizeof number, '\0');
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::big>(
        reinterpret_cast<unsigned char *>(bytes.data()), number);
    return bytes;
}

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

Response bytesResponse(std::string body)
{
    Response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = std::move(body);
    return response;
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &context, const std::string &address, std::uint16_t port)
    : m_context(context)
    , m_server(context, address, port, [this](Connection &connection) {
        return handle(connection);
    })
{
}

std::uint16_t PlatformStore::port() const
{
    return m_server.port();
}

void PlatformStore::stop()
{
    m_server.stop();
    wakeReaders();
}

std::uint64_t PlatformStore::requestCount() const
{
    return m_requestCount;
}

void PlatformStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].records.push_back({ key, value });
    wakeReaders();
}

void PlatformStore::dropHistory(const std::string &topic)
{
    m_topics[topic].first = m_topics[topic].records.size();
}

void PlatformStore::loseLast(const std::string &topic, std::size_t count)
{
    std::vector<Record> &records = m_topics[topic].records;
    records.resize(records.size() - std::min(count, records.size()));
    ++m_era;
    wakeReaders();
}

std::uint64_t PlatformStore::era() const
{
    return m_era;
}

void PlatformStore::wakeReaders()
{
    for (asio::steady_timer *timer : m_waitingReads) {
        timer->cancel();
    }
}

asio::awaitable<ConnectionAction> PlatformStore::handle(Connection &connection)
{
    ++m_requestCount;
    const std::string target(connection.request().target());
    const std::string_view path = requestPath(target);
    if (faults.unresponsive) {
        co_await connection.waitUntilClosed();
        co_return ConnectionAction::Close;
    }
    if (faults.refuse) {
        Response refusal = errorResponse(http::status::service_unavailable, "refused");
        refusal.set(EraHeader, std::to_string(m_era));
        co_await connection.send(std::move(refusal));
        co_return ConnectionAction::KeepOpen;
    }
    Topic &topic = m_topics[queryText(target, "topic")];
    Response response = errorResponse(http::status::not_found, "no such path");
    if (path == AppendPath) {
        response = append(connection.request(), topic);
    } else if (path == ReadPath) {
        response = co_await read(connection, topic);
    } else if (path == NewestPath) {
        response = newest(topic);
    }
    if (path == AppendPath && faults.loseAppendResponses) {
        co_return ConnectionAction::Reset;
    }
    response.set(EraHeader, std::to_string(m_era));
    co_await connection.sleep(faults.delay);
    if (faults.chunkSize > 0) {
        co_return co_await sendInChunks(connection, std::move(response));
    }
    co_await connection.send(std::move(response));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> PlatformStore::sendInChunks(Connection &connection, Response response) const
{
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    const std::string bytes = text.str();
    for (std::size_t begin = 0; begin < bytes.size(); begin += faults.chunkSize) {
        const std::size_t size = std::min(faults.chunkSize, bytes.size() - begin);
        if (!co_await connection.sleep(faults.chunkDelay)
            || !co_await connection.sendRaw(asio::buffer(bytes.data() + begin, size))) {
            co_return ConnectionAction::Close;
        }
    }
    co_return ConnectionAction::KeepOpen;
}

Response PlatformStore::append(const Request &request, Topic &topic)
{
    const std::uint64_t at = queryNumber(request.target(), "at", NoCondition);
    const std::uint64_t end = topic.records.size();
    if (at != NoCondition && at != end) {
        return jsonResponse(http::status::precondition_failed, boost::json::object { { "end-offset", end } });
    }
    std::vector<Record> records;
    std::string_view body = request.body();
    while (!body.empty()) {
        if (body.size() <= LengthSize) {
            return errorResponse(http::status::bad_request, "a record cut short");
        }
        const auto length = boost::endian::endian_load<std::uint32_t, LengthSize, boost::endian::order::big>(
            reinterpret_cast<const unsigned char *>(body.data()));
        const std::string_view content = body.substr(LengthSize, length);
        const std::size_t keyLength = content.empty() ? 0 : static_cast<unsigned char>(content.front());
        if (length == 0 || content.size() != length || content.size() < 1 + keyLength) {
            return errorResponse(http::status::bad_request, "a record cut short");
        }
        records.push_back({ std::string(content.substr(1, keyLength)), std::string(content.substr(1 + keyLength)) });
        body.remove_prefix(LengthSize + length);
    }
    topic.records.insert(topic.records.end(), records.begin(), records.end());
    wakeReaders();
    return jsonResponse(http::status::ok,
                        boost::json::object { { "offset", end }, { "end-offset", topic.records.size() } });
}

asio::awaitable<Response> PlatformStore::read(Connection &connection, Topic &topic)
{
    const std::string target(connection.request().target());
    const std::uint64_t from = queryNumber(target, "from", 0);
    const std::uint64_t wait = std::min(queryNumber(target, "wait-ms", 0), MaxWaitMillis);
    if (from >= topic.records.size() && wait > 0) {
        asio::steady_timer timer(m_context, std::chrono::milliseconds(wait));
        m_waitingReads.push_back(&timer);
        co_await connection.waitFor(timer);
        std::erase(m_waitingReads, &timer);
    }
    co_return page(topic, from);
}

Response PlatformStore::page(const Topic &topic, std::uint64_t from)
{
    if (from < topic.first || from > topic.records.size()) {
        return jsonResponse(http::status::gone, boost::json::object { { "first-offset", topic.first } });
    }
    std::string body = bigEndian<std::uint64_t>(topic.records.size()) + bigEndian<std::uint64_t>(topic.first);
    for (std::uint64_t offset = from; offset < topic.records.size(); ++offset) {
        const Record &record = topic.records[offset];
        const std::string content = static_cast<char>(record.key.size()) + record.key + record.value;
        body += bigEndian(static_cast<std::uint32_t>(content.size())) + content;
    }
    return bytesResponse(std::move(body));
}

Response PlatformStore::newest(const Topic &topic) const
{
    const std::uint64_t end = topic.records.size() - std::min<std::uint64_t>(faults.staleBy, topic.records.size());
    std::map<std::string, std::uint64_t> offsets;
    for (std::uint64_t offset = 0; offset < end; ++offset) {
        offsets[topic.records[offset].key] = offset;
    }
    boost::json::array items;
    for (const auto &[key, offset] : offsets) {
        const std::string &value = topic.records[offset].value;
        if (!value.empty()) {
            items.push_back({ { "key", key }, { "value", base64(value) }, { "offset", offset } });
        }
    }
    return jsonResponse(http::status::ok,
                        { { "items", std::move(items) }, { "has-more", false }, { "end-offset", end } });
}

} // namespace standin
