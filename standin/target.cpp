#include "target.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <stdexcept>

#include <boost/json/serialize.hpp>

#include "jsonobjectreader.h"

namespace standin
{

namespace
{

constexpr const char *RequestIdHeader = "X-Request-Id";
constexpr const char *DeadlineHeader = "X-Deadline-Ms";
constexpr const char *LoadHeader = "X-Load";
constexpr const char *NotRunHeader = "X-Not-Run";
constexpr const char *DrainingHeader = "X-Draining";
constexpr const char *AccountHeader = "X-Account";
constexpr double LogNormalSigma = 1.0;
constexpr double ColdFactor = 5;
constexpr std::uint64_t DownloadChunk = std::uint64_t { 64 } << 10;
constexpr std::uint64_t MaxDeadlineMillis = 24ULL * 3600 * 1000; // a larger deadline would overflow the clock

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && parsed.ec == std::errc {} ? std::optional(number) : std::nullopt;
}

// Releases a slot at the end of its scope, however the request ends.
class SlotGuard
{
public:
    explicit SlotGuard(Slots &slots)
        : m_slots(slots)
    {
    }
    ~SlotGuard()
    {
        m_slots.release();
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    Slots &m_slots;
};

} // namespace

Target::Target(asio::io_context &context, TargetSettings settings, Clock clock)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_startedAt(m_clock())
    , m_slots(context, m_settings.slots, m_settings.queue)
    , m_faultsAt(m_startedAt)
    , m_random(m_settings.seed)
    , m_server(context, m_settings.address, m_settings.port, [this](Connection &connection) {
        return handle(connection);
    })
{
    m_server.setMaxBodySize(m_settings.maxBody);
    if (m_settings.name.empty()) {
        m_settings.name = "target-" + std::to_string(port());
    }
}

std::uint16_t Target::port() const
{
    return m_server.port();
}

const TargetCounters &Target::counters() const
{
    return m_counters;
}

void Target::stop()
{
    m_server.stop();
    for (asio::steady_timer *timer : m_heldRequests) {
        timer->cancel();
    }
}

asio::awaitable<ConnectionAction> Target::handle(Connection &connection)
{
    const std::string_view path = requestPath(connection.request().target());
    if (!path.starts_with("/-/")) {
        co_return co_await handleWork(connection);
    }
    if (path == "/-/health") {
        co_return co_await handleProbe(connection);
    }
    co_await connection.send(handleControl(connection, path));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> Target::handleProbe(Connection &connection)
{
    ++m_counters.probes;
    const TargetFaults faults = currentFaults();
    if (faults.lieHealth) {
        co_await connection.send(health());
        co_return ConnectionAction::KeepOpen;
    }
    if (co_await m_slots.acquire(connection, Instant::max(), false) != Admission::Granted) {
        co_return ConnectionAction::Close;
    }
    const SlotGuard slot(m_slots);
    const Outcome outcome = drawOutcome(faults);
    if (outcome == Outcome::Hung) {
        co_await connection.waitUntilClosed();
    }
    if (outcome == Outcome::Reset) {
        co_return ConnectionAction::Reset;
    }
    if (outcome == Outcome::Hung || !co_await waitServiceTime(connection, m_settings.probeMs)) {
        co_return ConnectionAction::Close;
    }
    Response response = health();
    if (outcome == Outcome::Error) {
        response.result(http::status::internal_server_error);
    }
    co_await connection.send(std::move(response));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> Target::handleWork(Connection &connection)
{
    const Admission admission = co_await m_slots.acquire(connection, deadlineOf(connection.request()), true);
    if (admission != Admission::Granted) {
        co_return co_await reject(connection, admission);
    }
    const SlotGuard slot(m_slots);
    co_return co_await run(connection);
}

asio::awaitable<ConnectionAction> Target::reject(Connection &connection, Admission admission)
{
    if (admission == Admission::Closed) {
        ++m_counters.cancelled;
        co_return ConnectionAction::Close;
    }
    const bool late = admission == Admission::DeadlinePassed;
    ++(late ? m_counters.late : m_counters.shed);
    Response response = errorResponse(late ? http::status::gateway_timeout : http::status::service_unavailable,
                                      late ? "deadline before start" : "shed");
    response.set(NotRunHeader, "1");
    if (!late) {
        response.set(http::field::retry_after, "1");
    }
    addHeaders(response, connection.request()[RequestIdHeader]);
    co_await connection.send(std::move(response));
    co_return ConnectionAction::KeepOpen;
}

asio::awaitable<ConnectionAction> Target::run(Connection &connection)
{
    const Request &request = connection.request();
    ++m_counters.started;
    m_counters.startedWhileLeaving += m_leaving ? 1 : 0;
    m_runs.count(request);
    const Outcome outcome = drawOutcome(currentFaults());
    if (outcome == Outcome::Hung) {
        co_await connection.waitUntilClosed();
        co_return finished(false);
    }
    if (!co_await waitServiceTime(connection, drawServiceMs()) || !co_await holdIfRequested(connection)) {
        co_return finished(false);
    }
    if (outcome == Outcome::Reset) {
        co_return ConnectionAction::Reset;
    }
    const auto size = downloadSize(requestPath(request.target()));
    if (size && outcome != Outcome::Error) {
        co_return co_await download(connection, *size, outcome);
    }
    co_return co_await respond(connection, outcome);
}

asio::awaitable<ConnectionAction> Target::respond(Connection &connection, Outcome outcome)
{
    Response response = outcome == Outcome::Error ? errorResponse(http::status::internal_server_error, "failed")
                                                  : makeResponse(connection.request());
    if (outcome == Outcome::Error) {
        addHeaders(response, connection.request()[RequestIdHeader]);
    }
    if (outcome != Outcome::Truncated && outcome != Outcome::Stalled) {
        co_return finished(co_await connection.send(std::move(response)));
    }
    response.prepare_payload();
    std::ostringstream head;
    head << response.base();
    const std::string bytes = head.str() + response.body().substr(0, response.body().size() / 2);
    co_await connection.sendRaw(asio::buffer(bytes));
    if (outcome == Outcome::Stalled) {
        co_await connection.waitUntilClosed();
    }
    co_return finished(false);
}

asio::awaitable<ConnectionAction> Target::download(Connection &connection, std::uint64_t size, Outcome outcome)
{
    const Request &request = connection.request();
    const RangeSelection range = selectRange(request[http::field::range], request[http::field::if_range], size);
    if (range.kind == RangeKind::Unsatisfiable) {
        Response response = errorResponse(http::status::range_not_satisfiable, "no such range");
        response.set(http::field::content_range, "bytes */" + std::to_string(size));
        addHeaders(response, request[RequestIdHeader]);
        co_return finished(co_await connection.send(std::move(response)));
    }
    const std::string head = downloadHead(request, range, size);
    bool open = co_await connection.sendRaw(asio::buffer(head));
    const bool truncated = outcome == Outcome::Truncated || outcome == Outcome::Stalled;
    const std::uint64_t length = request.method() == http::verb::head ? 0 : range.bytes.end - range.bytes.first;
    const std::uint64_t end = range.bytes.first + (truncated ? length / 2 : length);
    for (std::uint64_t offset = range.bytes.first; open && offset < end;) {
        const asio::const_buffer chunk = contentAt(offset, std::min(end - offset, DownloadChunk));
        offset += chunk.size();
        open = co_await connection.sendRaw(chunk);
    }
    if (open && outcome == Outcome::Stalled) {
        co_await connection.waitUntilClosed();
    }
    co_return finished(open && !truncated);
}

std::string Target::downloadHead(const Request &request, const RangeSelection &range, std::uint64_t size) const
{
    const bool partial = range.kind == RangeKind::Part;
    Response response(partial ? http::status::partial_content : http::status::ok, 11);
    response.set(http::field::content_type, "application/octet-stream");
    response.set(http::field::accept_ranges, "bytes");
    response.set(http::field::etag, downloadETag(size));
    if (partial) {
        response.set(http::field::content_range,
                     "bytes " + std::to_string(range.bytes.first) + "-" + std::to_string(range.bytes.end - 1) + "/"
                         + std::to_string(size));
    }
    addHeaders(response, request[RequestIdHeader]);
    response.keep_alive(request.keep_alive() && response.keep_alive());
    response.content_length(range.bytes.end - range.bytes.first);
    std::ostringstream head;
    head << response.base();
    return head.str();
}

ConnectionAction Target::finished(bool delivered)
{
    ++(delivered ? m_counters.finished : m_counters.cancelled);
    // A draining target closes each connection when a response has been sent on it.
    return delivered && !m_leaving ? ConnectionAction::KeepOpen : ConnectionAction::Close;
}

asio::awaitable<bool> Target::waitServiceTime(Connection &connection, double normalMs)
{
    const std::string_view path = requestPath(connection.request().target());
    const double millis = slowedServiceTime(currentFaults(), path, normalMs) * (cold() ? ColdFactor : 1);
    co_return co_await connection.sleep(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis)));
}

asio::awaitable<bool> Target::holdIfRequested(Connection &connection)
{
    if (!currentFaults().hold) {
        co_return true;
    }
    asio::steady_timer released(m_context, Instant::max());
    m_heldRequests.push_back(&released);
    const bool open = co_await connection.waitFor(released);
    std::erase(m_heldRequests, &released);
    co_return open;
}

Response Target::handleControl(const Connection &connection, std::string_view path)
{
    const Request &request = connection.request();
    if (path == "/-/load") {
        return load();
    }
    if (path == "/-/runs") {
        return jsonResponse(http::status::ok, m_runs.toJson());
    }
    if (path == "/-/counters") {
        return countersResponse();
    }
    if (path == "/-/faults") {
        return faults(connection);
    }
    if (path == "/-/drain" && request.method() == http::verb::post) {
        return drain(request.body());
    }
    return errorResponse(http::status::not_found, "no such path");
}

Response Target::health() const
{
    std::string_view state = "ok";
    if (!currentFaults().lieHealth) {
        state = m_leaving ? "leaving" : cold() ? "cold" : "ok";
    }
    return jsonResponse(http::status::ok, boost::json::object { { "state", state } });
}

Response Target::load() const
{
    return jsonResponse(http::status::ok,
                        boost::json::object { { "in_flight", reportedLoad() }, { "slots", m_slots.count() } });
}

Response Target::drain(const std::string &body)
{
    try {
        JsonObjectReader reader(body.empty() ? "{}" : body);
        bool leaving = true;
        reader.extract("leaving", leaving);
        reader.rejectUnknown();
        m_leaving = leaving;
    } catch (const std::invalid_argument &refusal) {
        return errorResponse(http::status::bad_request, refusal.what());
    }
    return jsonResponse(http::status::ok, boost::json::object { { "leaving", m_leaving } });
}

Response Target::faults(const Connection &connection)
{
    try {
        if (connection.request().method() == http::verb::post) {
            updateFaults(connection);
        }
    } catch (const std::invalid_argument &refusal) {
        return errorResponse(http::status::bad_request, refusal.what());
    }
    return jsonResponse(http::status::ok, toJson(m_faults));
}

void Target::updateFaults(const Connection &connection)
{
    JsonObjectReader reader(connection.request().body());
    bool makeUnresponsive = false;
    reader.extract("silent_connections", makeUnresponsive);
    applyFaults(m_faults, reader);
    m_faultsAt = m_clock();
    m_server.refuseAfterAccept(m_faults.refuseAfterAccept);
    if (makeUnresponsive) {
        // The connection of this request is excepted, so that the client gets the response to it.
        m_server.makeOpenConnectionsUnresponsive(connection);
    }
    if (!m_faults.hold) {
        for (asio::steady_timer *timer : m_heldRequests) {
            timer->cancel();
        }
    }
}

Response Target::countersResponse() const
{
    return jsonResponse(http::status::ok,
                        boost::json::object { { "started", m_counters.started },
                                              { "finished", m_counters.finished },
                                              { "cancelled", m_counters.cancelled },
                                              { "shed", m_counters.shed },
                                              { "late", m_counters.late },
                                              { "started_while_leaving", m_counters.startedWhileLeaving },
                                              { "probes", m_counters.probes },
                                              { "in_flight", m_slots.inUse() } });
}

Response Target::makeResponse(const Request &request)
{
    ResponseContent current { std::string(request[RequestIdHeader]), {} };
    boost::json::object body { { "target", m_settings.name },
                               { "method", request.method_string() },
                               { "path", request.target() },
                               { "request_id", current.requestId },
                               { "body_bytes", request.body().size() } };
    if (const auto account = request.find(AccountHeader); account != request.end()) {
        body["account"] = account->value();
    }
    current.body = boost::json::serialize(body);
    ResponseContent sent = current;
    if (currentFaults().wrongBody) {
        sent = m_previous.body.empty() ? ResponseContent { "another-request", "{\"request_id\":\"another-request\"}" }
                                       : m_previous;
    }
    m_previous = std::move(current);
    Response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(sent.body);
    addHeaders(response, sent.requestId);
    return response;
}

void Target::addHeaders(Response &response, std::string_view requestId) const
{
    if (!requestId.empty()) {
        response.set(RequestIdHeader, requestId);
    }
    response.set(LoadHeader, std::to_string(reportedLoad()) + "/" + std::to_string(m_slots.count()));
    if (m_leaving) {
        response.set(DrainingHeader, "1");
        response.keep_alive(false);
    }
}

TargetFaults Target::currentFaults() const
{
    return activeFaults(m_faults, m_clock() - m_faultsAt);
}

Instant Target::deadlineOf(const Request &request) const
{
    const auto remainingMs = parseNumber(request[DeadlineHeader]);
    if (!remainingMs) {
        return Instant::max();
    }
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min(*remainingMs, MaxDeadlineMillis));
}

Target::Outcome Target::drawOutcome(const TargetFaults &faults)
{
    const std::pair<double, Outcome> shares[] = {
        { faults.hangShare, Outcome::Hung },     { faults.resetShare, Outcome::Reset },
        { faults.errorShare, Outcome::Error },   { faults.truncateShare, Outcome::Truncated },
        { faults.stallShare, Outcome::Stalled },
    };
    for (const auto &[share, outcome] : shares) {
        if (share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share) {
            return outcome;
        }
    }
    return Outcome::Whole;
}

double Target::drawServiceMs()
{
    if (m_settings.serviceMs <= 0 || m_settings.distribution == ServiceTime::Fixed) {
        return m_settings.serviceMs;
    }
    const double mu = std::log(m_settings.serviceMs) - LogNormalSigma * LogNormalSigma / 2;
    return std::lognormal_distribution<>(mu, LogNormalSigma)(m_random);
}

bool Target::cold() const
{
    return m_settings.cold.count() > 0 && m_clock() - m_startedAt < m_settings.cold;
}

std::size_t Target::reportedLoad() const
{
    return currentFaults().lieLoad ? 0 : m_slots.inUse();
}

} // namespace standin
