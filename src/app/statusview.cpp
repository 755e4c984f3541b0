#include "mulberryplank/app/statusview.h"

#include <algorithm>
#include <map>
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

// Proxies apply an edit within moments of each other, so that being one or two behind is no matter.
constexpr std::int64_t MaxNormalLag = 10;

// Lines of one list on the screen; the rest are counted.
constexpr std::size_t MaxListLines = 15;

using Lines = std::vector<std::vector<std::string>>;

// Returns the field at `key`, or nullptr.
const json::value *findField(const json::value &object, std::string_view key)
{
    const json::object *fields = object.if_object();
    return fields ? fields->if_contains(key) : nullptr;
}

std::string fieldText(const json::value &object, std::string_view key)
{
    const json::value *field = findField(object, key);
    return field ? plainText(*field) : "?";
}

std::int64_t numberField(const json::value &object, std::string_view key)
{
    const json::value *field = findField(object, key);
    boost::system::error_code problem;
    const auto number = field ? field->to_number<std::int64_t>(problem) : 0;
    return problem ? 0 : number;
}

bool isTrue(const json::value &object, std::string_view key)
{
    const json::value *field = findField(object, key);
    return field && field->is_bool() && field->get_bool();
}

json::array listField(const json::value &object, std::string_view key)
{
    const json::value *field = findField(object, key);
    return field && field->is_array() ? field->get_array() : json::array {};
}

// What the screen shows, gathered from the answer.
struct Findings {
    std::map<std::string, int> members; // by status
    std::int64_t lag = 0; // records that the farthest proxy has applied and this one hasn't
    Lines targets; // that are not healthy
    Lines floors; // that bind
    Lines limits; // that have refused something
    int ejected = 0;
};

void collectTargets(const json::value &service, Findings &findings)
{
    for (const json::value &target : listField(service, "targets")) {
        const std::string phase = fieldText(target, "phase");
        if (phase != "healthy") {
            const std::string domain = fieldText(target, "failure_domain");
            findings.targets.push_back({ fieldText(service, "service"), fieldText(target, "target"), domain, phase });
        }
        findings.ejected += phase == "ejected" ? 1 : 0;
    }
}

void collectLimits(const json::value &service, Findings &findings)
{
    for (const json::value &account : listField(service, "accounts")) {
        const json::value *refused = findField(account, "refused");
        const json::object *kinds = refused ? refused->if_object() : nullptr;
        for (const json::key_value_pair &kind : kinds ? *kinds : json::object {}) {
            if (numberField(*refused, kind.key()) > 0) {
                findings.limits.push_back({ fieldText(account, "account"),
                                            fieldText(service, "service"),
                                            std::string(kind.key()),
                                            plainText(kind.value()) });
            }
        }
    }
}

Findings collectFindings(const json::value &status)
{
    Findings findings;
    for (const json::value &member : listField(status, "members")) {
        ++findings.members[fieldText(member, "status")];
        const std::int64_t lag = numberField(member, "applied") - numberField(status, "applied");
        findings.lag = std::max(findings.lag, lag);
    }
    for (const json::value &service : listField(status, "services")) {
        collectTargets(service, findings);
        collectLimits(service, findings);
        if (isTrue(service, "floor_binds")) {
            findings.floors.push_back({ fieldText(service, "service"), fieldText(service, "floor") });
        }
    }
    return findings;
}

std::vector<std::string> findProblems(const json::value &status, const Findings &findings)
{
    std::vector<std::string> attention;
    const auto addIf = [&](bool condition, const std::string &text) {
        if (condition) {
            attention.push_back(text);
        }
    };
    addIf(!isTrue(status, "ready"), "the proxy is not ready");
    addIf(isTrue(status, "draining"), "the proxy is draining");
    addIf(!isTrue(status, "log_reachable"), "the log service does not answer");
    addIf(findings.lag > MaxNormalLag, "the configuration is behind that of other proxies");
    addIf(findings.members.contains("suspect"), "proxies are suspected");
    addIf(findings.ejected > 0, "targets are ejected");
    addIf(!findings.floors.empty(), "floors keep sick targets in service");
    return attention;
}

// Adds a list below its title.
void addList(std::ostringstream &text, const std::string &title, std::vector<std::string> heading, Lines lines)
{
    text << title << ": " << (lines.empty() ? "none" : std::to_string(lines.size())) << "\n";
    if (lines.empty()) {
        return;
    }
    const std::size_t hidden = lines.size() > MaxListLines ? lines.size() - MaxListLines : 0;
    lines.resize(lines.size() - hidden);
    lines.insert(lines.begin(), std::move(heading));
    for (std::vector<std::string> &line : lines) {
        line.front().insert(0, "  ");
    }
    printColumns(lines, text);
    if (hidden > 0) {
        text << "  and " << hidden << " more, see dump\n";
    }
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

StatusView renderStatus(const boost::json::value &status)
{
    using internal::fieldText;
    internal::Findings findings = internal::collectFindings(status);
    StatusView view;
    view.attention = internal::findProblems(status, findings);
    std::ostringstream text;
    text << (view.attention.empty() ? "healthy" : "attention") << "\n";
    for (const std::string &line : view.attention) {
        text << "  ! " << line << "\n";
    }
    text << "proxy: " << fieldText(status, "vm") << "\n";
    text << "configuration: " << fieldText(status, "applied") << " records applied, " << findings.lag
         << " behind the farthest proxy\n";
    text << "log service: " << (internal::isTrue(status, "log_reachable") ? "answers" : "does not answer") << "\n";
    text << "proxies: " << findings.members["alive"] << " alive, " << findings.members["suspect"] << " suspected, "
         << findings.members["leaving"] << " leaving, " << findings.members["dead"] << " dead\n";
    internal::addList(text,
                      "targets that are not healthy",
                      { "service", "target", "failure domain", "phase" },
                      std::move(findings.targets));
    internal::addList(text, "floors that bind", { "service", "floor" }, std::move(findings.floors));
    internal::addList(text,
                      "limits that have refused requests since the proxy started",
                      { "account", "service", "limit", "refused" },
                      std::move(findings.limits));
    view.text = text.str();
    return view;
}

std::string renderMembers(const boost::json::value &members)
{
    const std::vector<std::string> fields { "vm", "failure_domain", "status", "ready", "applied", "caller", "peer" };
    std::vector<std::vector<std::string>> lines { fields };
    const internal::json::array none;
    for (const internal::json::value &member : members.is_array() ? members.get_array() : none) {
        std::vector<std::string> line;
        for (const std::string &field : fields) {
            line.push_back(internal::fieldText(member, field));
        }
        lines.push_back(std::move(line));
    }
    std::ostringstream text;
    internal::printColumns(lines, text);
    return text.str();
}

std::string renderDump(const boost::json::value &dump)
{
    std::ostringstream text;
    internal::addIndented(text, dump, "");
    return text.str();
}

} // namespace mulberryplank
