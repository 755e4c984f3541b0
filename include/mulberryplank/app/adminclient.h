#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mulberryplank/app/httpexchange.h"
#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

// The result of an accepted edit.
struct EditResponse {
    Offset offset = 0;
    std::vector<std::string> inForce; // VMs whose proxies have applied it
    std::vector<std::string> missing; // VMs whose proxies haven't applied it or haven't reported so
};

struct AdminClientSettings {
    std::vector<Endpoint> proxies; // the proxies' addresses for operators, in the order in which they are tried
    std::string key; // the operator's key, sent as a bearer token
    Duration timeout {}; // of one request, in addition to the time for which the proxy is asked to wait
};

// Sends requests to the operator address of one proxy, and to the next proxy when one can't be reached.
class AdminClient
{
public:
    // `sleepFor` blocks between attempts; tests pass a function that returns at once.
    AdminClient(AdminClientSettings settings, HttpExchange exchange, std::function<void(Millis)> sleepFor);
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    // Returns the body of the 200 response to a GET of `path`. Errors: NotReady when no proxy could be reached, else
    // the kind that the proxy reported.
    Result<std::string> get(const std::string &path);

    // Submits an edit and waits up to `wait` for it to be in force on all proxies. An attempt whose response was lost
    // is repeated with the same edit id. The log's readers accept an id only once, so the edit takes effect once.
    // Errors: Conflict or BadConfiguration when it was refused, PlatformUnavailable when it may or may not have been
    // accepted, NotReady when no proxy could be reached and nothing was sent.
    Result<EditResponse> submit(const Edit &edit, Millis wait);

private:
    Result<HttpResponse> attempt(const HttpRequest &request);

    AdminClientSettings m_settings;
    HttpExchange m_exchange;
    std::function<void(Millis)> m_sleepFor;
};

} // namespace mulberryplank
