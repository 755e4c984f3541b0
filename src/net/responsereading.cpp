#include "mulberryplank/net/responsereading.h"

#include <boost/beast/http/error.hpp>

#include "mulberryplank/policy/targetresponse.h"

namespace mulberryplank
{

namespace http = boost::beast::http;
using boost::system::error_code;

namespace internal
{

namespace
{

// Each interim response costs little, so that a target could send them until the deadline.
constexpr int MaxInterimResponses = 16;

bool announcesBody(const ResponseParser &parser)
{
    const auto &header = parser.get();
    const auto length = header.find(http::field::content_length);
    return header.find(http::field::transfer_encoding) != header.end()
           || (length != header.end() && length->value() != "0");
}

} // namespace

} // namespace internal

DataAwaitable<error_code> readFinalHeader(HttpStream &stream,
                                          std::unique_ptr<ResponseParser> &parser,
                                          ResponseReading reading)
{
    for (int interim = 0; interim <= internal::MaxInterimResponses; ++interim) {
        parser = std::make_unique<ResponseParser>();
        parser->header_limit(reading.maxHeaderBytes);
        parser->body_limit(boost::none);
        parser->skip(reading.headRequest);
        const error_code error = co_await stream.readHeader(*parser);
        if (error || reading.isCancelled()) {
            co_return error;
        }
        const StatusClass statusClass = statusClassOf(parser->get().result_int());
        if (statusClass == StatusClass::Final) {
            co_return error_code {};
        }
        if (statusClass == StatusClass::Invalid || internal::announcesBody(*parser)) {
            co_return http::error::bad_status;
        }
    }
    co_return http::error::bad_status;
}

} // namespace mulberryplank
