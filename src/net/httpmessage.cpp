#include "mulberryplank/net/httpmessage.h"

#include <charconv>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "mulberryplank/policy/headerrules.h"

namespace mulberryplank
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace internal
{

// Returns the bytes of a header only. The serializer must be stopped after the header: for the complete message it
// would append the last chunk of a chunked body, which would end every chunked body before its start.
template<bool IsRequest>
std::string serialize(http::header<IsRequest> header)
{
    http::message<IsRequest, http::empty_body> message(std::move(header));
    http::serializer<IsRequest, http::empty_body> serializer(message);
    serializer.split(true);
    std::string bytes;
    boost::system::error_code error;
    while (!serializer.is_header_done()) {
        std::size_t size = 0;
        serializer.next(error, [&](boost::system::error_code &, const auto &buffers) {
            for (const auto &buffer : boost::beast::buffers_range_ref(buffers)) {
                const asio::const_buffer piece(buffer);
                bytes.append(static_cast<const char *>(piece.data()), piece.size());
                size += piece.size();
            }
        });
        serializer.consume(size);
    }
    return bytes;
}

std::optional<std::uint64_t> parseWholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {}) {
        return std::nullopt;
    }
    return value;
}

// Returns true for conditions and ranges of the caller's request, which must not be part of a request for the remainder
// of a body.
bool isConditional(http::field field)
{
    switch (field) {
    case http::field::if_match:
    case http::field::if_none_match:
    case http::field::if_modified_since:
    case http::field::if_unmodified_since:
    case http::field::if_range:
    case http::field::range:
        return true;
    default:
        return false;
    }
}

} // namespace internal

std::string headerBytes(RequestHeader header)
{
    return internal::serialize<true>(std::move(header));
}

std::string headerBytes(ResponseHeader header)
{
    return internal::serialize<false>(std::move(header));
}

std::string_view fieldValue(const http::fields &fields, std::string_view name)
{
    const auto found = fields.find({ name.data(), name.size() });
    if (found == fields.end()) {
        return {};
    }
    return { found->value().data(), found->value().size() };
}

void copyFields(const http::fields &from, http::fields &to, const FieldFilter &isForwarded)
{
    const std::string_view connection = fieldValue(from, "Connection");
    for (const auto &field : from) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isForwarded(name, connection)) {
            to.insert(field.name(), field.name_string(), field.value());
        }
    }
}

ResponseHeader forwardedHeader(const ResponseHeader &response, const FieldFilter &isForwarded)
{
    ResponseHeader header;
    header.version(11);
    header.result(response.result_int());
    header.reason(response.reason());
    copyFields(response, header, isForwarded);
    return header;
}

RequestHeader targetRequestHeader(const RequestParser &caller, const TargetRequest &request)
{
    const auto &message = caller.get();
    RequestHeader header;
    header.version(11);
    header.method_string(message.method_string());
    header.target({ request.path.data(), request.path.size() });
    header.set(http::field::host, request.host);
    copyFields(message, header, [&request](std::string_view name, std::string_view connection) {
        const http::field field = http::string_to_field({ name.data(), name.size() });
        const bool dropped = request.resume && internal::isConditional(field);
        return field != http::field::host && !dropped && forwardToTarget(name, connection);
    });
    if (request.resume) {
        header.set(http::field::range, request.resume->range);
        header.set(http::field::if_range, request.resume->ifRange);
    }
    header.set(std::string(AccountHeader), { request.account.data(), request.account.size() });
    header.set(std::string(RequestIdHeader), request.requestId);
    header.set(std::string(DeadlineHeader), request.deadlineMs);
    if (caller.chunked()) {
        header.set(http::field::transfer_encoding, "chunked");
    }
    return header;
}

