#include "mulberryplank/net/idlesocket.h"

#include <sys/socket.h>

#include <cerrno>

namespace mulberryplank
{

bool hasUnexpectedInput(int socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace mulberryplank
