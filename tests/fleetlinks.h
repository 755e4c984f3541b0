// A model of the VMs' links and processors, on virtual time, for tests of fleets. Concurrent transfers over a link
// alternate, chunk by chunk.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

// Rates of 0 are unlimited. Must be used on the thread that runs the io_context.
class FleetLinks
{
public:
    explicit FleetLinks(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    static constexpr std::size_t ChunkSize = 16'384; // bytes

    // Adds the VM of the next process. `bytesPerMilli` is the rate of its link in each direction.
    void add(double bytesPerMilli)
    {
        m_vms.push_back({ bytesPerMilli, {}, {}, {} });
    }

    // Leaves only a share of a VM's link, as other traffic does.
    void setShare(std::size_t vm, double share)
    {
        m_vms[vm].bytesPerMilli *= share;
    }

    // Completes when `bytes` have left one VM and reached the other.
    boost::asio::awaitable<void> transfer(std::size_t from, std::size_t to, std::size_t bytes)
    {
        for (std::size_t left = bytes; left > 0; left -= std::min(left, ChunkSize)) {
            const std::size_t chunk = std::min(left, ChunkSize);
            co_await occupy(m_vms[from].sendsUntil, m_vms[from].bytesPerMilli, chunk);
            co_await occupy(m_vms[to].receivesUntil, m_vms[to].bytesPerMilli, chunk);
        }
    }

    // Completes when `bytes` have reached a VM from a place whose link is never full.
    boost::asio::awaitable<void> receive(std::size_t to, std::size_t bytes)
    {
        for (std::size_t left = bytes; left > 0; left -= std::min(left, ChunkSize)) {
            co_await occupy(m_vms[to].receivesUntil, m_vms[to].bytesPerMilli, std::min(left, ChunkSize));
        }
    }

    // Occupies a VM's processor for `span` from now on, or from the end of what occupies it already.
    void occupyProcessor(std::size_t vm, Duration span)
    {
        m_vms[vm].computesUntil = std::max(m_vms[vm].computesUntil, Clock::now()) + span;
    }

    bool isProcessorBusy(std::size_t vm) const
    {
        return Clock::now() < m_vms[vm].computesUntil;
    }

    // Completes when the VM's processor is free.
    boost::asio::awaitable<void> awaitProcessor(std::size_t vm)
    {
        while (isProcessorBusy(vm)) {
            co_await sleepFor(m_context, m_vms[vm].computesUntil - Clock::now());
        }
    }

private:
    struct Vm {
        double bytesPerMilli = 0;
        Instant sendsUntil {};
        Instant receivesUntil {};
        Instant computesUntil {};
    };

    boost::asio::awaitable<void> occupy(Instant &until, double bytesPerMilli, std::size_t bytes)
    {
        if (bytesPerMilli > 0) {
            const auto nanos = static_cast<std::int64_t>(static_cast<double>(bytes) / bytesPerMilli * 1e6);
            until = std::max(until, Clock::now()) + std::chrono::nanoseconds(nanos);
            co_await sleepFor(m_context, until - Clock::now());
        }
    }

    boost::asio::io_context &m_context;
    std::vector<Vm> m_vms;
};

} // namespace mulberryplank
