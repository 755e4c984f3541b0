#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace standin
{

// Runs a number of io_contexts, each on its own thread, until SIGTERM or SIGINT arrives. Servers are distributed over
// the io_contexts. Each server uses only one of them and therefore needs no locks.
class ServiceThreads
{
public:
    explicit ServiceThreads(std::size_t count);
    ServiceThreads(const ServiceThreads &) = delete;
    ServiceThreads &operator=(const ServiceThreads &) = delete;

    // Returns the io_context for the `index`th server.
    boost::asio::io_context &contextFor(std::size_t index);

    // Adds a handler that stops the `index`th server. It is called on that server's thread.
    void onStop(std::size_t index, std::function<void()> stop);

    // Runs until a signal arrives and all servers have stopped.
    void run();

private:
    void stopAll();

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<std::pair<std::size_t, std::function<void()>>> m_stopHandlers;
};

} // namespace standin
