#include "itemjson.h"

#include <algorithm>
#include <array>

namespace mulberryplank::internal
{

namespace json = boost::json;

constexpr std::array<std::string_view, 4> ItemKinds { "account", "service", "target", "row" }; // as in ConfigItem

std::string toHex(const std::uint8_t *bytes, std::size_t size)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text += Digits[bytes[index] >> 4U];
        text += Digits[bytes[index] & 0xfU];
    }
    return text;
}

std::optional<SecretDigest> digestFromHex(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    SecretDigest digest {};
    if (text.size() != digest.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < digest.size(); ++index) {
        const std::size_t high = Digits.find(text[index * 2]);
        const std::size_t low = Digits.find(text[index * 2 + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[index] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

FieldReader::FieldReader(const json::value &value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (!m_object) {
        throw FieldError((m_path.empty() ? "the record" : m_path) + ": must be a JSON object");
    }
}

std::string FieldReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void FieldReader::fail(std::string_view key, std::string_view rule) const
{
    constexpr std::size_t ShownBytes = 80;
    std::string text = pathOf(key) + ": " + std::string(rule);
    const json::value *value = m_object->if_contains(key);
    text += value ? ", not " + json::serialize(*value).substr(0, ShownBytes) : ", but is missing";
    throw FieldError(std::move(text));
}

const json::value *FieldReader::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_object->if_contains(key);
}

void FieldReader::require(std::string_view key) const
{
    if (!m_object->contains(key)) {
        fail(key, "is required");
    }
}

void FieldReader::rejectUnknownFields() const
{
    for (const auto &field : *m_object) {
        const std::string_view key(field.key().data(), field.key().size());
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
            throw FieldError(pathOf(key) + ": no such field");
        }
    }
}

void FieldReader::read(std::string_view key, std::string &out)
{
    if (const json::value *value = find(key)) {
        if (!value->is_string()) {
            fail(key, "must be a text");
        }
        out.assign(value->get_string().data(), value->get_string().size());
    }
}

void FieldReader::read(std::string_view key, bool &out)
{
    if (const json::value *value = find(key)) {
        if (!value->is_bool()) {
            fail(key, "must be true or false");
        }
        out = value->get_bool();
    }
}

void FieldReader::read(std::string_view key, double &out)
{
    if (const json::value *value = find(key)) {
        if (!value->is_number()) {
            fail(key, "must be a number");
        }
        out = value->to_number<double>();
    }
}

void FieldReader::read(std::string_view key, SecretDigest &out)
{
    std::string text = toHex(out.data(), out.size());
    read(key, text);
    const auto digest = digestFromHex(text);
    if (!digest) {
        fail(key, "must be 64 hexadecimal digits in lower case");
    }
    out = *digest;
}

void FieldReader::read(std::string_view key, Detection &out)
{
    std::string text(toString(out));
    read(key, text);
    const auto detection = detectionFromString(text);
    if (!detection) {
        fail(key, "must be fast, balanced or cautious");
    }
    out = *detection;
}

void FieldReader::read(std::string_view key, Millis &out)
{
    std::int64_t count = out.count();
    read(key, count);
    out = Millis(count);
}

json::object toJsonObject(const Account &account)
{
    const std::string digest = toHex(account.secretDigest.data(), account.secretDigest.size());
    return { { "name", account.name.value() }, { "secret_sha256", digest }, { "version", account.version } };
}

json::object toJsonObject(const Route &route)
{
    return {
        { "name", route.name },
        { "method", route.method },
        { "path_prefix", route.pathPrefix },
        { "idempotent", route.idempotent },
        { "timeout_ms", route.timeout.count() },
        { "progress_timeout_ms", route.progressTimeout.count() },
    };
}

json::object toJsonObject(const Service &service)
{
    json::array routes;
    for (const Route &route : service.routes) {
        routes.push_back(toJsonObject(route));
    }
    return {
        { "name", service.name.value() },
        { "detection", toString(service.detection) },
        { "floor_share", service.floorShare },
        { "floor_count", service.floorCount },
        { "slots_per_target", service.slotsPerTarget },
        { "connections_per_target", service.connectionsPerTarget },
        { "routes", std::move(routes) },
        { "version", service.version },
    };
}

json::object toJsonObject(const Target &target)
{
    return {
        { "name", target.name.value() },
        { "service", target.service.value() },
        { "host", target.host },
        { "port", target.port },
        { "failure_domain", target.failureDomain.value() },
        { "version", target.version },
    };
}

json::object toJsonObject(const Row &row)
{
    return {
        { "account", row.account.value() },
        { "service", row.service.value() },
        { "weight", row.weight },
        { "requests_per_second", row.limits.requestsPerSecond },
        { "in_flight", row.limits.inFlight },
        { "queue", row.limits.queue },
        { "version", row.version },
    };
}

json::object toJson(const ConfigItem &item)
{
    json::object object { { "kind", ItemKinds.at(item.index()) } };
    const json::object fields = std::visit(
        [](const auto &value) {
            return toJsonObject(value);
        },
        item);
    for (const auto &field : fields) {
        object.insert(field);
    }
    return object;
}

Account accountFromJson(FieldReader &reader, bool remove)
{
    Account account;
    reader.require("name");
    reader.read("name", account.name);
    if (!remove) {
        reader.require("secret_sha256");
    }
    reader.read("secret_sha256", account.secretDigest);
    reader.read("version", account.version);
    return account;
}

Route routeFromJson(const json::value &value, const std::string &path)
{
    FieldReader reader(value, path);
    Route route;
    reader.require("name");
    reader.require("method");
    reader.require("path_prefix");
    reader.read("name", route.name);
    reader.read("method", route.method);
    reader.read("path_prefix", route.pathPrefix);
    reader.read("idempotent", route.idempotent);
    reader.read("timeout_ms", route.timeout);
    reader.read("progress_timeout_ms", route.progressTimeout);
    reader.rejectUnknownFields();
    return route;
}

Service serviceFromJson(FieldReader &reader)
{
    Service service;
    reader.require("name");
    reader.read("name", service.name);
    reader.read("detection", service.detection);
    reader.read("floor_share", service.floorShare);
    reader.read("floor_count", service.floorCount);
    reader.read("slots_per_target", service.slotsPerTarget);
    reader.read("connections_per_target", service.connectionsPerTarget);
    reader.read("version", service.version);
    if (const json::value *routes = reader.find("routes")) {
        if (!routes->is_array()) {
            reader.fail("routes", "must be a list");
        }
        for (const json::value &route : routes->get_array()) {
            const std::string index = std::to_string(service.routes.size());
            service.routes.push_back(routeFromJson(route, reader.pathOf("routes[" + index + "]")));
        }
    }
    return service;
}

Target targetFromJson(FieldReader &reader, bool remove)
{
    Target target;
    reader.require("name");
    if (!remove) {
        reader.require("service");
        reader.require("host");
        reader.require("port");
        reader.require("failure_domain");
    }
    reader.read("name", target.name);
    reader.read("service", target.service);
    reader.read("host", target.host);
    reader.read("port", target.port);
    reader.read("failure_domain", target.failureDomain);
    reader.read("version", target.version);
    return target;
}

Row rowFromJson(FieldReader &reader)
{
    Row row;
    reader.require("account");
    reader.require("service");
    reader.read("account", row.account);
    reader.read("service", row.service);
    reader.read("weight", row.weight);
    reader.read("requests_per_second", row.limits.requestsPerSecond);
    reader.read("in_flight", row.limits.inFlight);
    reader.read("queue", row.limits.queue);
    reader.read("version", row.version);
    return row;
}

ConfigItem itemFromJson(FieldReader &reader, bool remove)
{
    std::string kind;
    reader.read("kind", kind);
    if (kind == "account") {
        return accountFromJson(reader, remove);
    }
    if (kind == "service") {
        return serviceFromJson(reader);
    }
    if (kind == "target") {
        return targetFromJson(reader, remove);
    }
    if (kind == "row") {
        return rowFromJson(reader);
    }
    reader.fail("kind", "must be account, service, target or row");
}

json::value parseJson(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        throw FieldError("not JSON: " + error.message());
    }
    return value;
}

} // namespace mulberryplank::internal
