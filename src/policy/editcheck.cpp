#include <algorithm>
#include <set>
#include <sstream>

#include "mulberryplank/policy/edit.h"
#include "mulberryplank/policy/ipaddress.h"

namespace mulberryplank
{

namespace internal
{

constexpr std::size_t MaxRoutes = 1'000;
constexpr std::size_t MaxPathLength = 1'024;
constexpr std::uint32_t MaxSlots = 1'000'000;
constexpr double MaxRequestsPerSecond = 1e9;
constexpr Millis MaxTimeout { 86'400'000 };

// Records the first error of one change, with the path of its field.
class ChangeCheck
{
public:
    explicit ChangeCheck(std::string path)
        : m_path(std::move(path))
    {
    }

    void require(bool valid, const std::string &field, const std::string &rule, const std::string &value)
    {
        if (!valid && m_error.empty()) {
            m_error = m_path + "." + field + ": " + rule + ", not \"" + value + "\"";
        }
    }

    void name(const std::string &field, const std::string &value)
    {
        constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:@";
        // A spreadsheet would interpret a cell that begins with - or @ as a formula.
        constexpr std::size_t FirstAllowed = Allowed.find('.');
        const bool valid = !value.empty() && value.size() <= MaxNameLength && Allowed.find(value.front()) < FirstAllowed
                           && value.find_first_not_of(Allowed) == std::string::npos;
        require(valid,
                field,
                "must be 1 to 64 letters, digits or ._-:@, a letter or digit first",
                value.substr(0, MaxNameLength));
    }

    template<typename Number>
    void range(const std::string &field, Number value, Number minimum, Number maximum)
    {
        std::ostringstream rule;
        rule << "must be " << minimum << " to " << maximum;
        std::ostringstream shown;
        shown << value;
        require(value >= minimum && value <= maximum, field, rule.str(), shown.str());
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    std::string m_path;
    std::string m_error;
};

void checkKey(ChangeCheck &check, const Account &account)
{
    check.name("name", account.name.value());
}

void checkKey(ChangeCheck &check, const Service &service)
{
    check.name("name", service.name.value());
}

void checkKey(ChangeCheck &check, const Target &target)
{
    check.name("name", target.name.value());
}

void checkKey(ChangeCheck &check, const Row &row)
{
    check.name("account", row.account.value());
    check.name("service", row.service.value());
}

void checkContent(ChangeCheck &check, const Account &account)
{
    check.require(account.secretDigest != SecretDigest {}, "secret_sha256", "must be the digest of a secret", "0");
}

void checkRoute(ChangeCheck &check, const std::string &path, const Route &route)
{
    check.name(path + ".name", route.name);
    const bool methodValid =
        !route.method.empty()
        && (route.method == "*" || route.method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string::npos);
    check.require(methodValid, path + ".method", "must be * or a method in capitals", route.method);
    const auto visible = [](char character) {
        return character > ' ' && character <= '~';
    };
    const bool pathValid = route.pathPrefix.starts_with('/') && route.pathPrefix.size() <= MaxPathLength
                           && std::all_of(route.pathPrefix.begin(), route.pathPrefix.end(), visible);
    const std::string rule = "must begin with / and have 1,024 visible ASCII characters at most";
    check.require(pathValid, path + ".path_prefix", rule, route.pathPrefix);
    check.range<std::int64_t>(path + ".timeout_ms", route.timeout.count(), 1, MaxTimeout.count());
    check.range<std::int64_t>(path + ".progress_timeout_ms", route.progressTimeout.count(), 1, MaxTimeout.count());
}

void checkContent(ChangeCheck &check, const Service &service)
{
    check.range("floor_share", service.floorShare, 0.0, 1.0);
    check.range<std::uint32_t>("slots_per_target", service.slotsPerTarget, 1, MaxSlots);
    check.range<std::uint32_t>("connections_per_target", service.connectionsPerTarget, 1, MaxSlots);
    check.range<std::size_t>("routes", service.routes.size(), 0, MaxRoutes);
    for (std::size_t index = 0; index < service.routes.size(); ++index) {
        checkRoute(check, "routes[" + std::to_string(index) + "]", service.routes[index]);
    }
}

void checkContent(ChangeCheck &check, const Target &target)
{
    check.name("service", target.service.value());
    check.require(isIpAddress(target.host), "host", "must be an IP number", target.host);
    check.require(target.port != 0, "port", "must be 1 to 65535", "0");
    check.name("failure_domain", target.failureDomain.value());
}

void checkContent(ChangeCheck &check, const Row &row)
{
    check.range<std::uint32_t>("weight", row.weight, 1, MaxWeight);
    check.range("requests_per_second", row.limits.requestsPerSecond, 0.0, MaxRequestsPerSecond);
}

std::string checkChange(const Change &change, const std::string &path)
{
    ChangeCheck check(path);
    const auto checkItem = [&](const auto &item) {
        checkKey(check, item);
        if (!change.remove) {
            checkContent(check, item);
        }
        check.require(!change.remove || item.version != 0, "version", "must name the version to remove", "0");
    };
    std::visit(checkItem, change.item);
    return check.error();
}

} // namespace internal

Result<void> checkEdit(const Edit &edit)
{
    internal::ChangeCheck check("edit");
    check.name("id", edit.id.value());
    check.require(!edit.changes.empty(), "changes", "must not be empty", "");
    if (!check.error().empty()) {
        return failure(ErrorKind::BadConfiguration, check.error());
    }
    std::set<std::string> seen;
    for (std::size_t index = 0; index < edit.changes.size(); ++index) {
        const std::string path = "changes[" + std::to_string(index) + "]";
        const std::string error = internal::checkChange(edit.changes[index], path);
        if (!error.empty()) {
            return failure(ErrorKind::BadConfiguration, error);
        }
        const std::string label = itemLabel(edit.changes[index].item);
        if (!seen.insert(label).second) {
            return failure(ErrorKind::BadConfiguration, path + ": " + label + " appears twice in this edit");
        }
    }
    return {};
}

} // namespace mulberryplank
