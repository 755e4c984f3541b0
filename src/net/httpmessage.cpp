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

// Returns the bytes of a header alone. The serializer must be stopped there: asked for the whole message, it ends a
// chunked one with its last chunk, and every chunked body would end before it began.
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

std::optional<std::uint64_t> wholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {}) {
        return std::nullopt;
    }
    return value;
}

// Conditions of the caller's own request that must not go with the request for the rest of a body.
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

void copyFields(const http::fields &from, http::fields &to, const FieldFilter &isPassedOn)
{
    const std::string_view connection = fieldValue(from, "Connection");
    for (const auto &field : from) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isPassedOn(name, connection)) {
            to.insert(field.name(), field.name_string(), field.value());
        }
    }
}

ResponseHeader passedOnHeader(const ResponseHeader &answer, const FieldFilter &isPassedOn)
{
    ResponseHeader header;
    header.version(11);
    header.result(answer.result_int());
    header.reason(answer.reason());
    copyFields(answer, header, isPassedOn);
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

ResponseSummary answerHeader(const ResponseParser &parser, bool headRequest)
{
    const auto &message = parser.get();
    ResponseSummary answer;
    answer.body.status = static_cast<int>(message.result_int());
    answer.body.etag = std::string(fieldValue(message, "ETag"));
    answer.body.contentRange = std::string(fieldValue(message, "Content-Range"));
    const bool bodiless = headRequest || answer.body.status == 204 || answer.body.status == 304;
    if (bodiless) {
        answer.body.framing = BodyFraming::None;
    } else if (parser.chunked()) {
        answer.body.framing = BodyFraming::Chunked;
    } else if (parser.content_length()) {
        answer.body.framing = BodyFraming::Length;
        answer.body.length = *parser.content_length();
    } else {
        answer.body.framing = BodyFraming::UntilClose;
    }
    const std::string_view requestId = fieldValue(message, RequestIdHeader);
    if (!requestId.empty()) {
        answer.requestId = std::string(requestId);
    }
    answer.notRun = fieldValue(message, NotRunHeader) == "1";
    const auto retryAfter = internal::wholeNumber(fieldValue(message, "Retry-After"));
    answer.retryAfterSeconds = retryAfter ? static_cast<int>(std::min<std::uint64_t>(*retryAfter, 3'600)) : 0;
    return answer;
}

std::optional<std::uint32_t> reportedLoad(const ResponseParser &parser)
{
    const auto load = internal::wholeNumber(fieldValue(parser.get(), LoadHeader));
    if (!load) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*load);
}

CallerFraming callerFraming(const ResponseSummary &answer, int minorVersion)
{
    switch (answer.body.framing) {
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

std::string callerAnswerHeader(const ResponseParser &target,
                               CallerFraming framing,
                               std::string_view requestId,
                               bool keepAlive)
{
    ResponseHeader header = passedOnHeader(target.get(), forwardToCaller);
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

std::vector<std::pair<std::string, std::string>> fieldsToKeep(const ResponseParser &target)
{
    const auto &message = target.get();
    const std::string_view connection = fieldValue(message, "Connection");
    std::vector<std::pair<std::string, std::string>> kept;
    for (const auto &field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (field.name() != http::field::content_length && forwardToCaller(name, connection)) {
            kept.emplace_back(name, std::string_view(field.value().data(), field.value().size()));
        }
    }
    return kept;
}

std::string chunkBytes(std::string_view piece)
{
    if (piece.empty()) {
        return boost::beast::buffers_to_string(http::make_chunk_last());
    }
    return boost::beast::buffers_to_string(http::make_chunk(asio::buffer(piece)));
}

std::string ownAnswerBytes(const OwnAnswer &answer, std::string_view requestId, bool keepAlive, bool headRequest)
{
    ResponseHeader header;
    header.version(11);
    header.result(static_cast<unsigned>(answer.status));
    if (answer.status == 499) {
        header.reason("Client Closed Request");
    }
    header.set(http::field::content_type, "application/json");
    header.set(http::field::content_length, std::to_string(answer.body.size()));
    header.set(http::field::cache_control, "no-store");
    const std::string_view outcome = toString(answer.outcome);
    header.set(std::string(OutcomeHeader), { outcome.data(), outcome.size() });
    if (!requestId.empty()) {
        header.set(std::string(RequestIdHeader), { requestId.data(), requestId.size() });
    }
    if (answer.status == 401) {
        header.set(http::field::www_authenticate, "Bearer");
    }
    if (answer.retryAfterSeconds > 0) {
        header.set(http::field::retry_after, std::to_string(answer.retryAfterSeconds));
    }
    for (const auto &[name, value] : answer.fields) {
        header.erase(name);
    }
    for (const auto &[name, value] : answer.fields) {
        header.insert(name, value);
    }
    if (!keepAlive) {
        header.set(http::field::connection, "close");
    }
    std::string bytes = headerBytes(std::move(header));
    if (!headRequest) {
        bytes += answer.body;
    }
    return bytes;
}

OwnAnswer errorAnswerFor(
    ErrorKind kind, Outcome outcome, int retryAfterSeconds, std::string_view detail, std::string_view requestId)
{
    const ErrorInfo &row = errorInfo(kind);
    OwnAnswer answer;
    answer.status = row.status;
    answer.outcome = outcome;
    answer.retryAfterSeconds = retryAfterSeconds;
    boost::json::object body;
    body["error"] = boost::json::string_view(row.name.data(), row.name.size());
    const std::string_view outcomeName = toString(outcome);
    body["outcome"] = boost::json::string_view(outcomeName.data(), outcomeName.size());
    body["detail"] = boost::json::string_view(detail.data(), detail.size());
    body["request_id"] = boost::json::string_view(requestId.data(), requestId.size());
    answer.body = boost::json::serialize(body) + "\n";
    return answer;
}

} // namespace mulberryplank
