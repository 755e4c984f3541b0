#pragma once

#include <map>
#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// Variables by name.
using SettingsFile = std::map<std::string, std::string>;

// Reads lines of the form NAME=VALUE, with the names of the environment variables. Empty lines and lines that begin
// with
// '#' are passed over. `fileName` names the file in errors. Errors: BadConfiguration with fileName, line and what is
// wrong.
Result<SettingsFile> parseSettingsFile(std::string_view text, const std::string &fileName);

// Reads the file at `path`. Errors: BadConfiguration, also when it can't be read.
Result<SettingsFile> readSettingsFile(const std::string &path);

} // namespace mulberryplank
