#pragma once

#include <deque>

#include <boost/json/value.hpp>

#include "httpserver.h"

namespace standin
{

struct VmListSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds lag { 0 }; // from setting the list until it is shown
};

// The platform's list of live and leaving VMs over HTTP. What is shown lags behind what was set.
class VmList
{
public:
    VmList(asio::io_context &context, VmListSettings settings, Clock clock);
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;

    // Returns the port that was bound.
    std::uint16_t port() const;

    // Ends the service; see HttpServer.
    void stop();

private:
    struct Version {
        Instant shownFrom;
        boost::json::value list;
    };

    asio::awaitable<After> handle(Connection &connection);
    Response answer(const Request &request);
    Response set(const std::string &body);
    Response switchFaults(const std::string &body);
    const boost::json::value &shown();

    VmListSettings m_settings;
    Clock m_clock;
    std::deque<Version> m_versions; // in order of time; the first is shown
    bool m_outage = false;
    HttpServer m_server;
};

} // namespace standin
