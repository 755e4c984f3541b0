#pragma once

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// When an idle connection is probed, and how long sent data may stay unacknowledged.
struct KeepaliveSettings {
    int idleSeconds = 0; // before the first probe
    int intervalSeconds = 0; // between probes
    int probes = 0; // number without a response after which the connection ends
    int userTimeoutMillis = 0; // for unacknowledged data
};

// Of connections that carry requests to targets.
inline constexpr KeepaliveSettings DataKeepalive { 30, 10, 3, 20'000 };

// Sets the options of every TCP connection: no delay of small writes, and the keepalive of `settings`. With them a
// connection whose path is lost ends instead of hanging. Options that the system rejects are ignored.
template<typename Socket>
void setConnectionOptions(Socket &socket, const KeepaliveSettings &settings)
{
    using boost::asio::detail::socket_option::integer;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(settings.idleSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(settings.intervalSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(settings.probes), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(settings.userTimeoutMillis), ignored);
}

// Makes `acceptor` listen at `listen`. Throws boost::system::system_error when the address can't be bound.
template<typename Acceptor>
void listenAt(Acceptor &acceptor, const Endpoint &listen)
{
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(listen.host), listen.port);
    acceptor.open(address.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
}

} // namespace mulberryplank
