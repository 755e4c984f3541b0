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
void copyFields(const boost::beast::http::fields &from, boost::beast::http::fields &to, const FieldFilter &isPassedOn);

// Returns the header of a target's answer with those of its fields that may be passed on.
ResponseHeader passedOnHeader(const ResponseHeader &answer, const FieldFilter &isPassedOn);

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

// Returns what decisions need of a target's answer.
ResponseSummary answerHeader(const ResponseParser &parser, bool headRequest);

// Returns the X-Load of an answer: requests under way at the target.
std::optional<std::uint32_t> reportedLoad(const ResponseParser &parser);

// How an answer's body is framed towards the caller.
enum class CallerFraming {
    None,
    Length,
    Chunked,
    UntilClose,
};

// The answer that asks a caller for its request's body.
inline constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the framing for an answer to a caller that speaks HTTP version 1.`minorVersion`.
CallerFraming callerFraming(const ResponseSummary &answer, int minorVersion);

// Returns the header to pass on to the caller.
std::string callerAnswerHeader(const ResponseParser &target,
                               CallerFraming framing,
                               std::string_view requestId,
                               bool keepAlive);

// Returns the fields of a target's answer that are given again with a kept body. Its framing isn't among them.
std::vector<std::pair<std::string, std::string>> fieldsToKeep(const ResponseParser &target);

// Returns the bytes of one chunk of a chunked body, or of the last chunk when `piece` is empty.
std::string chunkBytes(std::string_view piece);

// A whole answer of our own.
struct OwnAnswer {
    int status = 200;
    std::string body; // JSON
    Outcome outcome = Outcome::Answered;
    int retryAfterSeconds = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

// Returns the bytes of an answer of our own.
std::string ownAnswerBytes(const OwnAnswer &answer, std::string_view requestId, bool keepAlive, bool headRequest);

// Returns the answer for a failure. `outcome` is at least as strong as the table's claim for `kind`.
OwnAnswer errorAnswerFor(
    ErrorKind kind, Outcome outcome, int retryAfterSeconds, std::string_view detail, std::string_view requestId);

} // namespace mulberryplank
