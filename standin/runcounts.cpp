#include "runcounts.h"

#include <set>

#include <boost/json/parse.hpp>

namespace standin
{

namespace
{

constexpr const char *OperationIdHeaders[] = { "X-Request-Id", "Idempotency-Key", "X-Operation-Id" };
constexpr const char *OperationIdMember = "operation_id";

// Bounds the memory used by a long benchmark with POST. Tests stay far below this number.
constexpr std::size_t MaxOperations = 1'000'000;

std::string operationIdInBody(const std::string &body)
{
    if (body.empty() || body.front() != '{') {
        return {};
    }
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object()) {
        return {};
    }
    const boost::json::value *name = parsed.as_object().if_contains(OperationIdMember);
    return name && name->is_string() ? std::string(name->as_string()) : std::string();
}

} // namespace

void RunCounts::count(const Request &request)
{
    const http::verb method = request.method();
    if (method == http::verb::get || method == http::verb::head || method == http::verb::options) {
        return;
    }
    std::set<std::string> operationIds;
    for (const char *header : OperationIdHeaders) {
        operationIds.emplace(request[header]);
    }
    operationIds.insert(operationIdInBody(request.body()));
    operationIds.erase(std::string());
    for (const std::string &name : operationIds) {
        if (m_counts.size() < MaxOperations || m_counts.count(name) != 0) {
            ++m_counts[name];
        }
    }
}

boost::json::object RunCounts::toJson() const
{
    boost::json::object object;
    for (const auto &[name, count] : m_counts) {
        object[name] = count;
    }
    return object;
}

} // namespace standin
