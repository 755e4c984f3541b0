#include "jsonobjectreader.h"

#include <stdexcept>

#include <boost/json/parse.hpp>

namespace standin
{

JsonObjectReader::JsonObjectReader(const std::string &text)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    if (error || !parsed.is_object()) {
        throw std::invalid_argument("expected a JSON object");
    }
    m_object = parsed.as_object();
}

void JsonObjectReader::extract(std::string_view name, bool &value)
{
    const boost::json::value *found = find(name);
    if (!found) {
        return;
    }
    if (!found->is_bool()) {
        throw std::invalid_argument(std::string(name) + " must be true or false");
    }
    value = found->as_bool();
    m_object.erase(name);
}

void JsonObjectReader::extract(std::string_view name, double &value)
{
    value = extractNumber(name).value_or(value);
}

void JsonObjectReader::extract(std::string_view name, std::string &value)
{
    const boost::json::value *found = find(name);
    if (!found) {
        return;
    }
    if (!found->is_string()) {
        throw std::invalid_argument(std::string(name) + " must be a string");
    }
    value = std::string(found->as_string());
    m_object.erase(name);
}

std::optional<double> JsonObjectReader::extractNumber(std::string_view name)
{
    const boost::json::value *found = find(name);
    if (!found) {
        return std::nullopt;
    }
    if (!found->is_number() || found->to_number<double>() < 0) {
        throw std::invalid_argument(std::string(name) + " must be a number of at least 0");
    }
    const double number = found->to_number<double>();
    m_object.erase(name);
    return number;
}

void JsonObjectReader::rejectUnknown() const
{
    if (!m_object.empty()) {
        throw std::invalid_argument("unknown field: " + std::string(m_object.begin()->key()));
    }
}

const boost::json::value *JsonObjectReader::find(std::string_view name) const
{
    return m_object.if_contains(name);
}

} // namespace standin
