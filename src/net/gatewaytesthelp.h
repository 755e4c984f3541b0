// A gateway's request path over real loopback sockets, with callers and targets that a test plays byte by byte.
#pragma once

#include "mulberryplank/net/gatewayserver.h"
#include "pathtesthelp.h"

namespace mulberryplank::pathtest
{

// Header fields by names of the tests' own.
inline HeaderCodec testCodec()
{
    HeaderCodec codec;
    codec.readCaller = [](const boost::beast::http::fields &fields) {
        CallerFields caller;
        caller.attemptId = fieldValue(fields, "X-Attempt");
        const std::string left(fieldValue(fields, "X-Left-Ms"));
        if (!left.empty()) {
            caller.timeLeft = Millis(std::stoi(left));
        }
        return caller;
    };
    codec.writeTarget = [](RequestHeader &header, const TargetFields &target) {
        header.set("X-Expected", target.expected.value());
        header.set("X-Left-Ms", std::to_string(std::chrono::duration_cast<Millis>(target.timeLeft).count()));
    };
    codec.readResponse = [](const ResponseHeader &header) {
        ResponseFields response;
        response.attemptId = fieldValue(header, "X-Attempt");
        response.signedBody = !fieldValue(header, "X-Signed").empty();
        response.notRun = !fieldValue(header, "X-Refused").empty();
        response.wrongTarget = header.result_int() == 421;
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

// One gateway with one worker and a service whose targets are named "t0", "t1" and so on.
class TestGateway
{
public:
    explicit TestGateway(const std::vector<std::uint16_t> &targetPorts, RouteKind kind, Duration timeout = Seconds(20))
        : worker(TargetPool::Settings {})
        , context { {}, WeightedSplit(1), {}, {}, {} }
        , service { TargetBalancer(BalancerSettings {}, 1), WindowBudget({ 0.2, Seconds(10), 10 }) }
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
        context.forward.requestBudget = [](const ServiceName &) {};
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

    // Begins to serve; what the test sets beforehand is in force from then on.
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

    static std::string request(const std::string &method,
                               const std::string &id,
                               const std::string &fields = "",
                               const std::string &path = "/a/1?q=2")
    {
        return method + " " + path + " HTTP/1.1\r\nHost: press.example\r\nX-Attempt: " + id + "\r\n" + fields + "\r\n";
    }

    Worker worker;
    GatewayContext context;
    ForwardService service;
    RouteTablePtr routes;
    RouteTablePtr pendingRoutes; // there once a request has waited for them

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
};

} // namespace mulberryplank::pathtest
