#include "mulberryplank/policy/bodyprogress.h"

#include <algorithm>
#include <charconv>

namespace mulberryplank
{

namespace internal
{

constexpr int StatusOk = 200;
constexpr int StatusPartialContent = 206;

// Takes a whole number and the separator behind it ('\0': the end) off the front of `text`.
std::optional<std::uint64_t> parseNumber(std::string_view &text, char separator)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc {}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed - text.data()));
    if (separator == '\0') {
        return text.empty() ? std::optional(value) : std::nullopt;
    }
    if (!text.starts_with(separator)) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return value;
}

// Returns the bytes of the representation that an answer with this header holds, if it says so without contradiction.
std::optional<ByteRange> rangeOf(const BodyHeader &header)
{
    if (header.framing != BodyFraming::Length || header.length == 0) {
        return std::nullopt;
    }
    if (header.status == StatusOk) {
        return ByteRange { 0, header.length - 1, header.length };
    }
    if (header.status != StatusPartialContent) {
        return std::nullopt;
    }
    const std::optional<ByteRange> range = parseContentRange(header.contentRange);
    if (!range || range->last - range->first + 1 != header.length) {
        return std::nullopt;
    }
    return range;
}

} // namespace internal

std::optional<ByteRange> parseContentRange(std::string_view value)
{
    constexpr std::string_view Unit = "bytes ";
    if (!value.starts_with(Unit)) {
        return std::nullopt;
    }
    value.remove_prefix(Unit.size());
    const auto first = internal::parseNumber(value, '-');
    const auto last = first ? internal::parseNumber(value, '/') : std::nullopt;
    const auto total = last ? internal::parseNumber(value, '\0') : std::nullopt;
    if (!total || *first > *last || *last >= *total) {
        return std::nullopt;
    }
    return ByteRange { *first, *last, *total };
}

bool isStrongEtag(std::string_view etag)
{
    constexpr std::size_t Quotes = 2;
    if (etag.size() < Quotes || etag.front() != '"' || etag.back() != '"') {
        return false;
    }
    return etag.substr(1, etag.size() - Quotes).find('"') == std::string_view::npos;
}

BodyProgress::BodyProgress(BodyHeader header)
    : m_header(std::move(header))
    , m_range(internal::rangeOf(m_header))
{
}

std::uint64_t BodyProgress::accept(std::uint64_t bytes)
{
    std::uint64_t accepted = bytes;
    if (m_header.framing == BodyFraming::None) {
        accepted = 0;
    } else if (m_header.framing == BodyFraming::Length) {
        accepted = std::min(bytes, m_header.length - m_received);
    }
    m_received += accepted;
    return accepted;
}

std::uint64_t BodyProgress::received() const
{
    return m_received;
}

bool BodyProgress::complete() const
{
    switch (m_header.framing) {
    case BodyFraming::None:
        return true;
    case BodyFraming::Length:
        return m_received == m_header.length;
    case BodyFraming::Chunked:
    case BodyFraming::UntilClose:
        return false;
    }
    return false;
}

bool BodyProgress::isCompleteAtEnd() const
{
    return m_header.framing == BodyFraming::Chunked || complete();
}

std::optional<ResumeRequest> BodyProgress::resumeRequest() const
{
    if (!m_range || !isStrongEtag(m_header.etag) || complete()) {
        return std::nullopt;
    }
    const std::string first = std::to_string(m_range->first + m_received);
    const std::string last = std::to_string(m_range->last);
    return ResumeRequest { "bytes=" + first + "-" + last, m_header.etag };
}

bool BodyProgress::isContinuedBy(const BodyHeader &header) const
{
    if (!resumeRequest() || header.status != internal::StatusPartialContent || header.etag != m_header.etag) {
        return false;
    }
    const ByteRange missing { m_range->first + m_received, m_range->last, m_range->total };
    return internal::rangeOf(header) == missing;
}

} // namespace mulberryplank
