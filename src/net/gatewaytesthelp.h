// Test fixture for a gateway's request path over loopback sockets. The test scripts callers and targets byte by byte.
#pragma once

#include <boost/asio/use_future.hpp>

#include "mulberryplank/net/gatewayserver.h"
#include "mulberryplank/net/poisonguard.h"
#include "pathtesthelp.h"

namespace mulberryplank::pathtest
{

// Returns a codec with header field names that only the tests use.
inline HeaderCodec testCodec()
{
    HeaderCodec codec;
    codec.readCaller = [](const boost::beast::http::fields &fields) {
        CallerFields caller;
        caller.attemptId = fieldValue(fields, "X-Attempt");
        caller.credentials = fieldValue(fields, "X-Key");
        caller.accountKey = caller.credentials;
        const std::string left(fieldValue(fields, "X-Left-Ms"));
        if (!left.empty()) {
            caller.timeLeft = Millis(std::stoi(left));
        }
        return caller;
    };
    codec.writeTarget = [](RequestHeader &header, const TargetFields &target) {
        header.set("X-Expected", target.expected.value());
        header.set("X-Left-Ms", std::to_string(std::chrono::duration_cast<Millis>(target.timeLeft).count()));
        if (target.isIdentified) {
            header.erase("X-Key");
            header.erase("X-Account");
        }
        if (!target.account.empty()) {
            header.set("X-Account", target.account.value());
        }
    };
    codec.challenge = "Test";
    codec.readResponse = [](const ResponseHeader &header) {
        ResponseFields response;
        response.attemptId = fieldValue(header, "X-Attempt");
        response.signedBody = !fieldValue(header, "X-Signed").empty();
        response.notRun = !fieldValue(header, "X-Refused").empty();
        response.wrongTarget = header.result_int() == 421;
        response.notice.isLeaving = !fieldValue(header, "X-Leaving").empty();
        const std::string rest(fieldValue(header, "X-Rest-Ms"));
        if (!rest.empty()) {
            response.notice.rest = Millis(std::stoi(rest));
        }
        const std::string rateLimit(fieldValue(header, "X-Rate-Limit"));
        if (!rateLimit.empty()) {
            response.rateLimit = std::stod(rateLimit);
        }
        return response;
    };
    return codec;
}

// Returns the header and body of a target's response to the request with that header.
inline std::string signedResponse(const std::string &requestHeader,
                                  const std::string &body,
                                  const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Attempt: " + field(requestHeader, "X-Attempt") + "\r\nX-Signed: yes\r\n" + more
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the header and body of the next response, or less when the connection ends before.
inline std::string readResponse(Peer &peer)
{
    const std::string header = peer.readHeader();
    const std::string length = field(header, "Content-Length");
    return header + peer.read(length.empty() ? 0 : std::stoul(length));
}

// A gateway with one worker and a service whose targets are named "t0", "t1" and so on.
class TestGateway
{
public:
    explicit TestGateway(const std::vector<std::uint16_t> &targetPorts, RouteKind kind, Duration timeout = Seconds(20))
        : worker(TargetPool::Settings {})
        , context { {}, WeightedSplit(1), {}, {}, {} }
        , service { TargetBalancer(BalancerSettings {}, 1), WindowBudget({ 0.2, Seconds(10), 10 }) }
        , poison(worker.context,
                 {},
                 {},
                 { [](const CrashMessage &) {},
                   [](const std::vector<QuarantinedRequest> &) {},
                   [](const std::vector<QuarantinedRequest> &, std::size_t) {},
                   [](const std::vector<QuarantinedRequest> &) {},
                   [] {
                       return false;
                   } },
                 [](Event, std::initializer_list<EventField>) {})
        , crashes(worker,
                  {},
                  { [this](RequestFingerprint request) {
                       return poison.hasSucceeded(request);
                   },
                    [this](const CrashReport &report) {
                        poison.recordCrash(report);
                    },
                    [] {
                        return false;
                    },
                    [this](TargetName target) {
                        return context.forward.paths.connectThroughRelay(std::move(target));
                    } },
                  [](Event, std::initializer_list<EventField>) {})
    {
        setTargets(targetPorts);
        setRoutes(kind, timeout);
        context.forward.worker = &worker;
        context.forward.codec = testCodec();
        context.forward.events = [](Event, std::initializer_list<EventField>) {};
        context.forward.service = [this](const ServiceName &) -> ForwardService & {
            return service;
        };
        context.forward.share = [](const AttemptReport &) {};
        context.forward.noteRateLimit =
            [this](const ServiceName &, const TargetName &target, const RateLimitNotice &notice) {
                service.balancer.noteRateLimit(target, notice, Clock::now());
            };
        context.forward.noteTargetNotice =
            [this](const ServiceName &, const TargetName &target, const TargetNotice &notice, Incarnation) {
                if (notice.rest) {
                    service.balancer.noteRest(target, Clock::now() + *notice.rest);
                }
                if (notice.isLeaving) {
                    service.balancer.noteLeaving(target);
                }
            };
        context.forward.requestBudget = [](const ServiceName &) {
            return false;
        };
        context.forward.quarantineLeft = [this](RequestFingerprint request) {
            return poison.quarantineLeft(request);
        };
        context.forward.requestSucceeded = [this](RequestFingerprint request) {
            poison.recordSuccess(request);
        };
        context.forward.requestFailed = [this](RequestFingerprint request) {
            poison.recordError(request);
        };
        context.forward.attemptLost = [this](const LostAttempt &lost) {
            crashes.attemptLost(lost);
        };
        context.forward.paths.usesRelays = [](const ServiceName &) {
            return false;
        };
        context.forward.paths.noteConnection = [](const ServiceName &, const TargetName &, bool, Instant) {};
        context.forward.paths.suspectPath = [](const ServiceName &) {};
        context.forward.paths.connectThroughRelay = [](TargetName) -> DataAwaitable<Result<TargetConnectionPtr>> {
            co_return failure(ErrorKind::ConnectFailed, "no relay");
        };
        context.routes = [this] {
            return routes;
        };
        context.awaitRoutes = [this]() -> DataAwaitable<void> {
            routes = pendingRoutes;
            co_return;
        };
        context.ensureTargets = []() -> DataAwaitable<bool> {
            co_return true;
        };
        context.ensureKnowledge = [](const ServiceName &) -> DataAwaitable<void> {
            co_return;
        };
        context.admit = [](const ClientAccount &, std::uint32_t) -> DataAwaitable<std::optional<Duration>> {
            co_return std::nullopt;
        };
        context.giveBack = [](const ClientAccount &) {};
        m_server = std::make_unique<GatewayServer>(context, Endpoint { HostNumber, 0 });
    }
    TestGateway(const TestGateway &) = delete;
    TestGateway &operator=(const TestGateway &) = delete;

    ~TestGateway()
    {
        worker.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    // Starts serving with the context that the test has set up before.
    void start()
    {
        m_server->start();
        m_thread = std::thread([this] {
            worker.run();
        });
    }

    Peer caller() const
    {
        return Peer(m_server->address());
    }

    // Returns a connection of a caller with a small receive buffer.
    Peer slowCaller()
    {
        constexpr int ReceiveBufferSize = 4'096; // bytes
        tcp::socket socket(m_callers);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferSize));
        socket.connect({ asio::ip::make_address(HostNumber), m_server->address().port });
        return Peer(std::move(socket));
    }

    // Returns a connection of a caller with that loopback address.
    Peer callerFrom(const std::string &address)
    {
        tcp::socket socket(m_callers);
        socket.open(tcp::v4());
        socket.bind({ asio::ip::make_address(address), 0 });
        socket.connect({ asio::ip::make_address(HostNumber), m_server->address().port });
        return Peer(std::move(socket));
    }

    // Calls `function` on the worker's thread and returns its result.
    template<typename Function>
    auto callOnWorker(Function function)
    {
        return asio::post(worker.context, asio::use_future(std::move(function))).get();
    }

    static std::string request(const std::string &method,
                               const std::string &id,
                               const std::string &fields = "",
                               const std::string &path = "/a/1?q=2")
    {
        return method + " " + path + " HTTP/1.1\r\nHost: press.example\r\nX-Attempt: " + id + "\r\n" + fields + "\r\n";
    }

    // Returns a request without a body that isn't idempotent.
    static std::string booking(const std::string &id)
    {
        return request("POST", id, "Content-Length: 0\r\n");
    }

    Worker worker;
    GatewayContext context;
    ForwardService service;
    PoisonGuard poison;
    CrashDetector crashes;
    RouteTablePtr routes;
    RouteTablePtr pendingRoutes; // in force after a request has waited for routes

private:
    void setTargets(const std::vector<std::uint16_t> &ports)
    {
        std::vector<ListedTarget> listed;
        for (const std::uint16_t port : ports) {
            ListedTarget target;
            target.target.id = TargetName("t" + std::to_string(listed.size()));
            target.target.endpoint = { HostNumber, port };
            target.target.slots = 4;
            listed.push_back(target);
        }
        service.balancer.configure(listed);
    }

    void setRoutes(RouteKind kind, Duration timeout)
    {
        HostRoute route;
        route.name = "all";
        route.pathPrefix = "/a/";
        route.kind = kind;
        route.timeout = timeout;
        route.targetLatency = timeout;
        route.maxAttempts = 2;
        route.services = { { ServiceName("s"), 1 } };
        RouteTable table;
        table.version = 1;
        table.hosts["press.example"] = { route };
        routes = std::make_shared<const RouteTable>(std::move(table));
    }

    std::unique_ptr<GatewayServer> m_server;
    std::thread m_thread;
    asio::io_context m_callers; // of slowCaller() and callerFrom()
};

} // namespace mulberryplank::pathtest
