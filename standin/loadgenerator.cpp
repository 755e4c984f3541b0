#include "loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/serialize.hpp>

#include "awaitable.h"

namespace standin
{

namespace
{

constexpr const char *NumberPlaceholder = "{n}";
constexpr std::uint64_t MaxResponseBody = std::uint64_t { 1 } << 30;
// Delay between attempts to connect, which keeps a closed port from being flooded with attempts.
constexpr auto ReconnectDelay = std::chrono::milliseconds(20);

Duration fromMillis(double millis)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

std::string replacePlaceholder(std::string text, std::uint64_t number)
{
    const auto at = text.find(NumberPlaceholder);
    if (at != std::string::npos) {
        text.replace(at, std::string_view(NumberPlaceholder).size(), std::to_string(number));
    }
    return text;
}

} // namespace

struct LoadGenerator::Client {
    Client(asio::io_context &ioContext, const Address &address)
        : context(ioContext)
        , endpoint(asio::ip::make_address(address.ip), address.port)
    {
    }

    asio::io_context &context;
    asio::ip::tcp::endpoint endpoint;
    std::optional<beast::tcp_stream> stream; // empty while not connected
    beast::flat_buffer buffer;
    LoadReport report;
};

double LoadReport::percentile(double share) const
{
    if (latenciesMs.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(latenciesMs.size())));
    return latenciesMs[std::clamp<std::size_t>(rank, 1, latenciesMs.size()) - 1];
}

void LoadReport::add(const LoadReport &other)
{
    sent += other.sent;
    answered += other.answered;
    connectFailures += other.connectFailures;
    timeouts += other.timeouts;
    broken += other.broken;
    mismatched += other.mismatched;
    bodyBytes += other.bodyBytes;
    for (const auto &[status, count] : other.statuses) {
        statuses[status] += count;
    }
    latenciesMs.insert(latenciesMs.end(), other.latenciesMs.begin(), other.latenciesMs.end());
}

boost::json::object LoadReport::toJson() const
{
    boost::json::object counts;
    for (const auto &[status, count] : statuses) {
        counts[std::to_string(status)] = count;
    }
    return { { "seconds", seconds },
             { "sent", sent },
             { "answered", answered },
             { "per_second", seconds > 0 ? static_cast<double>(answered) / seconds : 0 },
             { "p50_ms", percentile(0.5) },
             { "p99_ms", percentile(0.99) },
             { "p999_ms", percentile(0.999) },
             { "max_ms", percentile(1) },
             { "statuses", std::move(counts) },
             { "connect_failures", connectFailures },
             { "timeouts", timeouts },
             { "broken", broken },
             { "mismatched", mismatched },
             { "body_bytes", bodyBytes } };
}

std::string LoadReport::toText() const
{
    std::ostringstream text;
    for (const auto &[key, value] : toJson()) {
        text << key << ": " << boost::json::serialize(value) << "\n";
    }
    return text.str();
}

LoadGenerator::LoadGenerator(LoadSettings settings)
    : m_settings(std::move(settings))
{
}

LoadReport LoadGenerator::run()
{
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, m_settings.threads); ++i) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
    }
    m_begin = std::chrono::steady_clock::now();
    m_end = m_begin + fromMillis(m_settings.seconds * 1000);
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < m_settings.connections; ++i) {
        asio::io_context &context = *contexts[i % contexts.size()];
        clients.push_back(std::make_unique<Client>(context, m_settings.targets[i % m_settings.targets.size()]));
        asio::co_spawn(context, runClient(*clients.back()), asio::detached);
    }
    std::vector<std::thread> threads;
    for (const auto &context : contexts) {
        threads.emplace_back([&context] {
            context->run();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    LoadReport report;
    report.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - m_begin).count();
    for (const auto &client : clients) {
        report.add(client->report);
    }
    std::sort(report.latenciesMs.begin(), report.latenciesMs.end());
    return report;
}

asio::awaitable<void> LoadGenerator::runClient(Client &client)
{
    asio::steady_timer timer(client.context);
    while (std::chrono::steady_clock::now() < m_end) {
        const std::uint64_t number = m_nextNumber.fetch_add(1);
        if (number >= m_settings.requests) {
            break;
        }
        Instant scheduledAt = std::chrono::steady_clock::now();
        if (m_settings.rate > 0) {
            scheduledAt = m_begin + fromMillis(static_cast<double>(number) * 1000 / m_settings.rate);
            if (scheduledAt >= m_end) {
                break;
            }
            timer.expires_at(scheduledAt);
            co_await timer.async_wait(Awaitable);
        }
        co_await sendRequest(client, number, scheduledAt);
    }
    client.stream.reset();
}

asio::awaitable<bool> LoadGenerator::connect(Client &client)
{
    if (client.stream) {
        co_return true;
    }
    client.buffer.clear();
    client.stream.emplace(client.context);
    client.stream->expires_after(fromMillis(m_settings.timeoutMs));
    const auto [error] = co_await client.stream->async_connect(client.endpoint, Awaitable);
    if (!error) {
        client.stream->socket().set_option(asio::ip::tcp::no_delay(true));
        co_return true;
    }
    client.stream.reset();
    ++client.report.connectFailures;
    asio::steady_timer timer(client.context, ReconnectDelay);
    co_await timer.async_wait(Awaitable);
    co_return false;
}

asio::awaitable<void> LoadGenerator::sendRequest(Client &client, std::uint64_t number, Instant scheduledAt)
{
    if (!co_await connect(client)) {
        co_return;
    }
    const Request request = makeRequest(client, number);
    client.stream->expires_after(fromMillis(m_settings.timeoutMs));
    ++client.report.sent;
    auto [error, count] = co_await http::async_write(*client.stream, request, Awaitable);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBody);
    parser.skip(request.method() == http::verb::head);
    if (!error) {
        std::tie(error, count) = co_await http::async_read(*client.stream, client.buffer, parser, Awaitable);
    }
    if (error) {
        ++(error == beast::error::timeout ? client.report.timeouts : client.report.broken);
        client.stream.reset();
        co_return;
    }
    const std::chrono::duration<double, std::milli> latency = std::chrono::steady_clock::now() - scheduledAt;
    const Response &response = parser.get();
    ++client.report.answered;
    ++client.report.statuses[response.result_int()];
    client.report.bodyBytes += response.body().size();
    client.report.latenciesMs.push_back(latency.count());
    const std::string expected = replacePlaceholder(m_settings.expected, number);
    if (response.result() == http::status::ok && response.body().find(expected) == std::string::npos) {
        ++client.report.mismatched;
    }
    if (!response.keep_alive()) {
        client.stream.reset();
    }
}

Request LoadGenerator::makeRequest(const Client &client, std::uint64_t number) const
{
    Request request;
    request.version(11);
    request.method_string(m_settings.method);
    request.target(replacePlaceholder(m_settings.path, number));
    request.set(http::field::host, client.endpoint.address().to_string());
    for (const auto &[name, value] : m_settings.headers) {
        request.set(name, replacePlaceholder(value, number));
    }
    request.body() = replacePlaceholder(m_settings.body, number);
    request.prepare_payload();
    return request;
}

} // namespace standin
