#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace standin
{

// A number of io_contexts with a thread each, which run until SIGTERM or SIGINT arrives. Servers are spread over them
// and each belongs to one, so that none of them needs a lock.
class ServiceThreads
{
public:
    explicit ServiceThreads(std::size_t count);
    ServiceThreads(const ServiceThreads &) = delete;
    ServiceThreads &operator=(const ServiceThreads &) = delete;

    // Returns the io_context for the `index`th server.
    boost::asio::io_context &contextFor(std::size_t index);

    // Adds what ends the `index`th server; it is called on that server's thread.
    void onStop(std::size_t index, std::function<void()> stop);

    // Runs until a signal arrives and all servers have ended.
    void run();

private:
    void stopAll();

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<std::pair<std::size_t, std::function<void()>>> m_stopHandlers;
};

} // namespace standin
