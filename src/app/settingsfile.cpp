#include "mulberryplank/app/settingsfile.h"

#include <fstream>
#include <iterator>

namespace mulberryplank
{

Result<SettingsFile> parseSettingsFile(std::string_view text, const std::string &fileName)
{
    SettingsFile settings;
    std::size_t number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        const std::size_t equals = line.find('=');
        const std::string where = fileName + ", line " + std::to_string(number) + ": ";
        if (equals == 0 || equals == std::string_view::npos) {
            return failure(ErrorKind::BadConfiguration, where + "allowed: NAME=VALUE");
        }
        const std::string name(line.substr(0, equals));
        if (!settings.emplace(name, line.substr(equals + 1)).second) {
            return failure(ErrorKind::BadConfiguration, where + name + " stands there twice");
        }
    }
    return settings;
}

Result<SettingsFile> readSettingsFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(ErrorKind::BadConfiguration, path + ": can't be read");
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return parseSettingsFile(text, path);
}

} // namespace mulberryplank
