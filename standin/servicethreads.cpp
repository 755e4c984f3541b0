#include "servicethreads.h"

#include <csignal>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace standin
{

ServiceThreads::ServiceThreads(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    }
}

boost::asio::io_context &ServiceThreads::contextFor(std::size_t index)
{
    return *m_contexts[index % m_contexts.size()];
}

void ServiceThreads::onStop(std::size_t index, std::function<void()> stop)
{
    m_stopHandlers.emplace_back(index, std::move(stop));
}

void ServiceThreads::run()
{
    boost::asio::signal_set signals(*m_contexts.front(), SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            stopAll();
        }
    });
    std::vector<std::thread> threads;
    for (const auto &context : m_contexts) {
        threads.emplace_back([&context] {
            context->run();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void ServiceThreads::stopAll()
{
    for (const auto &[index, stop] : m_stopHandlers) {
        boost::asio::post(contextFor(index), stop);
    }
}

} // namespace standin
