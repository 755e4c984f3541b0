// The internal paths of a proxy and of a gateway, over loopback sockets, before they have a configuration and after.
#include <csignal>

#include <CppUTest/TestHarness.h>

#include "../net/pathtesthelp.h"
#include "directoryapi.h"
#include "gatewayprocess.h"
#include "logservice.h"
#include "proxyprocess.h"
#include "storetestrecords.h"

using namespace mulberryplank;
using mulberryplank::pathtest::Peer;

namespace
{

constexpr Instant::duration WaitLimit = std::chrono::seconds(20); // only bounds how long a faulty process can hang
constexpr const char *OperatorKey = "0123456789abcdef0123456789abcdef";

// Returns a loopback address with a port that is free at the moment.
Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address(pathtest::HostNumber), 0 });
    return { pathtest::HostNumber, acceptor.local_endpoint().port() };
}

struct Response {
    int status = 0;
    std::string body;
};

// Sends a request on a new connection. The response has status 0 if it is missing or incomplete.
Response request(const Endpoint &server,
                 const std::string &path,
                 const std::string &key = "",
                 const std::string &method = "GET")
{
    Peer caller(server);
    const std::string authorization = key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
    caller.write(method + " " + path + " HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n" + authorization + "\r\n");
    const std::string header = caller.readHeader();
    if (!header.starts_with("HTTP/1.1 ")) {
        return {};
    }
    const std::size_t size = std::stoul(pathtest::field(header, "Content-Length"));
    Response response { std::stoi(header.substr(9, 3)), caller.read(size) };
    return response.body.size() == size ? response : Response {};
}

// Waits until a GET request for `path` gets `status`.
void awaitStatus(const Endpoint &server, const std::string &path, int status, const std::string &key = "")
{
    const auto limit = std::chrono::steady_clock::now() + WaitLimit;
    while (request(server, path, key).status != status && std::chrono::steady_clock::now() < limit) {
        std::this_thread::yield();
    }
    LONGS_EQUAL(status, request(server, path, key).status);
}

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

// A service of the platform, on a thread of its own.
template<typename Service>
class PlatformThread
{
public:
    template<typename... Arguments>
    explicit PlatformThread(Arguments &&...arguments)
        : service(m_context, std::forward<Arguments>(arguments)...)
        , m_thread([this] {
            m_context.run();
        })
    {
    }
    PlatformThread(const PlatformThread &) = delete;
    PlatformThread &operator=(const PlatformThread &) = delete;

    ~PlatformThread()
    {
        m_context.stop();
        m_thread.join();
    }

private:
    boost::asio::io_context m_context;

public:
    Service service;

private:
    std::thread m_thread;
};

// Runs a proxy on a thread of its own.
class RunningProxy
{
public:
    explicit RunningProxy(const Endpoint &log)
        : m_process(settingsFor(log), ProxyKeys { { OperatorKey }, { OperatorKey } }, [](Event, auto) {})
        , m_thread([this] {
            m_process.run();
        })
    {
        awaitStatus(m_settings.admin, "/metrics", 200, OperatorKey);
    }
    RunningProxy(const RunningProxy &) = delete;
    RunningProxy &operator=(const RunningProxy &) = delete;

    ~RunningProxy()
    {
        request(m_settings.admin, "/-/drain", OperatorKey, "POST");
        request(m_settings.admin, "/-/drain", OperatorKey, "POST"); // ends the process at once
        m_thread.join();
    }

    const Settings &settings() const
    {
        return m_settings;
    }

