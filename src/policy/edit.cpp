#include "mulberryplank/policy/edit.h"

#include "itemjson.h"

namespace mulberryplank
{

namespace internal
{

namespace json = boost::json;

constexpr std::uint64_t EditFormat = 1;

// A newer format is told apart from a damaged record, so that the operator sees that a proxy needs an upgrade.
void checkFormat(FieldReader &reader)
{
    std::uint64_t format = 0;
    reader.require("v");
    reader.read("v", format);
    if (format > EditFormat) {
        reader.fail("v", "format newer than 1 needs a newer mulberryplank");
    }
    if (format != EditFormat) {
        reader.fail("v", "must be 1");
    }
}

Change changeFromJson(const json::value &value, const std::string &path)
{
    FieldReader reader(value, path);
    Change change;
    reader.read("remove", change.remove);
    change.item = itemFromJson(reader, change.remove);
    reader.rejectUnknownFields();
    return change;
}

Edit editFromJson(const json::value &value)
{
    FieldReader reader(value, "");
    checkFormat(reader);
    Edit edit;
    reader.require("id");
    reader.read("id", edit.id);
    const json::value *changes = reader.find("changes");
    if (!changes || !changes->is_array()) {
        reader.fail("changes", "must be a list");
    }
    for (const json::value &change : changes->get_array()) {
        edit.changes.push_back(changeFromJson(change, "changes[" + std::to_string(edit.changes.size()) + "]"));
    }
    reader.rejectUnknownFields();
    return edit;
}

std::string labelOf(const Account &account)
{
    return "account " + account.name.value();
}

std::string labelOf(const Service &service)
{
    return "service " + service.name.value();
}

std::string labelOf(const Target &target)
{
    return "target " + target.name.value();
}

std::string labelOf(const Row &row)
{
    return "row (" + row.account.value() + ", " + row.service.value() + ")";
}

} // namespace internal

std::string itemLabel(const ConfigItem &item)
{
    return std::visit(
        [](const auto &value) {
            return internal::labelOf(value);
        },
        item);
}

std::string encodeItem(const ConfigItem &item)
{
    return boost::json::serialize(internal::toJson(item));
}

std::string encodeEdit(const Edit &edit)
{
    boost::json::array changes;
    for (const Change &change : edit.changes) {
        boost::json::object object = internal::toJson(change.item);
        if (change.remove) {
            object["remove"] = true;
        }
        changes.push_back(std::move(object));
    }
    const boost::json::object record {
        { "v", internal::EditFormat },
        { "id", edit.id.value() },
        { "changes", std::move(changes) },
    };
    return boost::json::serialize(record);
}

Result<Edit> decodeEdit(std::string_view record)
{
    try {
        const boost::json::value value = internal::parseJson(record);
        Edit edit = internal::editFromJson(value);
        if (const auto checked = checkEdit(edit); !checked) {
            return tl::make_unexpected(checked.error());
        }
        return edit;
    } catch (const internal::FieldError &error) {
        return failure(ErrorKind::BadConfiguration, error.detail);
    }
}

} // namespace mulberryplank
