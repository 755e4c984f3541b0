#include "mulberryplank/app/adminclient.h"

#include <boost/json.hpp>

namespace mulberryplank
{

namespace internal
{

namespace
{

namespace json = boost::json;

constexpr int EditRounds = 3;
constexpr Millis RoundPause { 500 };
constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;

// Returns the error that a proxy answered, by the name in its body or else by its status.
Error errorOf(const HttpReply &reply)
{
    if (reply.status == StatusUnauthorized) {
        return { ErrorKind::Unauthenticated, "the proxy knows no such key or secret" };
    }
    boost::system::error_code problem;
    const json::value body = json::parse(reply.body, problem);
    const json::object *object = problem ? nullptr : body.if_object();
    const json::value *name = object ? object->if_contains("error") : nullptr;
    const json::value *detail = object ? object->if_contains("detail") : nullptr;
    if (!name || !name->is_string()) {
        return { ErrorKind::Internal, "the proxy answered with status " + std::to_string(reply.status) };
    }
    const ErrorKind kind = errorKindFromString(name->get_string().c_str()).value_or(ErrorKind::Internal);
    const std::string text = detail && detail->is_string() ? detail->get_string().c_str() : name->get_string().c_str();
    return { kind, text };
}

std::vector<std::string> namesOf(const json::value &list)
{
    std::vector<std::string> names;
    for (const json::value &name : list.as_array()) {
        names.emplace_back(name.as_string().c_str());
    }
    return names;
}

Result<EditReply> editReplyOf(const std::string &body)
{
    try {
        const json::value reply = json::parse(body);
        return EditReply { reply.at("offset").to_number<Offset>(),
                           namesOf(reply.at("in_force")),
                           namesOf(reply.at("missing")) };
    } catch (const std::exception &) {
        return failure(ErrorKind::PlatformUnavailable, "the proxy's answer to the edit can't be read");
    }
}

// Returns true if the edit itself was judged, so that asking again can't change the answer.
bool isDecision(ErrorKind kind)
{
    return kind == ErrorKind::Conflict || kind == ErrorKind::BadConfiguration;
}

// Returns true if the same request may fare better later.
bool isWorthRepeating(ErrorKind kind)
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
bool sendsElsewhere(const HttpReply &reply)
{
    constexpr int StatusUnavailable = 503;
    if (reply.status != StatusUnavailable) {
        return false;
    }
    const ErrorKind kind = errorOf(reply).kind;
    return kind == ErrorKind::NotReady || kind == ErrorKind::Draining;
}

} // namespace

} // namespace internal

AdminClient::AdminClient(AdminClientSettings settings, HttpExchange exchange, std::function<void(Millis)> pause)
    : m_settings(std::move(settings))
    , m_exchange(std::move(exchange))
    , m_pause(std::move(pause))
{
}

Result<std::string> AdminClient::get(const std::string &path)
{
    const Result<HttpReply> reply = attempt({ {}, "GET", path, "", m_settings.key, m_settings.timeout });
    if (!reply) {
        return failure(ErrorKind::NotReady, reply.error().detail);
    }
    if (reply->status != internal::StatusOk) {
        return tl::make_unexpected(internal::errorOf(*reply));
    }
    return reply->body;
}

Result<EditReply> AdminClient::submit(const Edit &edit, Millis wait)
{
    const std::string path = "/-/edit?wait_ms=" + std::to_string(wait.count());
    const HttpCall call { {}, "POST", path, encodeEdit(edit), m_settings.key, m_settings.timeout + wait };
    Error last;
    bool mayHaveArrived = false;
    for (int round = 0; round < internal::EditRounds; ++round) {
        if (round > 0) {
            m_pause(internal::RoundPause);
        }
        const Result<HttpReply> reply = attempt(call);
        if (reply && reply->status == internal::StatusOk) {
            return internal::editReplyOf(reply->body);
        }
        last = reply ? internal::errorOf(*reply) : reply.error();
        if (internal::isDecision(last.kind)) {
            return tl::make_unexpected(last);
        }
        mayHaveArrived = mayHaveArrived || errorInfo(last.kind).outcome == Outcome::Unknown;
        if (!internal::isWorthRepeating(last.kind)) {
            break;
        }
    }
    if (mayHaveArrived) {
        return failure(ErrorKind::PlatformUnavailable, last.detail);
    }
    return tl::make_unexpected(internal::isWorthRepeating(last.kind) ? Error { ErrorKind::NotReady, last.detail }
                                                                     : last);
}

// Sends to one proxy after the other until one answers for itself. What the last one did stands for all of them,
// unless an earlier one may have taken the request: that must not be forgotten, or a change that may be in force would
// be reported as not sent.
Result<HttpReply> AdminClient::attempt(const HttpCall &call)
{
    Result<HttpReply> worst = failure(ErrorKind::ConnectFailed, "no proxy given");
    bool mayHaveArrived = false;
    for (const Endpoint &proxy : m_settings.proxies) {
        HttpCall addressed = call;
        addressed.to = proxy;
        const Result<HttpReply> reply = m_exchange(addressed);
        if (reply && !internal::sendsElsewhere(*reply)) {
            return reply;
        }
        if (!mayHaveArrived) {
            worst = reply;
        }
        mayHaveArrived = mayHaveArrived || (!reply && errorInfo(reply.error().kind).outcome == Outcome::Unknown);
    }
    return worst;
}

} // namespace mulberryplank
