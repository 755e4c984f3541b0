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

// What the platform's VM list says of one VM. The list lags.
struct ListedVm {
    VmName vm;
    std::string address;
    bool leaving = false;
};

// The platform's VM list, as docs/PLATFORM.md describes it.
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
