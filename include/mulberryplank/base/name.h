#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace mulberryplank
{

// A strongly typed name. Names with different tags don't convert into each other, so an account can't be passed where a
// service is expected.
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {
    }

    // Returns the name's text.
    const std::string &value() const
    {
        return m_value;
    }

    // Returns true if no name is set.
    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const Name &) const = default;

private:
    std::string m_value;
};

using AccountName = Name<struct AccountTag>;
using ServiceName = Name<struct ServiceTag>;
using TargetName = Name<struct TargetTag>;
using VmName = Name<struct VmTag>;
using FailureDomain = Name<struct FailureDomainTag>;

} // namespace mulberryplank

template<typename Tag>
struct std::hash<mulberryplank::Name<Tag>> {
    std::size_t operator()(const mulberryplank::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.value());
    }
};
