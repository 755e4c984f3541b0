#include "mulberryplank/app/logline.h"

#include <algorithm>

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

BOOST_FUSION_ADAPT_STRUCT(mulberryplank::LogField, key, value)
BOOST_FUSION_ADAPT_STRUCT(mulberryplank::LogLine, time, level, number, name, fields)

namespace mulberryplank
{

namespace internal
{

namespace
{

namespace x3 = boost::spirit::x3;

const x3::uint_parser<unsigned char, 16, 2, 2> HexCode;

// The grammar of formatEvent()'s lines.
const auto Word = x3::rule<struct WordRule, std::string> { "word" } = +~x3::char_(' ');
const auto Escaped = x3::rule<struct EscapedRule, char> {
    "escaped"
} = '\\' >> (x3::char_("\"\\") | ('n' >> x3::attr('\n')) | ('r' >> x3::attr('\r')) | ('x' >> HexCode));
const auto Quoted = x3::rule<struct QuotedRule, std::string> { "quoted" } = '"' >> *(Escaped | ~x3::char_("\"\\"))
                                                                            >> '"';
const auto Bare = x3::rule<struct BareRule, std::string> { "bare" } = *~x3::char_(" \"");
const auto Key = x3::rule<struct KeyRule, std::string> { "key" } = +~x3::char_(" =");
const auto Field = x3::rule<struct FieldRule, LogField> { "field" } = Key >> '=' >> (Quoted | Bare);
const auto Line = x3::rule<struct LineRule, LogLine> { "line" } = Word >> ' ' >> Word >> ' ' >> x3::int_ >> ' ' >> Word
                                                                  >> *(' ' >> Field);

} // namespace

} // namespace internal

bool LogLine::is(Event event) const
{
    return number == static_cast<int>(event);
}

std::string LogLine::field(std::string_view key) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [key](const LogField &candidate) {
        return candidate.key == key;
    });
    return found == fields.end() ? "" : found->value;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine parsed;
    auto begin = text.begin();
    const bool complete = internal::x3::parse(begin, text.end(), internal::Line, parsed) && begin == text.end();
    return complete ? std::optional(std::move(parsed)) : std::nullopt;
}

} // namespace mulberryplank
