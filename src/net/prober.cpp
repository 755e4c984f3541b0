#include "mulberryplank/net/prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>

namespace mulberryplank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace internal
{

constexpr std::chrono::milliseconds ProbeTimeout { 1'000 };

// What a target said of itself.
struct ProbeAnswer {
    error_code error;
    bool leaving = false;
    bool cold = false;
    std::optional<std::uint32_t> inFlight;
};

asio::awaitable<ProbeAnswer> askHealth(asio::io_context &context, Endpoint endpoint)
{
    ProbeAnswer answer;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(ProbeTimeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, answer.error));
    if (answer.error) {
        co_return answer;
    }
    http::request<http::empty_body> request(http::verb::get, "/-/health", 11);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, answer.error));
    if (answer.error) {
        co_return answer;
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, answer.error));
    if (answer.error) {
        co_return answer;
    }
    answer.leaving = response.body().find("\"leaving\"") != std::string::npos || response["X-Draining"] == "1";
    answer.cold = response.body().find("\"cold\"") != std::string::npos;
    const auto load = response["X-Load"];
    std::uint32_t inFlight = 0;
    if (std::from_chars(load.data(), load.data() + load.size(), inFlight).ec == std::errc {}) {
        answer.inFlight = inFlight;
    }
    co_return answer;
}

} // namespace internal

Prober::Prober(asio::io_context &context, ServiceRegistry &services, PeerId self)
    : m_context(context)
    , m_services(services)
    , m_self(std::move(self))
    , m_plan(ProbePlanSettings {})
{
}

void Prober::setCarriers(const ServiceName &service, std::vector<PeerId> carriers)
{
    if (carriers.empty()) {
        m_carriers.erase(service);
    } else {
        m_carriers[service] = std::move(carriers);
    }
}

bool Prober::isMine(const std::vector<PeerId> &carriers, TargetId target, bool viewsDisagree) const
{
    const std::vector<PeerId> probers = m_plan.probers(carriers, target, viewsDisagree);
    return std::find(probers.begin(), probers.end(), m_self) != probers.end();
}

void Prober::tick(Instant now)
{
    for (const auto &[service, carriers] : m_carriers) {
        const std::optional<ServedService> served = m_services.find(service);
        if (!served) {
            continue;
        }
        for (TargetState &target : served->state->targets()) {
            const TargetId id = targetId(target.health.target);
            Instant &next = m_nextProbe[id];
            // One's own suspicion that the others don't share, or the other way round: a second look helps.
            const bool viewsDisagree = target.health.pathOnly;
            if (now < next || !isMine(carriers, id, viewsDisagree)) {
                continue;
            }
            next = now + m_plan.interval(viewsDisagree ? 2 : 1);
            asio::co_spawn(m_context, probe(served->state, std::move(target)), asio::detached);
        }
    }
}

asio::awaitable<void> Prober::probe(ServiceStatePtr service, TargetState target)
{
    const Instant started = Clock::now();
    const internal::ProbeAnswer answer = co_await internal::askHealth(m_context, target.endpoint);
    const Instant now = Clock::now();
    const std::optional<TargetIndex> index = service->targetIndex(target.health.target);
    if (!index) {
        co_return;
    }
    if (answer.error) {
        service->noteProbeFailed(*index, now - started, now);
    } else {
        service->noteProbe(*index, answer.leaving, answer.cold, answer.inFlight, now);
    }
}

} // namespace mulberryplank
