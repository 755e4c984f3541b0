#include "mulberryplank/policy/requestcheck.h"

#include <algorithm>
#include <string>

namespace mulberryplank
{

namespace internal
{

constexpr std::string_view LineEnd = "\r\n";

// What checkHeaderBlock() remembers of the fields that say where a request ends and whom it is for.
struct FramingFields {
    int contentLengths = 0;
    int transferEncodings = 0;
    int hosts = 0;
    bool chunked = false;
    std::string_view host;
};

bool equalsIgnoringCase(std::string_view text, std::string_view lowerCase)
{
    return std::equal(text.begin(), text.end(), lowerCase.begin(), lowerCase.end(), [](char a, char b) {
        return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
    });
}

bool startsIgnoringCase(std::string_view text, std::string_view lowerCase)
{
    return equalsIgnoringCase(text.substr(0, lowerCase.size()), lowerCase);
}

std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view Blank = " \t";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool hasControl(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), isControl);
}

bool isDigits(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

Result<void> reject(const char *what)
{
    return failure(ErrorKind::BadRequest, what);
}

Result<void> checkField(std::string_view line, FramingFields &fields)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return reject("header line continued on the next (obs-fold)");
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return reject("header line without a name");
    }
    const std::string_view name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos) {
        return reject("whitespace in or behind a header name");
    }
    const std::string_view value = trimBlanks(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "content-length")) {
        ++fields.contentLengths;
        if (!isDigits(value)) {
            return reject("Content-Length is not one whole number");
        }
    } else if (equalsIgnoringCase(name, "transfer-encoding")) {
        ++fields.transferEncodings;
        fields.chunked = equalsIgnoringCase(value, "chunked");
    } else if (equalsIgnoringCase(name, "host")) {
        ++fields.hosts;
        fields.host = value;
    }
    return {};
}

// An absolute-form target names a host of its own; two hosts in one request are two answers to whom it is for.
Result<void> checkRequestLine(std::string_view line, const FramingFields &fields)
{
    constexpr std::string_view Scheme = "http://";
    const std::size_t start = line.find(' ');
    const std::size_t end = line.rfind(' ');
    if (start == std::string_view::npos || start == end) {
        return reject("malformed request line");
    }
    const std::string_view target = line.substr(start + 1, end - start - 1);
    if (fields.transferEncodings > 0 && line.substr(end + 1) != "HTTP/1.1") {
        return reject("Transfer-Encoding needs HTTP/1.1");
    }
    if (target.starts_with('/') || target == "*") {
        return {};
    }
    if (!startsIgnoringCase(target, Scheme)) {
        return reject("request target is neither a path nor an http address");
    }
    const std::string_view rest = target.substr(Scheme.size());
    const std::string_view authority = rest.substr(0, rest.find_first_of("/?#"));
    if (authority != fields.host) {
        return reject("request target and Host differ");
    }
    return {};
}

Result<void> checkFraming(const FramingFields &fields)
{
    if (fields.hosts != 1) {
        return reject("there must be exactly one Host");
    }
    if (fields.contentLengths > 1) {
        return reject("more than one Content-Length");
    }
    if (fields.contentLengths > 0 && fields.transferEncodings > 0) {
        return reject("Content-Length together with Transfer-Encoding");
    }
    if (fields.transferEncodings > 1 || (fields.transferEncodings == 1 && !fields.chunked)) {
        return reject("Transfer-Encoding other than chunked");
    }
    return {};
}

} // namespace internal

std::optional<std::size_t> headerBlockLength(std::string_view buffered)
{
    std::size_t lineFeed = buffered.find('\n');
    while (lineFeed != std::string_view::npos) {
        const std::string_view rest = buffered.substr(lineFeed + 1);
        if (rest.starts_with('\n')) {
            return lineFeed + 2;
        }
        if (rest.starts_with(internal::LineEnd)) {
            return lineFeed + 1 + internal::LineEnd.size();
        }
        lineFeed = buffered.find('\n', lineFeed + 1);
    }
    return std::nullopt;
}

Result<void> checkHeaderBlock(std::string_view block)
{
    internal::FramingFields fields;
    std::string_view requestLine;
    while (true) {
        const std::size_t lineFeed = block.find('\n');
        if (lineFeed == std::string_view::npos || lineFeed == 0 || block[lineFeed - 1] != '\r') {
            return internal::reject("line that doesn't end in CRLF");
        }
        const std::string_view line = block.substr(0, lineFeed - 1);
        block.remove_prefix(lineFeed + 1);
        if (internal::hasControl(line)) {
            return internal::reject("control character in the header");
        }
        if (requestLine.empty()) {
            if (line.empty()) {
                return internal::reject("empty line before the request");
            }
            requestLine = line;
            continue;
        }
        if (line.empty()) {
            break;
        }
        if (Result<void> checked = internal::checkField(line, fields); !checked) {
            return checked;
        }
    }
    if (!block.empty()) {
        return internal::reject("bytes behind the header");
    }
    if (Result<void> checked = internal::checkFraming(fields); !checked) {
        return checked;
    }
    return internal::checkRequestLine(requestLine, fields);
}

} // namespace mulberryplank
