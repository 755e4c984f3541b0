#include "mulberryplank/net/logclient.h"

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/idlesocket.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace mulberryplank
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace internal
{

constexpr std::size_t MaxIdle = 4;
constexpr std::uint64_t MaxResponseSize = 128ULL * 1'024 * 1'024;

// The platform may close an idle connection at any time. One that was used recently is likely still open.
constexpr Duration MaxIdleTime = Seconds(5);

constexpr unsigned StatusOk = 200;

tl::unexpected<Error> unavailable(const std::string &what)
{
    return failure(ErrorKind::PlatformUnavailable, "log: " + what);
}

Result<json::value> parseResponse(const std::string &body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return unavailable("the response isn't JSON");
    }
    return value;
}

LogPage pageFromJson(const json::value &value)
{
    LogPage page;
    page.first = value.at("first").to_number<Offset>();
    page.next = value.at("next").to_number<Offset>();
    for (const json::value &entry : value.at("records").as_array()) {
        const json::string &data = entry.at("data").as_string();
        page.records.push_back({ entry.at("offset").to_number<Offset>(), std::string(data.data(), data.size()) });
    }
    return page;
}

// Returns the response as decoded by `read`, or PlatformUnavailable when a field is missing or of another type.
template<typename T>
Result<T> decodeResponse(const std::string &body, T (*read)(const json::value &))
{
    const auto value = parseResponse(body);
    if (!value) {
        return tl::make_unexpected(value.error());
    }
    try {
        return read(*value);
    } catch (const std::exception &error) {
        return unavailable(std::string("the response lacks an expected field: ") + error.what());
    }
}

Offset offsetFromJson(const json::value &value)
{
    return value.at("offset").to_number<Offset>();
}

} // namespace internal

struct LogClient::Connection {
    explicit Connection(asio::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Instant lastUsed {};
    bool reusable = false;
};

struct LogClient::Request {
    http::verb method = http::verb::get;
    std::string path;
    std::string body;
};

LogClient::LogClient(asio::io_context &context, Endpoint service, Duration timeout)
    : m_context(context)
    , m_service(std::move(service))
    , m_timeout(timeout)
{
}

LogClient::~LogClient() = default;

asio::awaitable<Result<LogPage>> LogClient::read(std::string stream, Offset from, std::size_t maxRecords, Millis wait)
{
    Request request;
    request.path = "/streams/" + stream + "/records?from=" + std::to_string(from) + "&max=" + std::to_string(maxRecords)
                   + "&wait_ms=" + std::to_string(wait.count());
    const auto body = co_await exchange(std::move(request), m_timeout + wait);
    if (!body) {
        co_return tl::make_unexpected(body.error());
    }
    co_return internal::decodeResponse(*body, internal::pageFromJson);
}

asio::awaitable<Result<Offset>> LogClient::append(std::string stream, std::string record)
{
    Request request { http::verb::post, "/streams/" + stream + "/records", std::move(record) };
    const auto body = co_await exchange(std::move(request), m_timeout);
    if (!body) {
        co_return tl::make_unexpected(body.error());
    }
    co_return internal::decodeResponse(*body, internal::offsetFromJson);
}

std::unique_ptr<LogClient::Connection> LogClient::popIdle()
{
    const Instant now = Clock::now();
    while (!m_idle.empty()) {
        std::unique_ptr<Connection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        const bool isRecent = now - connection->lastUsed < internal::MaxIdleTime;
        if (isRecent && !hasUnexpectedInput(connection->stream.socket().native_handle())) {
            return connection;
        }
    }
    return nullptr;
}

// Sends the request over an idle connection or a new one. Nothing is sent twice: only the caller knows whether
// repeating a lost append is idempotent.
asio::awaitable<Result<std::string>> LogClient::exchange(Request request, Duration limit)
{
    std::unique_ptr<Connection> connection = popIdle();
    if (!connection) {
        connection = std::make_unique<Connection>(m_context);
        boost::system::error_code error;
        const auto address = asio::ip::make_address(m_service.host, error);
        if (error) {
            co_return internal::unavailable("not an IP address: " + m_service.host);
        }
        connection->stream.expires_after(m_timeout);
        co_await connection->stream.async_connect(asio::ip::tcp::endpoint(address, m_service.port),
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return internal::unavailable("connect to " + toString(m_service) + ": " + error.message());
        }
    }
    connection->stream.expires_after(limit);
    auto response = co_await exchangeOn(*connection, request);
    connection->stream.expires_never();
    if (connection->reusable && m_idle.size() < internal::MaxIdle) {
        connection->lastUsed = Clock::now();
        m_idle.push_back(std::move(connection));
    }
    co_return response;
}

asio::awaitable<Result<std::string>> LogClient::exchangeOn(Connection &connection, const Request &request)
{
    connection.reusable = false;
    boost::system::error_code error;
    http::request<http::string_body> message(request.method, request.path, 11, request.body);
    message.set(http::field::host, toString(m_service));
    message.prepare_payload();
    co_await http::async_write(connection.stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return internal::unavailable("send: " + error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(internal::MaxResponseSize);
    co_await http::async_read(
        connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return internal::unavailable("no response: " + error.message());
    }
    connection.reusable = parser.keep_alive() && connection.buffer.size() == 0;
    if (parser.get().result_int() != internal::StatusOk) {
        co_return internal::unavailable("status " + std::to_string(parser.get().result_int()));
    }
    co_return std::move(parser.get().body());
}

} // namespace mulberryplank
