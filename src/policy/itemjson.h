#pragma once

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "mulberryplank/policy/edit.h"

namespace mulberryplank::internal
{

// A field of a JSON text that can't be taken, with its path. Thrown and caught within the codecs only.
struct FieldError : std::exception {
    explicit FieldError(std::string text)
        : detail(std::move(text))
    {
    }

    std::string detail;
};

// Reads the fields of one JSON object and names the path of whatever is wrong with them.
class FieldReader
{
public:
    // Throws FieldError if `value` isn't an object.
    FieldReader(const boost::json::value &value, std::string path);

    // Each stores the field's value in `out`. A field that is missing leaves `out` alone, unless it is required.
    void read(std::string_view key, std::string &out);
    void read(std::string_view key, bool &out);
    void read(std::string_view key, double &out);
    void read(std::string_view key, SecretDigest &out);
    void read(std::string_view key, Detection &out);
    void read(std::string_view key, Millis &out);
    template<typename Tag>
    void read(std::string_view key, Name<Tag> &out)
    {
        std::string text = out.value();
        read(key, text);
        out = Name<Tag>(std::move(text));
    }
    template<typename Number>
    void read(std::string_view key, Number &out)
    {
        const boost::json::value *value = find(key);
        if (!value) {
            return;
        }
        boost::system::error_code error;
        const auto number = value->to_number<Number>(error);
        if (error) {
            fail(key, "must be a whole number in range");
        }
        out = number;
    }

    // Throws unless the object has the field.
    void require(std::string_view key) const;

    // Returns the field, or nullptr, and counts it as known.
    const boost::json::value *find(std::string_view key);

    // Throws if the object has a field that nobody asked for: a misspelt field would otherwise be lost silently.
    void rejectUnknownFields() const;

    [[noreturn]] void fail(std::string_view key, std::string_view rule) const;

    std::string pathOf(std::string_view key) const;

private:
    const boost::json::object *m_object = nullptr;
    std::string m_path;
    std::vector<std::string> m_known;
};

std::string toHex(const std::uint8_t *bytes, std::size_t size);
std::optional<SecretDigest> digestFromHex(std::string_view text);

boost::json::object toJson(const ConfigItem &item);

// Returns the item that `value` stands for; throws FieldError. An item to remove needs no more than its name.
ConfigItem itemFromJson(FieldReader &reader, bool remove);

// Returns the JSON value of `text`, or throws FieldError.
boost::json::value parseJson(std::string_view text);

} // namespace mulberryplank::internal
