#include "mulberryplank/app/statusview.h"

#include <sstream>

#include <boost/json.hpp>

#include "commandparts.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

namespace json = boost::json;

// More records than an ordinary edit brings: a proxy that is this far behind for a moment is no matter.
constexpr std::int64_t LagWorthAttention = 100;
constexpr std::int64_t LagMillisWorthAttention = 5'000;

// Returns the field at `key`, or nullptr.
const json::value *fieldOf(const json::value &object, std::string_view key)
{
    const json::object *fields = object.if_object();
    return fields ? fields->if_contains(key) : nullptr;
}

std::string shownField(const json::value &object, std::string_view key)
{
    const json::value *field = fieldOf(object, key);
    return field ? plainText(*field) : "?";
}

std::int64_t numberField(const json::value &object, std::string_view key)
{
    const json::value *field = fieldOf(object, key);
    boost::system::error_code problem;
    const auto number = field ? field->to_number<std::int64_t>(problem) : 0;
    return problem ? 0 : number;
}

bool isTrue(const json::value &object, std::string_view key)
{
    const json::value *field = fieldOf(object, key);
    return field && field->is_bool() && field->get_bool();
}

json::array listField(const json::value &object, std::string_view key)
{
    const json::value *field = fieldOf(object, key);
    return field && field->is_array() ? field->get_array() : json::array {};
}

json::value objectField(const json::value &object, std::string_view key)
{
    const json::value *field = fieldOf(object, key);
    return field ? *field : json::value {};
}

// Adds one line for each entry of a list, made of the entries' fields.
void addList(std::ostringstream &text,
             const json::value &status,
             std::string_view key,
             std::string_view title,
             const std::vector<std::string> &fields)
{
    const json::array entries = listField(status, key);
    text << title << ": " << (entries.empty() ? "none" : std::to_string(entries.size())) << "\n";
    if (entries.empty()) {
        return;
    }
    std::vector<std::vector<std::string>> lines { fields };
    for (const json::value &entry : entries) {
        std::vector<std::string> line;
        for (const std::string &field : fields) {
            line.push_back(shownField(entry, field));
        }
        lines.push_back(std::move(line));
    }
    for (std::vector<std::string> &line : lines) {
        line.front().insert(0, "  ");
    }
    printColumns(lines, text);
}

std::vector<std::string> attentionOf(const json::value &status)
{
    std::vector<std::string> attention;
    const auto note = [&](bool holds, const std::string &text) {
        if (holds) {
            attention.push_back(text);
        }
    };
    const json::value members = objectField(status, "members");
    const json::value platform = objectField(status, "platform");
    const bool behind =
        numberField(status, "lag") > LagWorthAttention || numberField(status, "lag_ms") > LagMillisWorthAttention;
    note(!isTrue(status, "ready"), "the proxy is not ready");
    note(isTrue(status, "draining"), "the proxy is draining");
    note(behind, "the configuration is behind the log");
    note(shownField(platform, "log") == "down", "the log service does not answer");
    note(shownField(platform, "vm_list") == "down", "the VM list does not answer");
    note(numberField(members, "suspect") > 0, "proxies are suspected");
    note(!listField(status, "ejected").empty(), "targets are ejected");
    note(!listField(status, "floors").empty(), "floors keep sick targets in service");
    return attention;
}

// Adds a value and all that is below it, one field a line.
void addIndented(std::ostringstream &text, const json::value &value, const std::string &indent)
{
    if (const json::object *object = value.if_object()) {
        for (const json::key_value_pair &field : *object) {
            const bool nested = field.value().is_object() || field.value().is_array();
            text << indent << std::string(field.key()) << ":" << (nested ? "" : " " + plainText(field.value())) << "\n";
            if (nested) {
                addIndented(text, field.value(), indent + "  ");
            }
        }
        return;
    }
    if (const json::array *list = value.if_array()) {
        for (const json::value &entry : *list) {
            const bool nested = entry.is_object() || entry.is_array();
            text << indent << "-" << (nested ? "" : " " + plainText(entry)) << "\n";
            if (nested) {
                addIndented(text, entry, indent + "  ");
            }
        }
        return;
    }
    text << indent << plainText(value) << "\n";
}

} // namespace

} // namespace internal

StatusView viewStatus(const boost::json::value &status)
{
    using internal::shownField;
    const internal::json::value members = internal::objectField(status, "members");
    const internal::json::value platform = internal::objectField(status, "platform");
    StatusView view;
    view.attention = internal::attentionOf(status);
    std::ostringstream text;
    text << (view.attention.empty() ? "healthy" : "attention") << "\n";
    for (const std::string &line : view.attention) {
        text << "  ! " << line << "\n";
    }
    text << "proxy: " << shownField(status, "vm") << " in " << shownField(status, "failure_domain") << ", version "
         << shownField(status, "version") << "\n";
    text << "configuration: applied " << shownField(status, "applied") << " of " << shownField(status, "log_next")
         << " records, lag " << shownField(status, "lag") << " (" << shownField(status, "lag_ms") << " ms)\n";
    text << "platform: log " << shownField(platform, "log") << ", VM list " << shownField(platform, "vm_list") << "\n";
    text << "proxies: " << shownField(members, "alive") << " alive, " << shownField(members, "suspect")
         << " suspected, " << shownField(members, "leaving") << " leaving, " << shownField(members, "dead")
         << " dead\n";
    internal::addList(text, status, "ejected", "ejected targets", { "service", "target", "phase", "for_ms" });
    internal::addList(text, status, "floors", "floors that bind", { "service", "floor", "in_service" });
    internal::addList(text, status, "limits", "limits that bite", { "account", "service", "limit", "refused" });
    view.text = text.str();
    return view;
}

std::string viewMembers(const boost::json::value &members)
{
    const std::vector<std::string> fields { "vm", "failure_domain", "status", "ready", "applied", "caller", "peer" };
    std::vector<std::vector<std::string>> lines { fields };
    const internal::json::array none;
    for (const internal::json::value &member : members.is_array() ? members.get_array() : none) {
        std::vector<std::string> line;
        for (const std::string &field : fields) {
            line.push_back(internal::shownField(member, field));
        }
        lines.push_back(std::move(line));
    }
    std::ostringstream text;
    internal::printColumns(lines, text);
    return text.str();
}

std::string viewDump(const boost::json::value &dump)
{
    std::ostringstream text;
    internal::addIndented(text, dump, "");
    return text.str();
}

} // namespace mulberryplank
