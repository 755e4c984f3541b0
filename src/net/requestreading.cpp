#include "mulberryplank/net/requestreading.h"

#include <boost/beast/http/error.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/requestcheck.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

namespace
{

Result<void> headerResult(error_code error)
{
    if (error == http::error::header_limit) {
        return failure(ErrorKind::HeaderTooLarge, "the header is too large");
    }
    if (error == http::error::body_limit) {
        return failure(ErrorKind::BodyTooLarge, "the body is too large");
    }
    if (error) {
        return failure(ErrorKind::BadRequest, error.message());
    }
    return {};
}

} // namespace

} // namespace internal

Result<bool> hasRequestHeader(const boost::beast::flat_buffer &buffer, std::uint32_t maxBytes)
{
    const std::string_view bytes(static_cast<const char *>(buffer.data().data()), buffer.size());
    const std::optional<std::size_t> length = headerBlockLength(bytes);
    if (length.value_or(bytes.size()) > maxBytes) {
        return failure(ErrorKind::HeaderTooLarge, "the header is too large");
    }
    if (!length) {
        return false;
    }
    const Result<void> check = checkHeaderBlock(bytes.substr(0, *length));
    if (!check) {
        return tl::unexpected(check.error());
    }
    return true;
}

DataAwaitable<Result<void>> readRequestHeader(HttpStream &stream, RequestParser &parser, std::uint32_t maxBytes)
{
    auto &buffer = stream.buffer();
    while (true) {
        const Result<bool> whole = hasRequestHeader(buffer, maxBytes);
        if (!whole) {
            co_return tl::unexpected(whole.error());
        }
        if (*whole) {
            break;
        }
        const error_code error = co_await stream.readSome();
        if (error) {
            const ErrorKind kind = stream.timedOut() ? ErrorKind::RequestTimeout : ErrorKind::Cancelled;
            co_return failure(kind, "the header did not arrive in time");
        }
    }
    const error_code error = co_await stream.readHeader(parser);
    co_return internal::headerResult(error);
}

Result<void> takeRequestHeader(HttpStream &stream, RequestParser &parser)
{
    error_code error;
    const std::size_t used = parser.put(stream.buffer().data(), error);
    stream.buffer().consume(used);
    return internal::headerResult(error);
}

DataAwaitable<void> lingeringClose(HttpStream &stream, Duration limit, Duration deliveryLimit)
{
    error_code error;
    stream.socket().shutdown(asio::socket_base::shutdown_send, error);
    stream.expiresOnceDelivered(limit, deliveryLimit);
    while (!error) {
        stream.buffer().clear();
        error = co_await stream.readSome();
    }
}

void abortConnection(HttpStream &stream)
{
    error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.close();
}

} // namespace mulberryplank
