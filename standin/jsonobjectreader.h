#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace standin
{

// Reads the JSON object of a call that switches faults. Each extract… call hands out one member of the object and
// removes it, so that what is left over at the end was misspelt and can be refused by name.
class JsonObjectReader
{
public:
    // Throws std::invalid_argument when `text` is no JSON object.
    explicit JsonObjectReader(const std::string &text);

    // Stores the member named `name` in `value` if it is there. Throws std::invalid_argument for one of another type.
    void extract(std::string_view name, bool &value);
    void extract(std::string_view name, double &value);
    void extract(std::string_view name, std::string &value);

    // Returns a number that is at least 0, or nothing when it isn't there.
    std::optional<double> extractNumber(std::string_view name);

    // Throws std::invalid_argument naming a member that nobody took.
    void rejectUnknown() const;

private:
    const boost::json::value *find(std::string_view name) const;

    boost::json::object m_object;
};

} // namespace standin
