// Test fixture for whole processes on threads of the test, over loopback sockets.
#pragma once

#include <csignal>

#include <CppUTest/TestHarness.h>

#include "../net/pathtesthelp.h"
#include "directoryapi.h"
#include "gatewayprocess.h"
#include "mulberryplank/net/clock.h"
#include "proxyprocess.h"

namespace mulberryplank::processtest
{

using pathtest::freeEndpoint;

constexpr Instant::duration StatusWaitLimit =
    std::chrono::seconds(20); // only bounds how long a faulty process can hang
constexpr const char *OperatorKey = "0123456789abcdef0123456789abcdef";

struct Response {
    int status = 0;
    std::string body;
};

// Sends a request on a new connection. The response has status 0 if it is missing or incomplete.
inline Response request(const Endpoint &server,
                        const std::string &path,
                        const std::string &key = "",
                        const std::string &method = "GET")
{
    pathtest::Peer caller(server);
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
inline void awaitStatus(const Endpoint &server, const std::string &path, int status, const std::string &key = "")
{
    const auto limit = Clock::now() + StatusWaitLimit;
    while (request(server, path, key).status != status && Clock::now() < limit) {
        std::this_thread::yield();
    }
    LONGS_EQUAL(status, request(server, path, key).status);
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
    // `events` is called on the gateway's thread.
    explicit RunningGateway(
        const Endpoint &store, EventSink events = [](Event, std::initializer_list<EventField>) {})
        : m_process(
            settingsFor(store),
            [this] {
                return Result<GatewaySettings>(m_settings);
            },
            std::move(events),
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
        std::raise(SIGINT); // ends the process at once
        m_thread.join();
    }

    const GatewaySettings &settings() const
    {
        return m_settings;
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

} // namespace mulberryplank::processtest
