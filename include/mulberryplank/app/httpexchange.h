#pragma once

#include <functional>
#include <string>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// An HTTP request that the command line sends.
struct HttpRequest {
    Endpoint to;
    std::string method; // "GET" or "POST"
    std::string path; // including the query
    std::string body;
    std::string bearerToken; // operator's key or account's credential; empty: no Authorization header
    Duration timeout {};
};

// The response to an HttpRequest.
struct HttpResponse {
    int status = 0;
    std::string body;
};

// Sends one request and waits for the complete response. Errors: ConnectFailed when no byte of the request was sent,
// TargetTimeout and TargetReset when it may or may not have taken effect.
using HttpExchange = std::function<Result<HttpResponse>(const HttpRequest &request)>;

// Returns an exchange that opens a new TCP connection for each request.
HttpExchange tcpExchange();

} // namespace mulberryplank