    // Checks all paths, with and without credentials. `ready`: the status of a readiness check.
    void checkInternalPaths(int ready) const
    {
        checkResponses(m_settings.caller,
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
        checkResponses(m_settings.admin, ofOperators);
    }

private:
    const Settings &settingsFor(const Endpoint &log)
    {
        m_settings.vm = VmName("vm-1");
        m_settings.failureDomain = FailureDomain("domain-1");
        m_settings.caller = freeEndpoint();
        m_settings.admin = freeEndpoint();
        m_settings.peer = freeEndpoint();
        m_settings.log = log;
        m_settings.vmList = freeEndpoint();
        return m_settings;
    }

    Settings m_settings;
    ProxyProcess m_process;
    std::thread m_thread;
};

// Runs a gateway on a thread of its own.
class RunningGateway
{
public:
    explicit RunningGateway(const Endpoint &store)
        : m_process(
            settingsFor(store),
            [this] {
                return Result<GatewaySettings>(m_settings);
            },
            [](Event, auto) {},
            [] {
                return std::uint64_t { 0 };
            })
        , m_thread([this] {
            m_process.run();
        })
    {
        awaitStatus(m_settings.ready, "/metrics", 200);
    }
    RunningGateway(const RunningGateway &) = delete;
    RunningGateway &operator=(const RunningGateway &) = delete;

    ~RunningGateway()
    {
        std::raise(SIGTERM);
        awaitStatus(m_settings.ready, platform::ReadyPath, 503);
        std::raise(SIGTERM); // ends the process at once
        m_thread.join();
    }

    const GatewaySettings &settings() const
    {
        return m_settings;
    }

    void checkInternalPaths(int ready) const
    {
        checkResponses(
            m_settings.ready,
            { { platform::ReadyPath, "", ready }, { "/metrics", "", 200 }, { "/-/nope", "", 401 }, { "/", "", 401 } });
        checkResponses(m_settings.locate,
                       { { std::string(platform::LocatePath) + "?host=h&zone=domain-1", "", 200 },
                         { platform::LocatePath, "", 200 },
                         { "/-/nope", "", 401 } });
        // A gateway has no internal paths among those of callers.
        const int unknownRoute = ready == 200 ? 404 : 503;
        checkResponses(m_settings.caller, { { "/-/ready", "", unknownRoute }, { "/-/nope", "", unknownRoute } });
    }

private:
    const GatewaySettings &settingsFor(const Endpoint &store)
    {
        m_settings.vm = VmName("vm-1");
        m_settings.failureDomain = FailureDomain("domain-1");
        m_settings.caller = freeEndpoint();
        m_settings.ready = freeEndpoint();
        m_settings.locate = freeEndpoint();
        m_settings.peer = freeEndpoint();
        m_settings.store = store;
        return m_settings;
    }

    GatewaySettings m_settings;
    GatewayProcess m_process;
    std::thread m_thread;
};

} // namespace

TEST_GROUP(InternalPaths) {};

// Guards against a process that ends because of a request for an internal path.
TEST(InternalPaths, OfAProxyWithoutConfigurationGetWholeResponses)
{
    const RunningProxy proxy(freeEndpoint());
    proxy.checkInternalPaths(503);
}

TEST(InternalPaths, OfAReadyProxyGetWholeResponses)
{
    PlatformThread<standin::LogService> log(standin::LogServiceSettings {}, [] {
        return std::chrono::steady_clock::now();
    });
    const RunningProxy proxy({ pathtest::HostNumber, log.service.port() });
    awaitStatus(proxy.settings().caller, "/-/ready", 200);
    proxy.checkInternalPaths(200);
}

TEST(InternalPaths, OfAGatewayWithoutConfigurationGetWholeResponses)
{
    const RunningGateway gateway(freeEndpoint());
    gateway.checkInternalPaths(503);
}

TEST(InternalPaths, OfAReadyGatewayGetWholeResponses)
{
    PlatformThread<standin::PlatformStore> store(std::string(pathtest::HostNumber), std::uint16_t { 0 });
    platform::putEmptyConfiguration(store.service);
    const RunningGateway gateway({ pathtest::HostNumber, store.service.port() });
    awaitStatus(gateway.settings().ready, platform::ReadyPath, 200);
    gateway.checkInternalPaths(200);
}
