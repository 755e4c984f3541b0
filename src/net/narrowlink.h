// A VM's link in a model of time, for tests: bytes on their way share it, and each transfer has a limit.
#pragma once

#include <algorithm>
#include <list>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/base/time.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

// Time passes by step() alone. Used by the thread that runs the io_context.
class NarrowLink
{
public:
    NarrowLink(boost::asio::io_context &context, double bytesPerStep)
        : m_context(context)
        , m_bytesPerStep(bytesPerStep)
    {
    }

    NarrowLink(const NarrowLink &) = delete;
    NarrowLink &operator=(const NarrowLink &) = delete;

    // Carries so many bytes. Returns false if they haven't all arrived after `maxSteps`.
    boost::asio::awaitable<bool> send(std::size_t bytes, int maxSteps)
    {
        const auto transfer = m_transfers.emplace(m_transfers.end(), m_context, static_cast<double>(bytes), maxSteps);
        boost::system::error_code ignored;
        co_await transfer->ended.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        const bool arrived = transfer->left <= 0;
        m_transfers.erase(transfer);
        co_return arrived;
    }

    // Lets one step pass.
    void step()
    {
        const auto isInProgress = [](const Transfer &transfer) {
            return transfer.left > 0 && transfer.stepsLeft > 0;
        };
        const auto sharing = std::count_if(m_transfers.begin(), m_transfers.end(), isInProgress);
        for (Transfer &transfer : m_transfers) {
            if (isInProgress(transfer)) {
                transfer.left -= m_bytesPerStep / static_cast<double>(sharing);
                --transfer.stepsLeft;
            }
            if (!isInProgress(transfer)) {
                transfer.ended.cancel();
            }
        }
    }

private:
    struct Transfer {
        Transfer(boost::asio::io_context &context, double bytes, int maxSteps)
            : left(bytes)
            , stepsLeft(maxSteps)
            , ended(context, Instant::max())
        {
        }

        double left; // bytes
        int stepsLeft;
        Timer ended;
    };

    boost::asio::io_context &m_context;
    const double m_bytesPerStep;
    std::list<Transfer> m_transfers;
};

} // namespace mulberryplank
