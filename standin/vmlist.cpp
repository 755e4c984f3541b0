#include "vmlist.h"

#include <stdexcept>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "jsonobjectreader.h"

namespace standin
{

VmList::VmList(asio::io_context &context, VmListSettings settings, Clock clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_server(context, m_settings.address, m_settings.port, [this](Connection &connection) {
        return handle(connection);
    })
{
    m_versions.push_back({ Instant::min(), boost::json::object { { "vms", boost::json::array {} } } });
}

std::uint16_t VmList::port() const
{
    return m_server.port();
}

void VmList::stop()
{
    m_server.stop();
}

asio::awaitable<ConnectionAction> VmList::handle(Connection &connection)
{
    co_await connection.send(respond(connection.request()));
    co_return ConnectionAction::KeepOpen;
}

Response VmList::respond(const Request &request)
{
    const std::string_view path = requestPath(request.target());
    const bool post = request.method() == http::verb::post;
    if (path == "/-/faults") {
        return post ? updateFaults(request.body())
                    : jsonResponse(http::status::ok, boost::json::object { { "outage", m_outage } });
    }
    if (path == "/-/vms" && post) {
        return setList(request.body());
    }
    if (path != "/vms") {
        return errorResponse(http::status::not_found, "no such path");
    }
    if (m_outage) {
        return errorResponse(http::status::service_unavailable, "unavailable");
    }
    return jsonResponse(http::status::ok, visibleList());
}

Response VmList::setList(const std::string &body)
{
    boost::system::error_code error;
    boost::json::value list = boost::json::parse(body, error);
    if (error || !list.is_object() || !list.as_object().contains("vms")) {
        return errorResponse(http::status::bad_request, "expected an object with \"vms\"");
    }
    m_versions.push_back({ m_clock() + m_settings.lag, list });
    return jsonResponse(http::status::ok, list);
}

Response VmList::updateFaults(const std::string &body)
{
    try {
        JsonObjectReader reader(body);
        bool outage = m_outage;
        reader.extract("outage", outage);
        reader.rejectUnknown();
        m_outage = outage;
    } catch (const std::invalid_argument &refusal) {
        return errorResponse(http::status::bad_request, refusal.what());
    }
    return jsonResponse(http::status::ok, boost::json::object { { "outage", m_outage } });
}

const boost::json::value &VmList::visibleList()
{
    const Instant now = m_clock();
    while (m_versions.size() > 1 && m_versions[1].visibleFrom <= now) {
        m_versions.pop_front();
    }
    return m_versions.front().list;
}

} // namespace standin
