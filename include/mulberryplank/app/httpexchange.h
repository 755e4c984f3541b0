#pragma once

#include <functional>
#include <string>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// One HTTP request of the command line.
struct HttpRequest {
    Endpoint to;
    std::string method; // "GET" or "POST"
    std::string path; // with the query
    std::string body;
    std::string bearerToken; // the operator's key; empty: no Authorization header
    Duration timeout {};
};

// What was answered to it.
struct HttpResponse {
    int status = 0;
    std::string body;
};

// Sends one request and waits for the whole answer. Errors: ConnectFailed when no byte of the request was sent,
// TargetTimeout and TargetReset when it may or may not have taken effect.
using HttpExchange = std::function<Result<HttpResponse>(const HttpRequest &request)>;

// Returns an exchange over a fresh TCP connection for each request.
HttpExchange tcpExchange();

} // namespace mulberryplank
