#include "mulberryplank/app/keyfile.h"

#include <algorithm>
#include <cctype>
#include <fstream>

namespace mulberryplank
{

namespace internal
{

namespace
{

bool isKey(const std::string &line)
{
    const bool printable = std::all_of(line.begin(), line.end(), [](unsigned char letter) {
        return std::isgraph(letter) != 0;
    });
    return printable && line.size() >= MinKeyLength;
}

} // namespace

} // namespace internal

Result<std::vector<std::string>> readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorKind::BadConfiguration, path + ": cannot be read");
    }
    std::vector<std::string> keys;
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (!internal::isKey(line)) {
            return failure(ErrorKind::BadConfiguration,
                           path + " line " + std::to_string(number) + ": a key has at least "
                               + std::to_string(MinKeyLength) + " characters and no blanks");
        }
        keys.push_back(line);
    }
    if (keys.empty()) {
        return failure(ErrorKind::BadConfiguration, path + ": holds no key");
    }
    return keys;
}

} // namespace mulberryplank
