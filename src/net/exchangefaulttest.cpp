// The promises of one request under random schedules of target faults, over real sockets.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

enum class Fault {
    None,
    RefusedAfterAccept,
    ResetAfterRequest,
    ResetWithinAnswer,
    Truncated,
    Silent,
    WrongId,
    Shed,
    Count
};

using Schedule = std::vector<Fault>;

// What the targets saw, by path.
struct Seen {
    std::mutex mutex;
    std::map<std::string, int> runs;
};

std::string bodyFor(const std::string &path)
{
    return "answer to " + path + std::string(3'000, '.');
}

// A target that takes the faults of a schedule in turn, one for each request.
class FaultyTarget
{
public:
    FaultyTarget(Schedule schedule, Seen &seen)
        : m_schedule(std::move(schedule))
        , m_seen(seen)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(HostNumber), 0))
        , m_thread([this] {
            acceptAll();
        })
    {
    }

    // To be called after the proxy has gone, which closes all connections but one of ours that ends accept().
    ~FaultyTarget()
    {
        m_stopping = true;
        Peer last(Endpoint { HostNumber, port() });
        m_thread.join();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    void acceptAll()
    {
        std::vector<std::thread> connections;
        while (true) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_stopping) {
                break;
            }
            connections.emplace_back([this, peer = std::make_shared<Peer>(std::move(socket))] {
                while (serveOne(*peer)) {
                }
            });
        }
        for (std::thread &connection : connections) {
            connection.join();
        }
    }

    bool serveOne(Peer &peer)
    {
        const Fault fault = m_schedule[m_next++ % m_schedule.size()];
        if (fault == Fault::RefusedAfterAccept) {
            peer.reset();
            return false;
        }
        const std::string request = peer.readHeader();
        if (!request.ends_with("\r\n\r\n")) {
            return false;
        }
        const std::size_t begin = request.find(' ') + 1;
        const std::string path = request.substr(begin, request.find(' ', begin) - begin);
        if (fault == Fault::Shed) {
            return peer.write("HTTP/1.1 503 Busy\r\nX-Request-Id: " + field(request, "X-Request-Id")
                              + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
        {
            const std::lock_guard lock(m_seen.mutex);
            ++m_seen.runs[path];
        }
        return answer(peer, fault, request, path);
    }

    static bool answer(Peer &peer, Fault fault, const std::string &request, const std::string &path)
    {
        const std::string whole = answerTo(request, bodyFor(path));
        switch (fault) {
        case Fault::ResetAfterRequest:
            peer.reset();
            return false;
        case Fault::ResetWithinAnswer:
            peer.write(whole.substr(0, whole.size() / 2));
            peer.reset();
            return false;
        case Fault::Truncated:
            peer.write(whole.substr(0, whole.size() - 1));
            return false;
        case Fault::Silent:
            peer.readToEnd();
            return false;
        case Fault::WrongId:
            return peer.write(answerTo("\r\nX-Request-Id: other\r\n", bodyFor("/other")));
        default:
            return peer.write(whole);
        }
    }

    Schedule m_schedule;
    Seen &m_seen;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_next { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

void checkOne(const TestProxy &proxy, Seen &seen, const std::string &method, const std::string &path)
{
    Peer caller = proxy.caller();
    caller.write(TestProxy::request(method, path, "Content-Length: 0\r\n"));
    const std::string header = caller.readHeader();
    const std::size_t length = std::strtoul(field(header, "Content-Length").c_str(), nullptr, 10);
    const std::string body = caller.read(length);
    caller.reset(); // hundreds of ports left waiting would be missing to other tests that bind one
    const std::lock_guard lock(seen.mutex);
    if (method == "POST") {
        RC_ASSERT(seen.runs[path] <= 1);
    }
    if (field(header, "X-Outcome") == "not-run") {
        RC_ASSERT(seen.runs[path] == 0);
    }
    if (header.starts_with("HTTP/1.1 200") && body.size() == length) {
        RC_ASSERT(body == bodyFor(path));
    }
}

} // namespace

TEST_GROUP(ExchangeFaults) {};

TEST(ExchangeFaults, KeepThePromisesOfEachRequest)
{
    CHECK_TRUE(rc::check("no fault of targets breaks a promise", [] {
        const auto fault = rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::Count)), [](int value) {
            return static_cast<Fault>(value);
        });
        const auto schedules = rc::gen::container<std::vector<Schedule>>(2, rc::gen::container<Schedule>(6, fault));
        const std::vector<Schedule> drawn = *schedules;
        Seen seen;
        FaultyTarget one(drawn[0], seen);
        FaultyTarget other(drawn[1], seen);
        Route get = routeForAll(true, Millis(150), Millis(100));
        get.method = "GET";
        TestProxy proxy({ one.port(), other.port() }, { get, routeForAll(false, Millis(100), Millis(100)) });
        for (int request = 0; request < 6; ++request) {
            checkOne(proxy, seen, request % 2 == 0 ? "GET" : "POST", "/" + std::to_string(request));
        }
    }));
}
