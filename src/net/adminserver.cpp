#include "mulberryplank/net/adminserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/crypto.h>

#include <charconv>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/socketoptions.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

constexpr std::size_t MaxConnections = 512;
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t MaxBodyBytesWithoutKey = 16ULL * 1024;
constexpr std::chrono::seconds ConnectionTimeout { 60 };

// Compares in a time that doesn't depend on where the texts differ.
bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace internal

AdminResponse adminErrorResponse(const Error &error)
{
    const ErrorInfo &row = errorInfo(error.kind);
    boost::json::object body;
    body["error"] = boost::json::string_view(row.name.data(), row.name.size());
    body["detail"] = error.detail;
    return AdminResponse { row.status, "application/json", boost::json::serialize(body) + "\n" };
}

std::uint64_t queryNumber(const std::string &query, const std::string &name, std::uint64_t fallback)
{
    const std::string key = name + "=";
    const std::size_t at = query.find(key);
    if (at == std::string::npos || (at > 0 && query[at - 1] != '&')) {
        return fallback;
    }
    std::uint64_t value = fallback;
    const char *begin = query.data() + at + key.size();
    std::from_chars(begin, query.data() + query.size(), value);
    return value;
}

AdminServer::AdminServer(asio::io_context &context,
                         Endpoint listen,
                         std::vector<std::string> keys,
                         std::vector<std::string> openPaths,
                         Handler handler,
                         EventSink events)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_keys(std::move(keys))
    , m_openPaths(std::move(openPaths))
    , m_handler(std::move(handler))
    , m_events(std::move(events))
    , m_acceptor(context)
{
}

void AdminServer::start()
{
    listenAt(m_acceptor, m_listen);
    asio::co_spawn(m_context, acceptAll(), asio::detached);
}

void AdminServer::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> AdminServer::acceptAll()
{
    while (m_acceptor.is_open()) {
        error_code error;
        asio::ip::tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            Timer retryTimer(m_context, std::chrono::milliseconds(50));
            co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (m_connections < internal::MaxConnections) {
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

bool AdminServer::isOpen(const std::string &path) const
{
    return std::find(m_openPaths.begin(), m_openPaths.end(), path) != m_openPaths.end();
}

bool AdminServer::hasKey(std::string_view authorization) const
{
    constexpr std::string_view Scheme = "Bearer ";
    if (!authorization.starts_with(Scheme)) {
        return false;
    }
    bool matches = false;
    for (const std::string &key : m_keys) {
        matches = internal::constantTimeEquals(authorization.substr(Scheme.size()), key) || matches;
    }
    return matches;
}

asio::awaitable<void> AdminServer::serve(asio::ip::tcp::socket socket)
{
    ++m_connections;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keepOpen = true;
    while (keepOpen) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(internal::MaxBodyBytes);
        stream.expires_after(internal::ConnectionTimeout);
        error_code error;
        co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const auto &message = parser.get();
        const auto authorization = message[http::field::authorization];
        const bool isOperator = hasKey({ authorization.data(), authorization.size() });
        if (!isOperator) {
            parser.body_limit(internal::MaxBodyBytesWithoutKey);
            if (parser.content_length().value_or(0) > internal::MaxBodyBytesWithoutKey) {
                break;
            }
        }
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const std::string target(message.target());
        const std::size_t queryStart = target.find('?');
        AdminRequest request;
        request.method = std::string(message.method_string());
        request.path = target.substr(0, queryStart);
        request.query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
        request.body = message.body();
        AdminResponse adminResponse;
        if (isOperator || isOpen(request.path)) {
            stream.expires_after(internal::ConnectionTimeout);
            adminResponse = co_await m_handler(std::move(request));
        } else {
            m_events(Event::CallerRefused, { { "kind", "unauthenticated" }, { "path", request.path } });
            adminResponse = adminErrorResponse(Error { ErrorKind::Unauthenticated, "an operator key is required" });
        }
        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(adminResponse.status));
        response.set(http::field::content_type, adminResponse.contentType);
        response.set(http::field::cache_control, "no-store");
        response.keep_alive(message.keep_alive());
        response.body() = std::move(adminResponse.body);
        response.prepare_payload();
        stream.expires_after(internal::ConnectionTimeout);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        keepOpen = !error && message.keep_alive();
    }
    error_code ignored;
    stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    --m_connections;
}

} // namespace mulberryplank
