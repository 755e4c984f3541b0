#include "download.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <vector>

namespace standin
{

namespace
{

constexpr std::string_view DownloadPrefix = "/download/";
constexpr std::string_view BytesUnit = "bytes=";
// A prime, so that the period of the content differs from any chunk size of a reader, which is usually a power of two.
constexpr std::size_t PatternBytes = 65'521;
constexpr unsigned PatternSeed = 7;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::vector<unsigned char> makePattern()
{
    std::mt19937 random(PatternSeed);
    std::vector<unsigned char> pattern(PatternBytes);
    std::generate(pattern.begin(), pattern.end(), [&random] {
        return static_cast<unsigned char>(random());
    });
    return pattern;
}

RangeSelection suffixRange(std::uint64_t count, std::uint64_t size)
{
    if (count == 0 || size == 0) {
        return { RangeKind::Unsatisfiable, {} };
    }
    return { RangeKind::Part, { size - std::min(count, size), size } };
}

RangeSelection boundedRange(std::uint64_t first, std::optional<std::uint64_t> last, std::uint64_t size)
{
    if (first >= size) {
        return { RangeKind::Unsatisfiable, {} };
    }
    if (last && *last < first) {
        return {};
    }
    const std::uint64_t end = last ? std::min(*last, size - 1) + 1 : size;
    return { RangeKind::Part, { first, end } };
}

} // namespace

std::optional<std::uint64_t> downloadSize(std::string_view path)
{
    if (!path.starts_with(DownloadPrefix)) {
        return std::nullopt;
    }
    return parseNumber(path.substr(DownloadPrefix.size()));
}

std::string downloadETag(std::uint64_t size)
{
    return "\"" + std::to_string(size) + "-" + std::to_string(PatternSeed) + "\"";
}

RangeSelection selectRange(std::string_view range, std::string_view ifRange, std::uint64_t size)
{
    const RangeSelection whole { RangeKind::Whole, { 0, size } };
    if (!range.starts_with(BytesUnit) || (!ifRange.empty() && ifRange != downloadETag(size))) {
        return whole;
    }
    range.remove_prefix(BytesUnit.size());
    const auto dash = range.find('-');
    if (dash == std::string_view::npos) {
        return whole;
    }
    const std::string_view lastText = range.substr(dash + 1);
    const auto first = parseNumber(range.substr(0, dash));
    const auto last = parseNumber(lastText);
    if (!last && !lastText.empty()) {
        return whole;
    }
    if (dash == 0) {
        return last ? suffixRange(*last, size) : whole;
    }
    if (!first) {
        return whole;
    }
    const RangeSelection selection = boundedRange(*first, last, size);
    return selection.kind == RangeKind::Whole ? whole : selection;
}

boost::asio::const_buffer contentAt(std::uint64_t offset, std::uint64_t maxBytes)
{
    static const std::vector<unsigned char> Pattern = makePattern();
    const std::size_t startIndex = offset % PatternBytes;
    const std::uint64_t count = std::min<std::uint64_t>(maxBytes, PatternBytes - startIndex);
    return { Pattern.data() + startIndex, static_cast<std::size_t>(count) };
}

} // namespace standin
