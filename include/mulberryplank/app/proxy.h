#pragma once

#include "mulberryplank/app/settings.h"

namespace mulberryplank
{

// Runs a proxy until it has drained after SIGTERM or SIGINT, and returns the process's exit code.
int runProxy(const Settings &settings);

} // namespace mulberryplank
