#pragma once

#include <deque>

#include <boost/json/value.hpp>

#include "httpserver.h"

namespace standin
{

struct VmListSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds lag { 0 }; // from an update of the list until it is visible
};

// The platform's list of live and leaving VMs over HTTP. Updates become visible with a configurable lag.
class VmList
{
public:
    VmList(asio::io_context &context, VmListSettings settings, Clock clock);
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;

    // Returns the bound port.
    std::uint16_t port() const;

    // Stops the service; see HttpServer.
    void stop();

private:
    struct Version {
        Instant visibleFrom;
        boost::json::value list;
    };

    asio::awaitable<ConnectionAction> handle(Connection &connection);
    Response respond(const Request &request);
    Response setList(const std::string &body);
    Response updateFaults(const std::string &body);
    const boost::json::value &visibleList();

    VmListSettings m_settings;
    Clock m_clock;
    std::deque<Version> m_versions; // in chronological order; the first is visible
    bool m_outage = false;
    HttpServer m_server;
};

} // namespace standin
