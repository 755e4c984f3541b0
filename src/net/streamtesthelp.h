// A stream and its peer over a loopback connection, for tests.
#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/httpstream.h"

namespace mulberryplank
{

struct ConnectedStream {
    static constexpr int SmallBuffer = 4'096; // bytes; of a peer that reads slowly
    static constexpr std::size_t LargeResponse = 100'000; // bytes; more than SmallBuffer, less than a send buffer
    static constexpr std::size_t LargerThanSocketBuffers = 16 << 20; // bytes

    // `receiveBufferSize`: of the peer, in bytes; if empty, the system's default.
    explicit ConnectedStream(std::optional<int> receiveBufferSize = {})
    {
        boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        peer.open(boost::asio::ip::tcp::v4());
        if (receiveBufferSize) {
            peer.set_option(boost::asio::socket_base::receive_buffer_size(*receiveBufferSize));
        }
        peer.connect(acceptor.local_endpoint());
        DataSocket socket(context.get_executor());
        acceptor.accept(socket);
        stream = std::make_unique<HttpStream>(std::move(socket), wheel);
    }

    boost::asio::io_context context;
    TimerWheel wheel { Clock::now(), Millis(1) };
    boost::asio::ip::tcp::socket peer { context };
    std::unique_ptr<HttpStream> stream;
};

} // namespace mulberryplank
