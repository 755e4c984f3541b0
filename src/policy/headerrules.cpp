#include "mulberryplank/policy/headerrules.h"

#include <algorithm>
#include <array>

namespace mulberryplank
{

namespace internal
{

// Fields that concern one hop only (RFC 9110, 7.6.1), whether or not a Connection header names them.
constexpr std::array<std::string_view, 9> HopByHopFields {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",
};

// Fields towards a target that the product sets itself, or that are for the product alone. Expect is answered here.
constexpr std::array<std::string_view, 6> RequestFieldsNotForwarded {
    "Authorization", RequestIdHeader, DeadlineHeader, AccountHeader, IdempotencyKeyHeader, "Expect",
};

// Fields towards a caller that the product sets itself, or that are between it and its targets.
constexpr std::array<std::string_view, 5> ResponseFieldsNotForwarded {
    RequestIdHeader, OutcomeHeader, NotRunHeader, LoadHeader, DrainingHeader,
};

// Fields without which an answer can't be read whole; a Connection header that names them is not obeyed.
constexpr std::array<std::string_view, 2> AlwaysEndToEnd {
    "Content-Length",
    "Content-Range",
};

constexpr std::array<std::string_view, 6> ConditionalFields {
    "Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool sameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

template<std::size_t Size>
bool contains(const std::array<std::string_view, Size> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return sameName(candidate, name);
    });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

bool connectionLists(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const std::size_t comma = std::min(connection.find(','), connection.size());
        if (sameName(trimmed(connection.substr(0, comma)), name)) {
            return true;
        }
        connection.remove_prefix(std::min(comma + 1, connection.size()));
    }
    return false;
}

} // namespace internal

bool isEndToEnd(std::string_view name, std::string_view connection)
{
    if (internal::contains(internal::HopByHopFields, name)) {
        return false;
    }
    return internal::contains(internal::AlwaysEndToEnd, name) || !internal::connectionLists(connection, name);
}

bool forwardToTarget(std::string_view name, std::string_view connection)
{
    return isEndToEnd(name, connection) && !internal::contains(internal::RequestFieldsNotForwarded, name);
}

bool forwardToCaller(std::string_view name, std::string_view connection)
{
    return isEndToEnd(name, connection) && !internal::contains(internal::ResponseFieldsNotForwarded, name);
}

bool replacedOnResume(std::string_view name)
{
    return internal::contains(internal::ConditionalFields, name);
}

} // namespace mulberryplank
