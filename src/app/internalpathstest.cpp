// The internal paths of a proxy and of a gateway, over loopback sockets, before they have a configuration and after.
#include "logservice.h"
#include "processtesthelp.h"
#include "storetestrecords.h"

using namespace mulberryplank;
using namespace mulberryplank::processtest;

namespace
{

struct ExpectedResponse {
    std::string path;
    std::string key;
    int status;
};

// Requests each path several times, in turn.
void checkResponses(const Endpoint &server, const std::vector<ExpectedResponse> &responses)
{
    for (int round = 0; round < 3; ++round) {
        for (const ExpectedResponse &expected : responses) {
            LONGS_EQUAL_TEXT(
                expected.status, request(server, expected.path, expected.key).status, expected.path.c_str());
        }
    }
}

// Checks all paths, with and without credentials. `ready`: the status of a readiness check.
void checkInternalPaths(const Settings &settings, int ready)
{
    checkResponses(settings.caller,
                   { { "/-/ready", "", ready },
                     { "/-/ready", "a.secret", ready },
                     { "/-/", "", 401 },
                     { "/-/nope", "a.secret", 401 },
                     { "/-/locate/s", "", 401 },
                     { "/-/locate/s", "a.secret", 401 },
                     { "/metrics", "", 401 },
                     { "/-/dump", "", 401 } });
    std::vector<ExpectedResponse> ofOperators { { "/-/ready", "", ready } };
    for (const char *page : { "status", "dump", "table", "services", "targets", "members", "accounts" }) {
        ofOperators.push_back({ std::string("/-/") + page, OperatorKey, 200 });
        ofOperators.push_back({ std::string("/-/") + page, "", 401 });
    }
    ofOperators.insert(ofOperators.end(),
                       { { "/metrics", OperatorKey, 200 },
                         { "/-/ready", OperatorKey, ready },
                         { "/-/nope", OperatorKey, 404 },
                         { "/-/", OperatorKey, 404 },
                         { "/-/edit", OperatorKey, 404 },
                         { "/-/nope", "", 401 } });
    checkResponses(settings.admin, ofOperators);
}

void checkInternalPaths(const GatewaySettings &settings, int ready)
{
    checkResponses(
        settings.ready,
        { { platform::ReadyPath, "", ready }, { "/metrics", "", 200 }, { "/-/nope", "", 401 }, { "/", "", 401 } });
    checkResponses(settings.locate,
                   { { std::string(platform::LocatePath) + "?host=h&zone=domain-1", "", 200 },
                     { platform::LocatePath, "", 200 },
                     { "/-/nope", "", 401 } });
    // A gateway has no internal paths among those of callers.
    const int unknownRoute = ready == 200 ? 404 : 503;
    checkResponses(settings.caller, { { "/-/ready", "", unknownRoute }, { "/-/nope", "", unknownRoute } });
}

} // namespace

TEST_GROUP(InternalPaths) {};

// Guards against a process that ends because of a request for an internal path.
TEST(InternalPaths, OfAProxyWithoutConfigurationGetWholeResponses)
{
    const RunningProxy proxy(freeEndpoint());
    checkInternalPaths(proxy.settings(), 503);
}

TEST(InternalPaths, OfAReadyProxyGetWholeResponses)
{
    PlatformThread<standin::LogService> log(standin::LogServiceSettings {}, [] {
        return std::chrono::steady_clock::now();
    });
    const RunningProxy proxy({ pathtest::HostNumber, log.service.port() });
    awaitStatus(proxy.settings().caller, "/-/ready", 200);
    checkInternalPaths(proxy.settings(), 200);
}

TEST(InternalPaths, OfAGatewayWithoutConfigurationGetWholeResponses)
{
    const RunningGateway gateway(freeEndpoint());
    checkInternalPaths(gateway.settings(), 503);
}

TEST(InternalPaths, OfAReadyGatewayGetWholeResponses)
{
    PlatformThread<standin::PlatformStore> store(std::string(pathtest::HostNumber), std::uint16_t { 0 });
    platform::putEmptyConfiguration(store.service);
    const RunningGateway gateway({ pathtest::HostNumber, store.service.port() });
    awaitStatus(gateway.settings().ready, platform::ReadyPath, 200);
    checkInternalPaths(gateway.settings(), 200);
}