ResponseSummary summarizeResponse(const ResponseParser &parser, bool headRequest)
{
    const auto &message = parser.get();
    ResponseSummary response;
    response.body.status = static_cast<int>(message.result_int());
    response.body.etag = std::string(fieldValue(message, "ETag"));
    response.body.contentRange = std::string(fieldValue(message, "Content-Range"));
    const bool bodiless = headRequest || response.body.status == 204 || response.body.status == 304;
    if (bodiless) {
        response.body.framing = BodyFraming::None;
    } else if (parser.chunked()) {
        response.body.framing = BodyFraming::Chunked;
    } else if (parser.content_length()) {
        response.body.framing = BodyFraming::Length;
        response.body.length = *parser.content_length();
    } else {
        response.body.framing = BodyFraming::UntilClose;
    }
    const std::string_view requestId = fieldValue(message, RequestIdHeader);
    if (!requestId.empty()) {
        response.requestId = std::string(requestId);
    }
    response.notRun = fieldValue(message, NotRunHeader) == "1";
    const auto retryAfter = internal::parseWholeNumber(fieldValue(message, "Retry-After"));
    response.retryAfterSeconds = retryAfter ? static_cast<int>(std::min<std::uint64_t>(*retryAfter, 3'600)) : 0;
    return response;
}

std::optional<std::uint32_t> reportedLoad(const ResponseParser &parser)
{
    const auto load = internal::parseWholeNumber(fieldValue(parser.get(), LoadHeader));
    if (!load) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*load);
}

CallerFraming callerFraming(const ResponseSummary &response, int minorVersion)
{
    switch (response.body.framing) {
    case BodyFraming::None:
        return CallerFraming::None;
    case BodyFraming::Length:
        return CallerFraming::Length;
    case BodyFraming::Chunked:
    case BodyFraming::UntilClose:
        return minorVersion >= 1 ? CallerFraming::Chunked : CallerFraming::UntilClose;
    }
    return CallerFraming::UntilClose;
}

std::string callerResponseHeader(const ResponseParser &target,
                                 CallerFraming framing,
                                 std::string_view requestId,
                                 bool keepAlive)
{
    ResponseHeader header = forwardedHeader(target.get(), forwardToCaller);
    if (framing == CallerFraming::Chunked) {
        header.set(http::field::transfer_encoding, "chunked");
    }
    if (framing == CallerFraming::Chunked || framing == CallerFraming::UntilClose) {
        header.erase(http::field::content_length);
    }
    if (!keepAlive) {
        header.set(http::field::connection, "close");
    }
    header.set(std::string(RequestIdHeader), { requestId.data(), requestId.size() });
    header.set(std::string(OutcomeHeader), "answered");
    return headerBytes(std::move(header));
}

std::vector<std::pair<std::string, std::string>> fieldsToStore(const ResponseParser &target)
{
    const auto &message = target.get();
    const std::string_view connection = fieldValue(message, "Connection");
    std::vector<std::pair<std::string, std::string>> stored;
    for (const auto &field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (field.name() != http::field::content_length && forwardToCaller(name, connection)) {
            stored.emplace_back(name, std::string_view(field.value().data(), field.value().size()));
        }
    }
    return stored;
}

std::string chunkHeader(std::size_t size)
{
    return boost::beast::buffers_to_string(http::chunk_header(size));
}

std::string chunkBytes(std::string_view piece)
{
    if (piece.empty()) {
        return boost::beast::buffers_to_string(http::make_chunk_last());
    }
    return boost::beast::buffers_to_string(http::make_chunk(asio::buffer(piece)));
}

std::string localResponseBytes(const LocalResponse &response,
                               std::string_view requestId,
                               bool keepAlive,
                               bool headRequest)
{
    ResponseHeader header;
    header.version(11);
    header.result(static_cast<unsigned>(response.status));
    if (response.status == 499) {
        header.reason("Client Closed Request");
    }
    header.set(http::field::content_type, "application/json");
    header.set(http::field::content_length, std::to_string(response.body.size()));
    header.set(http::field::cache_control, "no-store");
    const std::string_view outcome = toString(response.outcome);
    header.set(std::string(OutcomeHeader), { outcome.data(), outcome.size() });
    if (!requestId.empty()) {
        header.set(std::string(RequestIdHeader), { requestId.data(), requestId.size() });
    }
    if (response.status == 401) {
        header.set(http::field::www_authenticate, "Bearer");
    }
    if (response.retryAfterSeconds > 0) {
        header.set(http::field::retry_after, std::to_string(response.retryAfterSeconds));
    }
    for (const auto &[name, value] : response.fields) {
        header.erase(name);
    }
    for (const auto &[name, value] : response.fields) {
        header.insert(name, value);
    }
    if (!keepAlive) {
        header.set(http::field::connection, "close");
    }
    std::string bytes = headerBytes(std::move(header));
    if (!headRequest) {
        bytes += response.body;
    }
    return bytes;
}

LocalResponse errorResponseFor(
    ErrorKind kind, Outcome outcome, int retryAfterSeconds, std::string_view detail, std::string_view requestId)
{
    const ErrorInfo &row = errorInfo(kind);
    LocalResponse response;
    response.status = row.status;
    response.outcome = outcome;
    response.retryAfterSeconds = retryAfterSeconds;
    boost::json::object body;
    body["error"] = boost::json::string_view(row.name.data(), row.name.size());
    const std::string_view outcomeName = toString(outcome);
    body["outcome"] = boost::json::string_view(outcomeName.data(), outcomeName.size());
    body["detail"] = boost::json::string_view(detail.data(), detail.size());
    body["request_id"] = boost::json::string_view(requestId.data(), requestId.size());
    response.body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace mulberryplank
