#pragma once

#include "mulberryplank/app/gatewaysettings.h"

namespace mulberryplank
{

// Runs a gateway until it has drained after SIGTERM or SIGINT, and returns the process's exit code. `reload` reads the
// settings again. It is called on SIGHUP and when the settings file has changed.
int runGateway(const GatewaySettings &settings, const std::function<Result<GatewaySettings>()> &reload);

} // namespace mulberryplank
