#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mulberryplank/app/httpexchange.h"
#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

// What became of an accepted edit.
struct EditResponse {
    Offset offset = 0;
    std::vector<std::string> inForce; // VMs whose proxies have it in force
    std::vector<std::string> missing; // VMs whose proxies don't, or haven't said so
};

struct AdminClientSettings {
    std::vector<Endpoint> proxies; // addresses for operators; tried in this order
    std::string key; // the operator's
    Duration timeout {}; // of one request, over the time that it asks the proxy to wait
};

// Talks to the address for operators of any one proxy, and to the next one where a proxy can't be reached.
class AdminClient
{
public:
    // `sleepFor` waits between attempts; tests pass one that doesn't.
    AdminClient(AdminClientSettings settings, HttpExchange exchange, std::function<void(Millis)> sleepFor);
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    // Returns what `path` answers with 200. Errors: NotReady when no proxy could be reached, or the kind that the
    // proxy named.
    Result<std::string> get(const std::string &path);

    // Submits an edit and waits up to `wait` for it to be in force everywhere. An attempt whose answer was lost is
    // repeated under the edit's id, of which the log's readers accept one, so it takes effect once. Errors: Conflict
    // or BadConfiguration when it was refused, PlatformUnavailable when it may or may not have been accepted, NotReady
    // when no proxy could be reached and nothing was sent.
    Result<EditResponse> submit(const Edit &edit, Millis wait);

private:
    Result<HttpResponse> attempt(const HttpRequest &request);

    AdminClientSettings m_settings;
    HttpExchange m_exchange;
    std::function<void(Millis)> m_sleepFor;
};

} // namespace mulberryplank
