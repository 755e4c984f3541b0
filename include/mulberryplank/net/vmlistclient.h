#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// An item of the platform's VM list, which lags behind the VMs' actual state.
struct ListedVm {
    VmName vm;
    std::string address;
    bool leaving = false;
};

// A client of the platform's VM list, which docs/PLATFORM.md describes.
class VmListClient
{
public:
    VmListClient(boost::asio::io_context &context, Endpoint service, Duration timeout);

    // Returns the list. Errors: PlatformUnavailable.
    boost::asio::awaitable<Result<std::vector<ListedVm>>> read();

private:
    boost::asio::io_context &m_context;
    Endpoint m_service;
    Duration m_timeout;
};

} // namespace mulberryplank
