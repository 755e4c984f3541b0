#include "mulberryplank/net/vmlistclient.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "mulberryplank/net/httpget.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

constexpr std::size_t MaxListBytes = 8 * 1024 * 1024;

Result<std::vector<ListedVm>> parseVmList(const std::string &body)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    const boost::json::object *object = error ? nullptr : value.if_object();
    const boost::json::value *list = object ? object->if_contains("vms") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return failure(ErrorKind::PlatformUnavailable, "VM list: the response has no list \"vms\"");
    }
    std::vector<ListedVm> vms;
    for (const boost::json::value &entry : list->get_array()) {
        const boost::json::object *fields = entry.if_object();
        const boost::json::value *vm = fields ? fields->if_contains("vm") : nullptr;
        const boost::json::value *address = fields ? fields->if_contains("address") : nullptr;
        const boost::json::value *state = fields ? fields->if_contains("state") : nullptr;
        if (vm == nullptr || !vm->is_string() || address == nullptr || !address->is_string()) {
            return failure(ErrorKind::PlatformUnavailable, "VM list: an entry lacks \"vm\" or \"address\"");
        }
        ListedVm listed;
        listed.vm = VmName(std::string(vm->get_string()));
        listed.address = std::string(address->get_string());
        listed.leaving = state != nullptr && state->is_string() && state->get_string() == "leaving";
        vms.push_back(std::move(listed));
    }
    return vms;
}

} // namespace internal

VmListClient::VmListClient(asio::io_context &context, Endpoint service, Duration timeout)
    : m_context(context)
    , m_service(std::move(service))
    , m_timeout(timeout)
{
}

asio::awaitable<Result<std::vector<ListedVm>>> VmListClient::read()
{
    const HttpGetResponse response = co_await httpGet(m_context, m_service, "/vms", m_timeout, internal::MaxListBytes);
    if (response.error) {
        co_return failure(ErrorKind::PlatformUnavailable, "VM list: " + response.error.message());
    }
    if (response.status != 200) {
        co_return failure(ErrorKind::PlatformUnavailable, "VM list: status " + std::to_string(response.status));
    }
    co_return internal::parseVmList(response.body);
}

} // namespace mulberryplank
