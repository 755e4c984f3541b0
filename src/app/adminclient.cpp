#include "mulberryplank/app/adminclient.h"

#include <boost/json.hpp>

namespace mulberryplank
{

namespace internal
{

namespace
{

namespace json = boost::json;

constexpr int MaxEditAttempts = 3;
constexpr Millis EditRetryDelay { 500 };
constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;

// Returns the error that a proxy answered, by the name in its body or else by its status.
Error parseError(const HttpResponse &response)
{
    if (response.status == StatusUnauthorized) {
        return { ErrorKind::Unauthenticated, "the proxy knows no such key or secret" };
    }
    boost::system::error_code problem;
    const json::value body = json::parse(response.body, problem);
    const json::object *object = problem ? nullptr : body.if_object();
    const json::value *name = object ? object->if_contains("error") : nullptr;
    const json::value *detail = object ? object->if_contains("detail") : nullptr;
    if (!name || !name->is_string()) {
        return { ErrorKind::Internal, "the proxy answered with status " + std::to_string(response.status) };
    }
    const ErrorKind kind = errorKindFromString(name->get_string().c_str()).value_or(ErrorKind::Internal);
    const std::string text = detail && detail->is_string() ? detail->get_string().c_str() : name->get_string().c_str();
    return { kind, text };
}

std::vector<std::string> parseNames(const json::value &list)
{
    std::vector<std::string> names;
    for (const json::value &name : list.as_array()) {
        names.emplace_back(name.as_string().c_str());
    }
    return names;
}

Result<EditResponse> parseEditResponse(const std::string &body)
{
    try {
        const json::value response = json::parse(body);
        return EditResponse { response.at("offset").to_number<Offset>(),
                              parseNames(response.at("in_force")),
                              parseNames(response.at("missing")) };
    } catch (const std::exception &) {
        return failure(ErrorKind::PlatformUnavailable, "the proxy's answer to the edit can't be read");
    }
}

// Returns true if the edit itself was judged, so that asking again can't change the answer.
bool isFinal(ErrorKind kind)
{
    return kind == ErrorKind::Conflict || kind == ErrorKind::BadConfiguration;
}

// Returns true if the same request may fare better later.
bool isRetryable(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::ConnectFailed:
    case ErrorKind::TargetTimeout:
    case ErrorKind::TargetReset:
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::NotReady:
    case ErrorKind::Draining:
    case ErrorKind::Internal:
        return true;
    default:
        return false;
    }
}

// Returns true if the proxy can't answer now though another may.
bool isProxyUnavailable(const HttpResponse &response)
{
    constexpr int StatusUnavailable = 503;
    if (response.status != StatusUnavailable) {
        return false;
    }
    const ErrorKind kind = parseError(response).kind;
    return kind == ErrorKind::NotReady || kind == ErrorKind::Draining;
}

} // namespace

} // namespace internal

AdminClient::AdminClient(AdminClientSettings settings, HttpExchange exchange, std::function<void(Millis)> sleepFor)
    : m_settings(std::move(settings))
    , m_exchange(std::move(exchange))
    , m_sleepFor(std::move(sleepFor))
{
}

Result<std::string> AdminClient::get(const std::string &path)
{
    const Result<HttpResponse> response = attempt({ {}, "GET", path, "", m_settings.key, m_settings.timeout });
    if (!response) {
        return failure(ErrorKind::NotReady, response.error().detail);
    }
    if (response->status != internal::StatusOk) {
        return tl::make_unexpected(internal::parseError(*response));
    }
    return response->body;
}

Result<EditResponse> AdminClient::submit(const Edit &edit, Millis wait)
{
    const std::string path = "/-/edit?wait_ms=" + std::to_string(wait.count());
    const HttpRequest request { {}, "POST", path, encodeEdit(edit), m_settings.key, m_settings.timeout + wait };
    Error last;
    bool mayHaveTakenEffect = false;
    for (int attemptNumber = 0; attemptNumber < internal::MaxEditAttempts; ++attemptNumber) {
        if (attemptNumber > 0) {
            m_sleepFor(internal::EditRetryDelay);
        }
        const Result<HttpResponse> response = attempt(request);
        if (response && response->status == internal::StatusOk) {
            return internal::parseEditResponse(response->body);
        }
        last = response ? internal::parseError(*response) : response.error();
        if (internal::isFinal(last.kind)) {
            return tl::make_unexpected(last);
        }
        mayHaveTakenEffect = mayHaveTakenEffect || errorAnswer(last.kind).outcome == Outcome::Unknown;
        if (!internal::isRetryable(last.kind)) {
            break;
        }
    }
    if (mayHaveTakenEffect) {
        return failure(ErrorKind::PlatformUnavailable, last.detail);
    }
    return tl::make_unexpected(internal::isRetryable(last.kind) ? Error { ErrorKind::NotReady, last.detail } : last);
}

// Sends to one proxy after the other until one answers for itself. What the last one did stands for all of them,
// unless an earlier one may have taken the request: that must not be forgotten, or a change that may be in force would
// be reported as not sent.
Result<HttpResponse> AdminClient::attempt(const HttpRequest &request)
{
    Result<HttpResponse> result = failure(ErrorKind::ConnectFailed, "no proxy given");
    bool mayHaveTakenEffect = false;
    for (const Endpoint &proxy : m_settings.proxies) {
        HttpRequest proxyRequest = request;
        proxyRequest.to = proxy;
        const Result<HttpResponse> response = m_exchange(proxyRequest);
        if (response && !internal::isProxyUnavailable(*response)) {
            return response;
        }
        if (!mayHaveTakenEffect) {
            result = response;
        }
        mayHaveTakenEffect =
            mayHaveTakenEffect || (!response && errorAnswer(response.error().kind).outcome == Outcome::Unknown);
    }
    return result;
}

} // namespace mulberryplank
