#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace standin
{

// Reads the members of a JSON object, such as a request that changes faults. Each extract function removes the member
// that it returns. Members that remain are unknown or misspelled, and rejectUnknown() reports them. Thread-compatible.
class JsonObjectReader
{
public:
    // Throws std::invalid_argument when `text` isn't a JSON object.
    explicit JsonObjectReader(const std::string &text);

    // Stores the member `name` in `value` if the object has it. Throws std::invalid_argument when it has another type.
    void extract(std::string_view name, bool &value);
    void extract(std::string_view name, double &value);
    void extract(std::string_view name, std::string &value);

    // Returns the member `name`, or nothing when the object doesn't have it. Throws std::invalid_argument when it isn't
    // a number of at least 0.
    std::optional<double> extractNumber(std::string_view name);

    // Throws std::invalid_argument with the name of a member that was not extracted, if there is one.
    void rejectUnknown() const;

private:
    const boost::json::value *find(std::string_view name) const;

    boost::json::object m_object;
};

} // namespace standin
