#include "mulberryplank/app/proxy.h"

#include <iostream>

#include <boost/system/system_error.hpp>

#include "mulberryplank/app/eventlog.h"
#include "mulberryplank/app/keyfile.h"
#include "proxyprocess.h"

namespace mulberryplank
{

int runProxy(const Settings &settings)
{
    const Result<std::vector<std::string>> operatorKeys = readKeyFile(settings.operatorKeyFile);
    const Result<std::vector<std::string>> fleetKeys = readKeyFile(settings.fleetKeyFile);
    if (!operatorKeys || !fleetKeys) {
        std::cerr << (operatorKeys ? fleetKeys : operatorKeys).error().detail << '\n';
        return 2;
    }
    EventLogSettings logSettings;
    logSettings.file = settings.logFile;
    logSettings.threshold = severityFromString(settings.logLevel).value_or(Severity::Info);
    logSettings.secrets = *operatorKeys;
    logSettings.secrets.insert(logSettings.secrets.end(), fleetKeys->begin(), fleetKeys->end());
    EventLog log(logSettings);
    try {
        ProxyProcess process(settings, ProxyKeys { *operatorKeys, *fleetKeys }, log.sink());
        return process.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "proxy " << settings.vm.value() << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace mulberryplank
