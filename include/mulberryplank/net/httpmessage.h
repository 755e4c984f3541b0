#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/net/httpstream.h"
#include "mulberryplank/policy/requestplan.h"

namespace mulberryplank
{

using RequestHeader = boost::beast::http::request_header<>;
using ResponseHeader = boost::beast::http::response_header<>;

// Returns the bytes of a message's header, the closing empty line included.
std::string headerBytes(RequestHeader header);
std::string headerBytes(ResponseHeader header);

// Returns the value of a field, empty when absent.
std::string_view fieldValue(const boost::beast::http::fields &fields, std::string_view name);

// Says whether a header field may be passed on; `connection` is the value of the message's Connection header.
using FieldFilter = std::function<bool(std::string_view name, std::string_view connection)>;

// Adds those fields of `from` to `to` that may be passed on.
void copyFields(const boost::beast::http::fields &from, boost::beast::http::fields &to, const FieldFilter &isForwarded);

// Returns the header of a target's response with those of its fields that may be passed on.
ResponseHeader forwardedHeader(const ResponseHeader &response, const FieldFilter &isForwarded);

// What a request to a target says beyond the caller's own header.
struct TargetRequest {
    std::string_view path; // without the service's name
    std::string host; // of the target
    std::string_view account;
    std::string requestId;
    std::string deadlineMs;
    std::optional<ResumeRequest> resume;
};

// Returns the header to send to a target: the caller's end-to-end fields and ours.
RequestHeader targetRequestHeader(const RequestParser &caller, const TargetRequest &request);

// Returns what decisions need of a target's response.
ResponseSummary summarizeResponse(const ResponseParser &parser, bool headRequest);

// Returns the X-Load of an response: requests under way at the target.
std::optional<std::uint32_t> reportedLoad(const ResponseParser &parser);

// How an response's body is framed towards the caller.
enum class CallerFraming {
    None,
    Length,
    Chunked,
    UntilClose,
};

// The response that asks a caller for its request's body.
inline constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the framing for an response to a caller that speaks HTTP version 1.`minorVersion`.
CallerFraming callerFraming(const ResponseSummary &response, int minorVersion);

// Returns the header to pass on to the caller.
std::string callerResponseHeader(const ResponseParser &target,
                                 CallerFraming framing,
                                 std::string_view requestId,
                                 bool keepAlive);

// Returns the fields of a target's response that are given again with a kept body. Its framing isn't among them.
std::vector<std::pair<std::string, std::string>> fieldsToStore(const ResponseParser &target);

// Returns the bytes of one chunk of a chunked body, or of the last chunk when `piece` is empty.
std::string chunkBytes(std::string_view piece);

// A whole response of our own.
struct LocalResponse {
    int status = 200;
    std::string body; // JSON
    Outcome outcome = Outcome::Answered;
    int retryAfterSeconds = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

// Returns the bytes of an response of our own.
std::string localResponseBytes(const LocalResponse &response,
                               std::string_view requestId,
                               bool keepAlive,
                               bool headRequest);

// Returns the response for a failure. `outcome` is at least as strong as the table's claim for `kind`.
LocalResponse errorResponseFor(
    ErrorKind kind, Outcome outcome, int retryAfterSeconds, std::string_view detail, std::string_view requestId);

} // namespace mulberryplank
