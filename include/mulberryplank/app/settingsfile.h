#pragma once

#include <map>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// The values of a settings file by variable name.
using SettingsFile = std::map<std::string, std::string>;

// Parses lines of the form NAME=VALUE, with the names of the environment variables. Empty lines and lines that begin
// with '#' are skipped. `fileName` names the file in errors. Errors: BadConfiguration with file, line and problem.
Result<SettingsFile> parseSettingsFile(std::string_view text, const std::string &fileName);

// Parses the file at `path`. Errors: as for parseSettingsFile(), and BadConfiguration when it can't be read.
Result<SettingsFile> readSettingsFile(const std::string &path);

} // namespace mulberryplank
