#include "mulberryplank/net/requestreading.h"

#include <boost/beast/http/error.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/requestcheck.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

DataAwaitable<Result<void>> readRequestHeader(HttpStream &stream, RequestParser &parser, std::uint32_t maxBytes)
{
    auto &buffer = stream.buffer();
    while (true) {
        const std::string_view bytes(static_cast<const char *>(buffer.data().data()), buffer.size());
        const std::optional<std::size_t> length = headerBlockLength(bytes);
        if (length) {
            if (*length > maxBytes) {
                co_return failure(ErrorKind::HeaderTooLarge, "the header is too large");
            }
            Result<void> check = checkHeaderBlock(bytes.substr(0, *length));
            if (!check) {
                co_return check;
            }
            break;
        }
        if (buffer.size() > maxBytes) {
            co_return failure(ErrorKind::HeaderTooLarge, "the header is too large");
        }
        const error_code error = co_await stream.readSome();
        if (error) {
            const ErrorKind kind = stream.timedOut() ? ErrorKind::RequestTimeout : ErrorKind::Cancelled;
            co_return failure(kind, "the header did not arrive in time");
        }
    }
    const error_code error = co_await stream.readHeader(parser);
    if (error == http::error::header_limit) {
        co_return failure(ErrorKind::HeaderTooLarge, "the header is too large");
    }
    if (error == http::error::body_limit) {
        co_return failure(ErrorKind::BodyTooLarge, "the body is too large");
    }
    if (error) {
        co_return failure(ErrorKind::BadRequest, error.message());
    }
    co_return Result<void> {};
}

DataAwaitable<void> lingeringClose(HttpStream &stream, Duration limit)
{
    error_code error;
    stream.socket().shutdown(asio::socket_base::shutdown_send, error);
    stream.expiresAt(Clock::now() + limit);
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
